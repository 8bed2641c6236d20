package edge_test

import (
	"fmt"
	"strings"
	"testing"
)

// Another writer leaves odd entries among those of the endpoints and instances while
// traffic runs, and overwrites one of a living endpoint. Guards against instances that
// end, stop following the store, break open flows or lose requests.
func TestOddEntriesWhileTrafficRuns(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 3, 2)
	f.BeginLoad(4, 20)
	f.awaitRequests(t, 100)
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	const entry = `{"service":%s,"address":%s,"zone":"a","version":"v1","slots":%s,"state":%s,"cold_left_ms":%s,"seq":1,"born":%s}`
	for n, value := range []string{
		deep, "\x00\xff", "[]", "{}", "null", `"`,
		fmt.Sprintf(entry, deep, `"10.0.0.1:80"`, "2", `"ready"`, "0", "1"),
		fmt.Sprintf(entry, `"desk"`, `"10.0.0.1:70000"`, "2", `"ready"`, "0", "1"),
		fmt.Sprintf(entry, `"desk"`, `"10.0.0.1:80"`, "99999999999999999999", `"ready"`, "0", "1"),
		fmt.Sprintf(entry, `"desk"`, `"10.0.0.1:80"`, "2", `"gone"`, "0", "1"),
		fmt.Sprintf(entry, `"desk"`, `"10.0.0.1:80"`, "2", `"ready"`, "1e999", "1"),
		fmt.Sprintf(entry, `"desk"`, `"10.0.0.1:80"`, "2", `"ready"`, "0", "1e300"),
		fmt.Sprintf(entry, `"elsewhere"`, `"10.0.0.1:80"`, "2", `"ready"`, "0", "1"),
	} {
		f.Store.Put(fmt.Sprintf("servers/i-bad%05x", n), []byte(value))
	}
	f.Store.Put("servers/web", []byte("{}"))
	f.Store.Put("carawaycart/instances/x", []byte(deep))
	f.Store.Put("carawaycart/log/x", []byte("?"))
	f.awaitRequests(t, 150)
	f.Store.Put("servers/"+f.Endpoints[0].ID, []byte(deep))
	f.awaitRequests(t, 150)
	// The instances still follow the list: an endpoint that is added gets flows.
	added, err := f.AddEndpoint("a", 0)
	if err != nil {
		t.Fatal(err)
	}
	f.await(t, "the added endpoint gets a flow", func() bool { return added.NewFlows() > 0 })
	f.checkLedger(t)
	if l := f.Ledger; l.Unknown > 0 || l.NotRun > 0 {
		t.Errorf("got %s, want every request answered", l.Summary())
	}
	for _, i := range f.instances {
		if !strings.Contains(i.logLines.String(), "event=itemRefused") {
			t.Errorf("%s: got no line about a refused item", i.machine.InstanceID)
		}
	}
}
