package platform_test

import "flag"

// Fixes the seed of package rapid, so that the property tests are reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
