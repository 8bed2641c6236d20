package edge_test

import (
	"encoding/json"
	"testing"
	"time"
)

// Another writer replaces the entry of an endpoint that serves open flows, or claims its
// address while its own entry is missing. Guards against resetting the flows because such an
// entry, which lacks a field or has one of another type, tells of a later start.
func TestEntryOfAnotherWriterResetsNoFlow(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		claim   bool // whether the entry has an ID of its own, and the address of the endpoint
		field   string
		foreign any // nil if the field is missing
	}{
		{"later start elsewhere, no sequence", false, "seq", nil},
		{"later start elsewhere, version as number", false, "version", 1},
		{"address claimed, no version", true, "version", nil},
		{"address claimed, sequence as string", true, "seq", "1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, 1, 2)
			f.BeginFeeds(4, 100*time.Millisecond)
			f.awaitRequests(t, 20)
			key := "servers/" + f.Endpoints[0].ID
			own, _ := f.Store.Value(key)
			var entry map[string]any
			if err := json.Unmarshal(own, &entry); err != nil {
				t.Fatal(err)
			}
			entry["born"] = time.Now().UnixMilli()
			if entry[test.field] = test.foreign; test.foreign == nil {
				delete(entry, test.field)
			}
			foreignKey := key
			if test.claim {
				foreignKey = "servers/i-abcdef"
				f.Store.Delete(key)
			} else {
				entry["address"] = "10.0.0.9:80"
			}
			foreign, err := json.Marshal(entry)
			if err != nil {
				t.Fatal(err)
			}
			f.Store.Put(foreignKey, foreign)
			time.Sleep(1200 * time.Millisecond) // until the endpoint writes its own entry again
			f.Store.Delete(foreignKey)
			f.Store.Put(key, own)
			f.awaitRequests(t, 20)
			f.checkLedger(t)
			if n := f.Ledger.FlowsReset; n > 0 {
				t.Errorf("got %d open flows reset by instances, want none", n)
			}
		})
	}
}
