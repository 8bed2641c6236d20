package directory_test

import "flag"

// Property tests give the same verdict every run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
