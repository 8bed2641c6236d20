package directory_test

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"carawaycart"
	"carawaycart/core/directory"
)

// decodeZone makes each key a zone that is out, and refuses the value "bad".
func decodeZone(i carawaycart.StoreItem) (carawaycart.Record, error) {
	if string(i.Value) == "bad" {
		return carawaycart.Record{}, errors.New("bad")
	}
	return carawaycart.Record{ZoneOut: carawaycart.ZoneID(i.Key + "=" + string(i.Value))}, nil
}

func item(key, value string, r carawaycart.StoreRevision) carawaycart.StoreItem {
	return carawaycart.StoreItem{Key: key, Value: []byte(value), Revision: r}
}

func zones(d *directory.Directory) []carawaycart.ZoneID { return d.Contents().ZonesOut }

func TestReplaceTellsWhatChanged(t *testing.T) {
	d := directory.New(decodeZone)
	d.Replace([]carawaycart.StoreItem{item("a", "1", 3), item("b", "1", 4)}, 5)
	got := d.Replace([]carawaycart.StoreItem{item("b", "2", 7), item("c", "1", 6)}, 8)
	want := directory.Difference{
		From: 5, To: 8, Items: []carawaycart.StoreItem{item("b", "2", 7), item("c", "1", 6)}, Missing: []string{"a"},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got, want := zones(d), []carawaycart.ZoneID{"b=2", "c=1"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A read that was answered late must not bring back what a later one removed.
func TestOlderReadChangesNothing(t *testing.T) {
	d := directory.New(decodeZone)
	d.Replace([]carawaycart.StoreItem{item("a", "2", 9)}, 10)
	if change := d.Replace([]carawaycart.StoreItem{item("a", "1", 3), item("b", "1", 4)}, 5); !change.Empty() {
		t.Errorf("got %+v, want no change", change)
	}
	if got, want := zones(d), []carawaycart.ZoneID{"a=2"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Pages are no snapshot: an item may be newer than the revision of the first.
func TestItemNewerThanTheReadStays(t *testing.T) {
	d := directory.New(decodeZone)
	d.Replace([]carawaycart.StoreItem{item("a", "1", 12)}, 10)
	d.Replace(nil, 11)
	if got, want := zones(d), []carawaycart.ZoneID{"a=1"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v: the read at 11 says nothing of revision 12", got, want)
	}
	d.Replace(nil, 12)
	if got := zones(d); len(got) != 0 {
		t.Errorf("got %v, want none", got)
	}
}

func TestApplyRefusesAGap(t *testing.T) {
	d := directory.New(decodeZone)
	d.Replace(nil, 5)
	if d.Apply(directory.Difference{From: 6, To: 8, Items: []carawaycart.StoreItem{item("a", "1", 8)}}) {
		t.Error("got a difference across a gap applied")
	}
	if !d.Apply(directory.Difference{From: 4, To: 7, Items: []carawaycart.StoreItem{item("a", "1", 7)}}) || d.At() != 7 {
		t.Errorf("got revision %d, want 7", d.At())
	}
	if !d.Apply(directory.Difference{From: 1, To: 3, Missing: []string{"a"}}) || len(zones(d)) != 1 {
		t.Error("an old difference removed a newer item")
	}
}

func TestItemsThatCannotBeReadAreCounted(t *testing.T) {
	d := directory.New(decodeZone)
	d.Replace([]carawaycart.StoreItem{item("a", "bad", 1), item("b", "1", 2)}, 2)
	if d.Refused() != 1 || len(zones(d)) != 1 {
		t.Errorf("got %d refused, %v, want 1 and b", d.Refused(), zones(d))
	}
}

// store is a model of the platform's store.
type store struct {
	items map[string]carawaycart.StoreItem
	at    carawaycart.StoreRevision
}

func (s *store) write(key, value string) {
	s.at++
	s.items[key] = item(key, value, s.at)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		s.at++
		delete(s.items, key)
	}
}

func (s *store) read() ([]carawaycart.StoreItem, carawaycart.StoreRevision) {
	return slices.Collect(maps.Values(s.items)), s.at
}

// Copies that read, tell and fetch in any order, with news lost, doubled and
// late, never go back and agree in the end.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{items: make(map[string]carawaycart.StoreItem)}
		copies := []*directory.Directory{directory.New(decodeZone), directory.New(decodeZone), directory.New(decodeZone)}
		var news []directory.Difference
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := copies[rapid.IntRange(0, 2).Draw(t, "copy")]
			before := c.At()
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
				s.write(key, fmt.Sprint(s.at))
			case 2:
				s.remove(fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key")))
			case 3:
				news = append(news, c.Replace(s.read()))
			case 4:
				if len(news) > 0 {
					c.Apply(news[rapid.IntRange(0, len(news)-1).Draw(t, "news")])
				}
			case 5:
				c.Adopt(copies[rapid.IntRange(0, 2).Draw(t, "from")].Since(c.At()))
			}
			if c.At() < before {
				t.Fatalf("got revision %d after %d", c.At(), before)
			}
			if c.At() == s.at {
				compare(t, c, s)
			}
		}
		copies[0].Replace(s.read())
		copies[1].Adopt(copies[0].Since(copies[1].At()))
		copies[2].Replace(s.read())
		for _, c := range copies {
			compare(t, c, s)
		}
	})
}

func compare(t *rapid.T, d *directory.Directory, s *store) {
	model := directory.New(decodeZone)
	model.Replace(s.read())
	if got, want := zones(d), zones(model); !slices.Equal(got, want) {
		t.Fatalf("at revision %d: got %v, want %v", s.at, got, want)
	}
}

func BenchmarkReplaceUnchanged(b *testing.B) {
	for _, n := range []int{18, 150, 21000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var items []carawaycart.StoreItem
			for i := range n {
				items = append(items, item(fmt.Sprint("k", i), "1", carawaycart.StoreRevision(i+1)))
			}
			d := directory.New(decodeZone)
			b.ReportAllocs()
			for b.Loop() {
				d.Replace(items, carawaycart.StoreRevision(n+1))
			}
		})
	}
}
