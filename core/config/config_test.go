package config_test

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/config"
)

// apply applies a change to c that sets the object of the given kind and name, or
// deletes it if object is nil.
func apply(c *config.Configuration, kind carawaycart.ObjectKind, name string, object any) (*config.Configuration, error) {
	var after json.RawMessage
	if object != nil {
		after, _ = json.Marshal(object)
	}
	return c.Apply(carawaycart.Change{Revision: c.Revision + 1, ID: "id", Kind: kind, Name: name, After: after})
}

// endpoint returns an endpoint of service "desk".
func endpoint(id carawaycart.EndpointID, zone carawaycart.ZoneID) carawaycart.Endpoint {
	return carawaycart.Endpoint{
		ID: id, Service: "desk", Zone: zone, FlowAddress: netip.MustParseAddrPort("10.0.0.1:6081"), MaxFlows: 100, RequestSlots: 2,
	}
}

// newTestConfig returns a configuration with service "desk" and its endpoints e1 and e2 in
// zone a, e3 and e4 in zone b.
func newTestConfig(t *testing.T) *config.Configuration {
	t.Helper()
	c := config.New()
	put := func(kind carawaycart.ObjectKind, name string, object any) {
		n, err := apply(c, kind, name, object)
		if err != nil {
			t.Fatal(err)
		}
		c = n
	}
	put(carawaycart.KindZone, "a", carawaycart.Zone{ID: "a"})
	put(carawaycart.KindZone, "b", carawaycart.Zone{ID: "b"})
	put(carawaycart.KindService, "desk", carawaycart.Service{
		ID: "desk", Address: netip.MustParseAddrPort("192.0.2.1:443"), Profile: "gentle",
	})
	for id, z := range map[carawaycart.EndpointID]carawaycart.ZoneID{"e1": "a", "e2": "a", "e3": "b", "e4": "b"} {
		put(carawaycart.KindEndpoint, string(id), endpoint(id, z))
	}
	return c
}

// slotCounts returns how many slots of service "desk" name each endpoint in the
// column that slots selects, baseOf or currentOf.
func slotCounts(c *config.Configuration, slots func(carawaycart.SlotTable) []uint16) map[carawaycart.EndpointID]int {
	table := c.Slots["desk"]
	n := make(map[carawaycart.EndpointID]int)
	for _, m := range slots(table) {
		if m != carawaycart.NoMember {
			n[table.Members[m]]++
		}
	}
	return n
}

func baseOf(t carawaycart.SlotTable) []uint16    { return t.Base }
func currentOf(t carawaycart.SlotTable) []uint16 { return t.Current }

// Guards against loss of the flows of a leaving endpoint, whose packets the bases
// direct, and against new flows on it.
func TestLeavingEndpointKeepsOnlyBases(t *testing.T) {
	c := newTestConfig(t)
	before := slotCounts(c, baseOf)["e1"]
	e := endpoint("e1", "a")
	e.Mark = carawaycart.MarkLeaving
	c, err := apply(c, carawaycart.KindEndpoint, "e1", e)
	if err != nil {
		t.Fatal(err)
	}
	if n := slotCounts(c, currentOf)["e1"]; n != 0 {
		t.Errorf("got %d slots for new flows, want 0", n)
	}
	if n := slotCounts(c, baseOf)["e1"]; n != before {
		t.Errorf("got %d bases, want the %d before the change", n, before)
	}
}

// Guards against flows that ended when their zone was taken out and would be
// forwarded to its endpoints again once the zone is back in service.
func TestZoneTakenOutLosesBasesPermanently(t *testing.T) {
	c := newTestConfig(t)
	c, err := apply(c, carawaycart.KindZone, "a", carawaycart.Zone{ID: "a", Out: true})
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []carawaycart.EndpointID{"e1", "e2"} {
		if n := slotCounts(c, baseOf)[id] + slotCounts(c, currentOf)[id]; n != 0 {
			t.Errorf("zone taken out: got %d slots for %s, want 0", n, id)
		}
	}
	c, err = apply(c, carawaycart.KindZone, "a", carawaycart.Zone{ID: "a"})
	if err != nil {
		t.Fatal(err)
	}
	if n := slotCounts(c, currentOf)["e1"]; n == 0 {
		t.Error("zone back in service: got no slots for e1, want its share")
	}
	if n := slotCounts(c, baseOf)["e1"]; n != 0 {
		t.Errorf("zone back in service: got %d bases for e1, whose flows ended when the zone was taken out; want 0", n)
	}
}

