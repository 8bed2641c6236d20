package edge_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	platformstore "carawaycart/platform"
	"carawaycart/platform/standin"
)

// A configuration that adds a route has an unusual value beside it. Guards against instances
// that stay with the version before, whether they read the store, hear of it from peers or
// start, and then refuse flows on the added route or are never ready.
func TestConfigurationWithUnusualValueIsInForce(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ name, old, new string }{
		{"idle timeout of two days", `"idle_timeout_ms":15000`, `"idle_timeout_ms":172800000`},
		{"negative cold rate", `"cold_per_s":`, `"cold_per_s":-1,"was":`},
		{"fractional weight", `"service":"desk"`, `"backends":[{"service":"desk","weight":12.5}]`},
		{"priority of another type", `"priority":2`, `"priority":"2"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 2, 2)
			f.configureKeyed(t, false)
			value := f.configWithKeyed(t)
			changed := strings.Replace(value, test.old, test.new, 1)
			if changed == value {
				t.Fatalf("the configuration %s has no %s", value, test.old)
			}
			f.Store.Put("op/config", []byte(changed))
			for _, i := range f.instances {
				f.await(t, "the added route is in force on "+i.machine.InstanceID, func() bool { return routesKeyed(t, i) })
			}
			for _, i := range f.instances {
				f.kill(i)
			}
			for _, i := range f.instances {
				f.start(t, i, "")
			}
			f.await(t, "all started instances are in rotation", func() bool { return f.Routers.ReadyCount() == len(f.instances) })
			f.Callers[0].SendKeyed(standin.KeyedAddress, 5*time.Millisecond, 2*time.Second)
			if l := f.Ledger; l.Answered != 1 {
				t.Errorf("got %s, want the request on the added route answered", l.Summary())
			}
		})
	}
}

// configWithKeyed returns the next version of the configuration in the store, with the route
// for keyed requests added.
func (f *fleet) configWithKeyed(t *testing.T) string {
	t.Helper()
	store := platformstore.NewStore(f.Store.URL(), nil)
	defer store.Close()
	read, err := store.ReadAll(t.Context(), "op/config")
	if err != nil || len(read.Items) != 1 {
		t.Fatalf("got %+v, %v, want the configuration", read, err)
	}
	var config map[string]any
	if err := json.Unmarshal(read.Items[0].Value, &config); err != nil {
		t.Fatal(err)
	}
	route := map[string]any{
		"name": "order", "host": standin.KeyedAddress.Addr().String(), "prefix": fmt.Sprintf("/%d/", standin.KeyedAddress.Port()),
		"type": "unsafe", "priority": 2, "target_latency_ms": 120, "timeout_ms": 1000, "service": "desk",
	}
	config["version"] = config["version"].(float64) + 1
	config["routes"] = []any{route}
	data, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
