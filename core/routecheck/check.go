package routecheck

import (
	"fmt"
	"net/netip"
	"strings"

	"carawaycart"
)

// Input is a routing configuration to be checked, as decoded.
type Input struct {
	Config *carawaycart.RouteConfig // nil if Refusal is set
	// Refusal is the reason for which decoding refuses the configuration as a whole.
	Refusal error
	Faults  []carawaycart.ConfigFault // faults that decoding has found
	// InForce is the configuration that the instances use; nil if it is not known.
	InForce *carawaycart.RouteConfig
	// InForceRefusal is the reason for which InForce could not be decoded.
	InForceRefusal error
}

// Check returns what is wrong with the configuration in in, and its differences from the
// version in force, ordered by severity and then by position in the configuration.
func Check(in *Input) []Finding {
	var f findings
	if in.Refusal != nil {
		f.add(Error, configObject, "%v, so instances refuse the whole configuration and keep the one in force", in.Refusal)
	}
	if in.InForceRefusal != nil {
		f.add(Warning, configObject, "the version in force cannot be decoded (%v), so versions are not compared", in.InForceRefusal)
	}
	if in.Config == nil {
		f.sort()
		return f
	}
	if in.InForce != nil {
		checkVersion(&f, in.Config.Version, in.InForce.Version)
	}
	if len(in.Config.Routes) == 0 {
		f.add(Error, configObject, "it has no valid route, so instances refuse all new flows")
	}
	checkFaults(&f, in.Faults)
	checkRoutes(&f, in.Config)
	checkServices(&f, in.Config)
	if in.InForce != nil {
		addDifferences(&f, in.InForce, in.Config)
	}
	f.sort()
	return f
}

// checkVersion compares the version with the one in force.
func checkVersion(f *findings, version, inForce uint64) {
	switch {
	case version < inForce:
		f.add(Error, configObject, "version %d is below version %d in force, so running instances ignore the configuration", version, inForce)
	case version == inForce:
		f.add(Warning, configObject, "version %d is also the version in force, so instances cannot tell which one is newer, "+
			"and a restore of the store can bring the old one back", version)
	}
}

// checkFaults adds the faults that decoding has found.
func checkFaults(f *findings, faults []carawaycart.ConfigFault) {
	for i := range faults {
		fault := &faults[i]
		object := faultObject(fault)
		switch fault.Effect {
		case carawaycart.ConfigPartOmitted:
			effect := "so instances leave the route out and do not forward its flows"
			if fault.Part == carawaycart.ConfigService {
				effect = "so instances leave the service out, and its endpoints have no health path and no cold rate"
			}
			f.add(Error, object, "%s, %s", fault.Reason, effect)
		case carawaycart.ConfigValueLimited:
			f.add(Warning, object, "%s, so instances use that in its place", fault.Reason)
		default:
			f.add(Warning, object, "%s, so instances ignore the value", fault.Reason)
		}
	}
}

// faultObject returns the object of a finding about fault: the name of the route or service, or
// its position if it has none.
func faultObject(fault *carawaycart.ConfigFault) string {
	switch {
	case fault.Part == carawaycart.ConfigWhole:
		return configObject
	case fault.Name == "":
		return fmt.Sprintf("%s/#%d", fault.Part, fault.Position)
	}
	return string(fault.Part) + "/" + printable(fault.Name)
}