func TestApplyRejectsInvalidChanges(t *testing.T) {
	bad := endpoint("e9", "nowhere")
	for _, test := range []struct {
		name   string
		change carawaycart.Change
		is     error
	}{
		{"revision gap", carawaycart.Change{Revision: 99, Kind: carawaycart.KindZone, Name: "c", After: json.RawMessage(`{"id":"c"}`)}, errors.NotValid},
		{"unknown kind", carawaycart.Change{Kind: "colour", Name: "c"}, errors.NotValid},
		{"unknown field", carawaycart.Change{Kind: carawaycart.KindZone, Name: "c", After: json.RawMessage(`{"id":"c","colour":1}`)}, errors.NotValid},
		{"name of another object", carawaycart.Change{Kind: carawaycart.KindZone, Name: "c", After: json.RawMessage(`{"id":"d"}`)}, errors.NotValid},
		{"unknown zone", carawaycart.Change{Kind: carawaycart.KindEndpoint, Name: "e9", After: must(json.Marshal(bad))}, errors.NotFound},
		{"deletion of an absent endpoint", carawaycart.Change{Kind: carawaycart.KindEndpoint, Name: "e9"}, errors.NotFound},
		{"deletion of a profile in use", carawaycart.Change{Kind: carawaycart.KindProfile, Name: "gentle"}, errors.NotValid},
		{"deletion of a service with endpoints", carawaycart.Change{Kind: carawaycart.KindService, Name: "desk"}, errors.NotValid},
	} {
		c := newTestConfig(t)
		if test.change.Revision == 0 {
			test.change.Revision = c.Revision + 1
		}
		n, err := c.Apply(test.change)
		if n != nil || !errors.Is(err, test.is) {
			t.Errorf("%s: got %v, %v; want an error that is %v", test.name, n, err, test.is)
		}
	}
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against instances that stop at an invalid change in the log: they must skip
// it and continue at the next revision.
func TestApplyOrSkipSkipsInvalidChange(t *testing.T) {
	c := newTestConfig(t)
	n, err := c.ApplyOrSkip(carawaycart.Change{Revision: c.Revision + 1, Kind: "corrupt"})
	if err == nil || n == nil || n.Revision != c.Revision+1 || len(n.Endpoints) != 4 {
		t.Fatalf("got %v, %v; want an error and the unchanged objects at the next revision", n, err)
	}
	if n, err := c.ApplyOrSkip(carawaycart.Change{Revision: c.Revision + 2, Kind: "corrupt"}); n != nil || err == nil {
		t.Fatalf("revision gap: got %v, %v; want nil and an error", n, err)
	}
}

// Guards against a new service that starts with dirty slots. Endpoints added in
// separate changes leave slots whose base is an earlier endpoint; those of one
// bundle must not.
func TestBundleOfNewServiceLeavesSlotsClean(t *testing.T) {
	c, err := apply(config.New(), carawaycart.KindBundle, "site", config.Bundle{
		Zones: []carawaycart.Zone{{ID: "a"}, {ID: "b"}},
		Services: []carawaycart.Service{{
			ID: "desk", Address: netip.MustParseAddrPort("192.0.2.1:443"), Profile: "gentle",
		}},
		Endpoints: []carawaycart.Endpoint{endpoint("e1", "a"), endpoint("e2", "b")},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []carawaycart.EndpointID{"e1", "e2"} {
		if b, n := slotCounts(c, baseOf)[id], slotCounts(c, currentOf)[id]; b != n || n == 0 {
			t.Errorf("%s: got %d bases and %d current slots, want equal numbers above 0", id, b, n)
		}
	}
	bad := config.Bundle{Zones: []carawaycart.Zone{{ID: "c"}}, Endpoints: []carawaycart.Endpoint{endpoint("e3", "nowhere")}}
	if n, err := apply(c, carawaycart.KindBundle, "site", bad); n != nil || !errors.Is(err, errors.NotFound) {
		t.Errorf("got %v, %v; want a bundle with an invalid object refused as a whole", n, err)
	}
	if _, ok := c.Zones["c"]; ok {
		t.Error("an object of a refused bundle was added")
	}
}

// Guards against instances that diverge because one started from a snapshot: the
// same change must give the same configuration as on the instance that encoded it.
func TestSnapshotRoundTrip(t *testing.T) {
	c := newTestConfig(t)
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := config.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	e := endpoint("e1", "a")
	e.Mark = carawaycart.MarkLeaving
	want, err1 := apply(c, carawaycart.KindEndpoint, "e1", e)
	have, err2 := apply(got, carawaycart.KindEndpoint, "e1", e)
	if err1 != nil || err2 != nil {
		t.Fatal(err1, err2)
	}
	if string(must(want.Encode())) != string(must(have.Encode())) {
		t.Error("a change applied to the decoded snapshot gives a different configuration")
	}
}

func TestDecodeRejectsDamagedSnapshot(t *testing.T) {
	for _, text := range []string{``, `{`, `{"colour":1}`, `{"services":{"desk":{"id":"desk"}}}`, `null extra`} {
		if _, err := config.Decode([]byte(text)); err == nil {
			t.Errorf("%q: got no error", text)
		}
	}
}

// Guards against built-in profiles that operators have deleted and that return with the
// next snapshot, as on the restart of an instance.
func TestDeletedBuiltInProfileStaysDeleted(t *testing.T) {
	c := config.New()
	deleted := config.BuiltInProfiles()[0].Name
	before, err := c.EncodedObject(carawaycart.KindProfile, string(deleted))
	if err != nil {
		t.Fatal(err)
	}
	c, err = c.Apply(carawaycart.Change{Revision: 1, ID: "x", Kind: carawaycart.KindProfile, Name: string(deleted), Before: before})
	if err != nil {
		t.Fatal(err)
	}
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := config.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := decoded.Profiles[deleted]; ok || len(decoded.Profiles) != len(c.Profiles) {
		t.Errorf("got profiles %v, want those of the snapshot: %v", decoded.Profiles, c.Profiles)
	}
}

// Guards against accepting a part of a damaged entry.
func TestDecodeStrictRefusesTrailingData(t *testing.T) {
	for _, data := range []string{`{"name":"a"}}`, `{"name":"a"} ]`, `null`, `{"name":"a"}{}`} {
		var z struct {
			Name string `json:"name"`
		}
		if err := config.DecodeStrict([]byte(data), &z); err == nil {
			t.Errorf("%s: got %+v, want an error", data, z)
		}
	}
}

// Guards against changes that wait for a missing one and keep it from being taken, so
// that an instance never catches up.
func TestPendingChangesNeverBlockTheMissingOne(t *testing.T) {
	p := config.NewPendingChanges(4)
	for r := carawaycart.Revision(3); r < 20; r++ {
		p.Add(carawaycart.Change{Revision: r}, 1)
	}
	p.Add(carawaycart.Change{Revision: 2}, 1)
	current := carawaycart.Revision(1)
	for next, ok := p.Pop(current); ok; next, ok = p.Pop(current) {
		current = next.Revision
	}
	if current != 6 { // the missing one and the four that waited
		t.Errorf("got revision %d, want 6", current)
	}
	p.Add(carawaycart.Change{Revision: 9}, current)
	if _, ok := p.Pop(10); ok { // a whole configuration was loaded meanwhile
		t.Error("got a change that is applied already")
	}
	for r := carawaycart.Revision(12); r < 16; r++ {
		p.Add(carawaycart.Change{Revision: r}, 10)
	}
	p.Add(carawaycart.Change{Revision: 11}, 10)
	if next, ok := p.Pop(10); !ok || next.Revision != 11 {
		t.Errorf("got %d, %t, want 11: applied changes must not take up room", next.Revision, ok)
	}
}

// Guards against keys that count as free while a claim that was lost could still be alive:
// a retry would run the order again.
func TestLongestClaimCoversAllProfiles(t *testing.T) {
	c := config.New()
	if got, want := c.LongestClaim(), 3630*time.Second; got != want {
		t.Errorf("got %v for the built-in profiles, want %v", got, want)
	}
	c.Profiles["patient"] = carawaycart.Profile{Name: "patient", RequestSeconds: 60, AnswerSeconds: 24 * 3600}
	if got, want := c.LongestClaim(), 24*time.Hour+time.Minute; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
