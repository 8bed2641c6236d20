package share

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"carawaycart"
)

// reportTimeout is the time after which a report is forgotten. Instances report every 0.25
// or 0.5 s, so that one lost report does not matter.
const reportTimeout = 1200 * time.Millisecond

// Reports holds the loads that peers have reported lately. It is safe for concurrent use; the
// zero value holds none.
type Reports struct {
	mu        sync.Mutex
	instances map[carawaycart.ServiceID]map[carawaycart.InstanceID]report
	zones     map[carawaycart.ServiceID]map[carawaycart.ZoneID]report
}

// report is a load with the time when it expires.
type report struct {
	load    float64
	expires time.Time
}

// RecordInstance records at now the load of an instance of the own zone.
func (r *Reports) RecordInstance(s carawaycart.ServiceID, i carawaycart.InstanceID, load float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instances == nil {
		r.instances = make(map[carawaycart.ServiceID]map[carawaycart.InstanceID]report)
	}
	record(r.instances, s, i, load, now)
}

// RecordZone records at now the load of another zone.
func (r *Reports) RecordZone(s carawaycart.ServiceID, z carawaycart.ZoneID, load float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.zones == nil {
		r.zones = make(map[carawaycart.ServiceID]map[carawaycart.ZoneID]report)
	}
	record(r.zones, s, z, load, now)
}

func record[K comparable](reports map[carawaycart.ServiceID]map[K]report, s carawaycart.ServiceID, k K, load float64, now time.Time) {
	if reports[s] == nil {
		reports[s] = make(map[K]report)
	}
	removeExpired(reports[s], now) // also those of services that this instance never looks up
	reports[s][k] = report{load: load, expires: now.Add(reportTimeout)}
}

// Members returns the instances of the own zone that have reported a load for service s and
// whose reports have not expired at now, ordered by ID.
func (r *Reports) Members(s carawaycart.ServiceID, now time.Time) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	removeExpired(r.instances[s], now)
	members := make([]Member, 0, len(r.instances[s]))
	for i, report := range r.instances[s] {
		members = append(members, Member{ID: i, Load: report.load})
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Zones returns the loads of the other zones whose reports have not expired at now.
func (r *Reports) Zones(s carawaycart.ServiceID, now time.Time) map[carawaycart.ZoneID]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	removeExpired(r.zones[s], now)
	zones := make(map[carawaycart.ZoneID]float64, len(r.zones[s]))
	for z, report := range r.zones[s] {
		zones[z] = report.load
	}
	return zones
}

func removeExpired[K comparable](reports map[K]report, now time.Time) {
	for k, report := range reports {
		if !now.Before(report.expires) {
			delete(reports, k)
		}
	}
}
