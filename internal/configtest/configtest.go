package configtest

import (
	"encoding/json"
	"testing"

	"carawaycart"
	"carawaycart/core/config"
)

// Put returns the configuration that follows c by creating or replacing the
// object of a kind and name; a refusal ends the test.
func Put(tb testing.TB, c *config.Configuration, kind carawaycart.ObjectKind, name string, object any) *config.Configuration {
	tb.Helper()
	after, err := json.Marshal(object)
	if err != nil {
		tb.Fatal(err)
	}
	n, err := c.Apply(carawaycart.Change{Revision: c.Revision + 1, ID: "id", Kind: kind, Name: name, After: after})
	if err != nil {
		tb.Fatal(err)
	}
	return n
}