// checkRoutes checks the valid routes of c.
func checkRoutes(f *findings, c *carawaycart.RouteConfig) {
	defined := make(map[carawaycart.ServiceID]bool)
	for _, s := range c.Services {
		defined[s.ID] = true
	}
	last := lastByKey(c.Routes, routeAddress)
	for i := range c.Routes {
		r := &c.Routes[i]
		object := routeObject(r)
		if l := last[r.Address]; l != i {
			f.add(Error, object, "a later route (%s) has the same address %s, so this route never gets a flow", routeObject(&c.Routes[l]), r.Address)
		}
		if r.Address.Port() == 0 {
			f.add(Error, object, "its port is 0, to which callers cannot open flows, so this route never gets a flow")
		}
		checkTargets(f, r, defined)
		if r.TimeBudget > 0 && r.TargetLatency > r.TimeBudget {
			f.add(Warning, object, "the target latency of %v exceeds the time budget of %v, so callers can give up on requests "+
				"that instances count as on time", r.TargetLatency, r.TimeBudget)
		}
		if r.Kind == carawaycart.RequestUnknown {
			f.add(Warning, object, "its type is missing or unknown, so instances treat its requests as not idempotent and never repeat them")
		}
	}
}

// lastByKey returns the index of the last entry with each key. Instances use that route of an
// address and that policy of a service.
func lastByKey[T any, K comparable](entries []T, key func(*T) K) map[K]int {
	last := make(map[K]int)
	for i := range entries {
		last[key(&entries[i])] = i
	}
	return last
}

// inUse returns the entries that are the last ones with their key, in their order.
func inUse[T any, K comparable](entries []T, key func(*T) K) []T {
	last := lastByKey(entries, key)
	var used []T
	for i := range entries {
		if last[key(&entries[i])] == i {
			used = append(used, entries[i])
		}
	}
	return used
}

func routeAddress(r *carawaycart.Route) netip.AddrPort { return r.Address }

func serviceID(s *carawaycart.ServicePolicy) carawaycart.ServiceID { return s.ID }

// checkTargets checks the services of r, of which those in defined have a policy.
func checkTargets(f *findings, r *carawaycart.Route, defined map[carawaycart.ServiceID]bool) {
	object := routeObject(r)
	if len(r.Targets) == 0 {
		f.add(Error, object, "it names no service, or the weights of its services sum to zero, so instances refuse its new flows")
		return
	}
	var undefined []string
	targets := make(map[carawaycart.ServiceID]bool)
	for _, t := range r.Targets {
		if !targets[t.Service] && !defined[t.Service] {
			undefined = append(undefined, printable(t.Service))
		}
		targets[t.Service] = true
	}
	switch {
	case undefined == nil:
	case len(undefined) == len(targets):
		f.add(Error, object, "none of its services (%s) is defined in services, so its new flows are refused unless endpoints "+
			"have registered for one of them", strings.Join(undefined, ", "))
	default:
		f.add(Warning, object, "some of its services (%s) are not defined in services, so endpoints that have registered for them "+
			"have no health path and no cold rate", strings.Join(undefined, ", "))
	}
}

// checkServices checks the policies of services in c.
func checkServices(f *findings, c *carawaycart.RouteConfig) {
	last := lastByKey(c.Services, serviceID)
	used := make(map[carawaycart.ServiceID]bool)
	for _, r := range inUse(c.Routes, routeAddress) {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	for i, s := range c.Services {
		object := serviceObject(&s)
		if last[s.ID] != i {
			f.add(Error, object, "a later entry has the same name, so this one has no effect")
			continue
		}
		if !used[s.ID] {
			f.add(Warning, object, "no route in use sends flows to it, so its endpoints get none")
		}
		if s.ColdRequestRate == 0 {
			f.add(Warning, object, "its cold rate (cold_per_s) is 0, so cold endpoints get only the flows that the setting coldSlack allows")
		}
		if s.MaxFlows <= 0 {
			f.add(Warning, object, "its flow limit (max_conns) is %d, so an endpoint that keeps to it rejects every flow; "+
				"instances do not enforce it", s.MaxFlows)
		}
	}
}

// routeObject returns the object of findings about r: its name, or its address if it has none.
func routeObject(r *carawaycart.Route) string {
	if r.Name == "" {
		return "route/" + r.Address.String()
	}
	return "route/" + printable(r.Name)
}

// serviceObject returns the object of findings about s.
func serviceObject(s *carawaycart.ServicePolicy) string { return "service/" + printable(s.ID) }
