package configtest

import (
	"encoding/json"
	"testing"

	"carawaycart"
	"carawaycart/core/config"
)

// MustPut returns the configuration that results from setting the object of the given
// kind and name in c. It fails the test immediately if the change is refused.
func MustPut(tb testing.TB, c *config.Configuration, kind carawaycart.ObjectKind, name string, object any) *config.Configuration {
	tb.Helper()
	after, err := json.Marshal(object)
	if err != nil {
		tb.Fatal(err)
	}
	next, err := c.Apply(carawaycart.Change{Revision: c.Revision + 1, ID: "id", Kind: kind, Name: name, After: after})
	if err != nil {
		tb.Fatal(err)
	}
	return next
}
