package directory

import (
	"cmp"
	"slices"
	"time"

	"carawaycart"
)

// zoneReturnPeriod is how long after the return of a zone the entries of its endpoints may
// not yet say that the endpoints have become cold. It covers a heartbeat of the endpoint and
// a read of the store.
const zoneReturnPeriod = 3 * time.Second

// ZoneReturns tracks which zones have lately been taken back into service. The mark of a
// zone that is out leaves the store when the zone returns, so that an instance that has not
// seen the mark, because it has just started or was frozen, could not tell. The fleet
// therefore keeps a record of each zone that is out in the store, and removes it only after
// zoneReturnPeriod. The zero value tracks no zone; it is not safe for concurrent use.
type ZoneReturns struct {
	out       map[carawaycart.ZoneID]struct{}
	marks     map[carawaycart.ZoneID]carawaycart.StoreRevision // revisions of marks, by the contents applied last
	records   map[carawaycart.ZoneID]carawaycart.StoreRevision // revisions of records, by the contents applied last
	coldUntil map[carawaycart.ZoneID]time.Time
}

// ApplyContents applies the contents of the directory as of now.
func (z *ZoneReturns) ApplyContents(c *Contents, now time.Time) {
	out := make(map[carawaycart.ZoneID]struct{}, len(c.ZonesOut))
	for _, zone := range c.ZonesOut {
		out[zone] = struct{}{}
	}
	coldUntil := make(map[carawaycart.ZoneID]time.Time)
	for zone, until := range z.coldUntil {
		if now.Before(until) {
			coldUntil[zone] = until
		}
	}
	for zone := range z.out {
		if _, ok := out[zone]; !ok {
			coldUntil[zone] = now.Add(zoneReturnPeriod)
		}
	}
	for zone, revision := range c.ZoneRecords {
		// A record that is new here is of a mark that came and went unseen.
		if _, ok := out[zone]; !ok && z.records[zone] != revision {
			coldUntil[zone] = now.Add(zoneReturnPeriod)
		}
	}
	z.out, z.marks, z.records, z.coldUntil = out, c.ZoneMarks, c.ZoneRecords, coldUntil
}

// ColdUntil returns until when the endpoints of each zone that has lately returned count as
// cold. The caller must not change the result.
func (z *ZoneReturns) ColdUntil() map[carawaycart.ZoneID]time.Time { return z.coldUntil }

// ZoneRecordChange is a change of the record of a zone in the store.
type ZoneRecordChange struct {
	Zone     carawaycart.ZoneID
	Expected carawaycart.StoreRevision // revision of the record now; zero if there is none
	Remove   bool                      // whether the record is removed, and written otherwise
}

// Due returns the changes of records that are due at now, ordered by zone. A record is
// written for each mark that has none, or only one that is older than the mark.
func (z *ZoneReturns) Due(now time.Time) []ZoneRecordChange {
	var due []ZoneRecordChange
	for zone, marked := range z.marks {
		if recorded := z.records[zone]; recorded < marked {
			due = append(due, ZoneRecordChange{Zone: zone, Expected: recorded})
		}
	}
	for zone, recorded := range z.records {
		if _, ok := z.out[zone]; !ok && !now.Before(z.coldUntil[zone]) {
			due = append(due, ZoneRecordChange{Zone: zone, Expected: recorded, Remove: true})
		}
	}
	slices.SortFunc(due, func(a, b ZoneRecordChange) int { return cmp.Compare(a.Zone, b.Zone) })
	return due
}
