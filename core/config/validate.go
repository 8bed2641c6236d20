package config

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"

	"github.com/juju/errors"

	"carawaycart"
)

// Upper limits of numbers in configuration objects.
const (
	maxCount   = 1_000_000 // flows, requests or request slots
	maxSeconds = 7 * 24 * 3600
	maxPercent = 1000
)

// namePattern matches the names and IDs of configuration objects.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// DecodeStrict decodes one JSON object into v. The error is NotValid if data is not
// valid JSON, has unknown fields, or has data after the object.
func DecodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.NewNotValid(err, "decode object")
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.NotValidf("trailing data after the JSON object")
	}
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return errors.NotValidf("null in place of an object")
	}
	return nil
}

// ValidateName returns a NotValid error unless name is a valid object name.
func ValidateName(name string) error {
	if !namePattern.MatchString(name) {
		return errors.NotValidf("name %q (want 1 to 63 of a-z, 0-9, '.', '-', beginning with a letter or digit)", name)
	}
	return nil
}

// intRange is the value of a field in JSON, with the inclusive limits of that value.
type intRange struct {
	field    string
	value    int
	min, max int
}

// validateRanges returns a NotValid error for the first value that is out of range.
func validateRanges(ranges []intRange) error {
	for _, r := range ranges {
		if r.value < r.min || r.value > r.max {
			return errors.NotValidf("%s = %d (want %d to %d)", r.field, r.value, r.min, r.max)
		}
	}
	return nil
}

// ValidateProfile returns a NotValid error unless the name of p is valid and all its
// values are in range.
func ValidateProfile(p carawaycart.Profile) error {
	if err := ValidateName(string(p.Name)); err != nil {
		return errors.Annotate(err, "profile")
	}
	return errors.Annotatef(validateRanges([]intRange{
		{"coldFlows", p.ColdFlows, 0, maxCount},
		{"coldRequests", p.ColdRequests, 0, maxCount},
		{"warmupSeconds", int(p.WarmupSeconds), 0, maxSeconds},
		{"drainSeconds", int(p.DrainSeconds), 1, maxSeconds},
		{"flowIdleSeconds", int(p.FlowIdleSeconds), 1, maxSeconds},
		{"requestSeconds", int(p.RequestSeconds), 1, maxSeconds},
		{"queueSeconds", int(p.QueueSeconds), 0, maxSeconds},
		{"retryPercent", p.RetryPercent, 0, maxPercent},
		{"answerSeconds", int(p.AnswerSeconds), 1, maxSeconds},
	}), "profile %s", p.Name)
}

// validateService returns an error unless s is valid on its own, its profile exists,
// and no other service has its address.
func (c *Configuration) validateService(s carawaycart.Service) error {
	if err := ValidateName(string(s.ID)); err != nil {
		return errors.Annotate(err, "service")
	}
	if !s.Address.IsValid() {
		return errors.NotValidf("service %s: address", s.ID)
	}
	if _, ok := c.Profiles[s.Profile]; !ok {
		return errors.NotFoundf("service %s: profile %q", s.ID, s.Profile)
	}
	for id, other := range c.Services {
		if id != s.ID && other.Address == s.Address {
			return errors.AlreadyExistsf("service %s: address %s of service %s", s.ID, s.Address, id)
		}
	}
	return nil
}

// validateEndpoint returns an error unless e is valid on its own, its service and
// zone exist, and it does not move an existing endpoint to another service.
func (c *Configuration) validateEndpoint(e carawaycart.Endpoint) error {
	if err := ValidateName(string(e.ID)); err != nil {
		return errors.Annotate(err, "endpoint")
	}
	if _, ok := c.Services[e.Service]; !ok {
		return errors.NotFoundf("endpoint %s: service %q", e.ID, e.Service)
	}
	if _, ok := c.Zones[e.Zone]; !ok {
		return errors.NotFoundf("endpoint %s: zone %q", e.ID, e.Zone)
	}
	if old, ok := c.Endpoints[e.ID]; ok && old.Service != e.Service {
		return errors.NotValidf("endpoint %s: change of service from %s to %s", e.ID, old.Service, e.Service)
	}
	switch e.Mark {
	case carawaycart.MarkNone, carawaycart.MarkLeaving, carawaycart.MarkDrained, carawaycart.MarkEnded:
	default:
		return errors.NotValidf("endpoint %s: mark %q", e.ID, e.Mark)
	}
	if !e.FlowAddress.IsValid() && !e.RequestAddress.IsValid() {
		return errors.NotValidf("endpoint %s without flowAddress and requestAddress", e.ID)
	}
	return errors.Annotatef(validateRanges([]intRange{
		{"flows", e.MaxFlows, 1, maxCount},
		{"slots", e.RequestSlots, 0, maxCount},
	}), "endpoint %s", e.ID)
}
