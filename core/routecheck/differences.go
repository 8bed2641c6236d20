package routecheck

import (
	"fmt"
	"slices"
	"strings"

	"carawaycart"
)

// field is a field of a route or service in two versions of the configuration.
type field struct {
	name     string // as in the configuration
	old, new any
	effect   string // what follows from a change
}

// entryKey identifies a route or service within a version. Entries with the same object are
// numbered in the order of the configuration.
type entryKey struct {
	object string
	number int
}

// addDifferences adds the differences between the configuration in force, old, and its
// replacement. Routes and services that a later entry hides are not compared.
func addDifferences(f *findings, old, replacement *carawaycart.RouteConfig) {
	addFields(f, configObject, []field{
		{"limits.idle_timeout_ms", old.IdleTimeout, replacement.IdleTimeout, "instances keep their fixed timeout of idle flows"},
	})
	compare(f, inUse(old.Routes, routeAddress), inUse(replacement.Routes, routeAddress), routeObject, routeFields,
		"the route is added, so instances start forwarding flows to its address",
		"the route is not in the new version, or is not used there, so instances stop forwarding new flows by it")
	compare(f, inUse(old.Services, serviceID), inUse(replacement.Services, serviceID), serviceObject, serviceFields,
		"the service is added, so its policy applies to the endpoints that register for it",
		"the service is not in the new version, so its endpoints have no health path and no cold rate")
}

// compare adds the differences between the entries of two versions: those that are added,
// removed or changed.
func compare[T any](f *findings, old, replacement []T, object func(*T) string, fields func(old, replacement *T) []field, added, removed string) {
	keys, remaining := index(old, object)
	newKeys, entries := index(replacement, object)
	for _, k := range newKeys {
		from, ok := remaining[k]
		if !ok {
			f.add(Difference, k.object, "%s", added)
			continue
		}
		addFields(f, k.object, fields(from, entries[k]))
	}
	for _, k := range keys {
		if entries[k] == nil {
			f.add(Difference, k.object, "%s", removed)
		}
	}
}

// index returns the keys of entries, in their order, and the entries by key.
func index[T any](entries []T, object func(*T) string) ([]entryKey, map[entryKey]*T) {
	var keys []entryKey
	byKey := make(map[entryKey]*T)
	for i := range entries {
		k := entryKey{object: object(&entries[i])}
		for byKey[k] != nil {
			k.number++
		}
		keys = append(keys, k)
		byKey[k] = &entries[i]
	}
	return keys, byKey
}

// addFields adds the fields whose values differ.
func addFields(f *findings, object string, fields []field) {
	for _, c := range fields {
		if c.old != c.new {
			f.add(Difference, object, "%s changes from %v to %v; %s", c.name, c.old, c.new, c.effect)
		}
	}
}

func routeFields(old, replacement *carawaycart.Route) []field {
	return []field{
		{"the address (host, prefix)", old.Address, replacement.Address, "new flows to the old address are no longer forwarded by this route"},
		{"type", kindName(old.Kind), kindName(replacement.Kind), "it decides whether requests may run more than once"},
		{"priority", old.Priority, replacement.Priority, "it decides which first packets are refused first under overload"},
		{"target_latency_ms", old.TargetLatency, replacement.TargetLatency, "it decides which responses count as late"},
		{"timeout_ms", old.TimeBudget, replacement.TimeBudget, "it decides whether first packets may be queued"},
		{"the distribution (service, backends)", targetNames(old.Targets), targetNames(replacement.Targets), "new flows are divided by the new weights, and open flows stay on their endpoints"},
	}
}

func serviceFields(old, replacement *carawaycart.ServicePolicy) []field {
	return []field{
		{"health_path", printable(old.HealthPath), printable(replacement.HealthPath), "instances probe the endpoints at the new path"},
		{"max_conns", old.MaxFlows, replacement.MaxFlows, "instances do not enforce this limit of the endpoints"},
		{"cold_per_s", old.ColdRequestRate, replacement.ColdRequestRate, "it limits the new flows of cold endpoints"},
	}
}

// kindName returns the name of k in the configuration.
func kindName(k carawaycart.RequestKind) string {
	if k == carawaycart.RequestUnknown {
		return "unknown"
	}
	return string(k)
}

// targetNames returns the services of targets with their weights. The services are sorted,
// because their order has no effect.
func targetNames(targets []carawaycart.RouteTarget) string {
	if len(targets) == 0 {
		return "none"
	}
	var names []string
	for _, t := range targets {
		names = append(names, fmt.Sprintf("%s (weight %d)", printable(t.Service), t.Weight))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
