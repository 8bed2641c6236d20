package settings_test

import (
	"os"
	"regexp"
	"testing"

	"carawaycart"
	"carawaycart/internal/settings"
)

// exampleFields holds example values of the placeholders in deploy/settings.ini, the
// template from which the platform makes the settings file of an instance.
var exampleFields = map[string]string{
	"node_name": "front-bergen-a-1", "zone": "bergen-a", "ip": "10.1.0.10", "inner_ports.0": "7720", "inner_ports.1": "7735",
	"listen.packet_addr": "10.1.0.10:8172", "listen.ready": "10.1.0.10:8167", "platform.address": "10.200.1.7:8169",
	"seeds": "10.1.0.10:8166,10.2.0.40:8166", "bootstrap": "true",
	"bounds.grace_s": "6", "bounds.cold_overrun": "1.5", "bounds.cold_slack": "5",
}

var placeholderPattern = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// render fills in the template of the platform with exampleFields, except those that are
// changed.
func render(t *testing.T, changed map[string]string) []byte {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.ini")
	if err != nil {
		t.Fatal(err)
	}
	return placeholderPattern.ReplaceAllFunc(template, func(p []byte) []byte {
		name := string(placeholderPattern.FindSubmatch(p)[1])
		value, ok := exampleFields[name]
		if !ok {
			t.Errorf("the platform has no field %s", name)
		}
		if v, ok := changed[name]; ok {
			value = v
		}
		return []byte(value)
	})
}

// TestPlatformTemplateIsValid guards against a template whose placeholders the
// platform does not know or whose settings do not parse, so that no instance starts.
func TestPlatformTemplateIsValid(t *testing.T) {
	s, err := settings.Parse("settings.ini", render(t, nil))
	if err != nil {
		t.Fatal(err)
	}
	if s.Format != settings.FormatToken || len(s.Seeds) != 2 || !s.FirstStart || s.GraceMillis != 6000 || s.ColdSlack != 5 {
		t.Errorf("got %+v, want the fields of the platform", s)
	}
}

// TestFiguresOfPlatform guards against settings that stop every instance from starting because
// a figure of the platform is a fraction, or because the platform has no value for a field.
func TestFiguresOfPlatform(t *testing.T) {
	for _, test := range []struct {
		name    string
		changed map[string]string
		grace   carawaycart.Millis
		overrun float64
		slack   float64
		first   bool
	}{
		{"whole numbers", map[string]string{"bounds.cold_overrun": "2"}, 6000, 2, 5, true},
		{"fractions", map[string]string{"bounds.grace_s": "6.5", "bounds.cold_overrun": "1.25", "bounds.cold_slack": "2.5"}, 6500, 1.25, 2.5, true},
		{"fraction of a second", map[string]string{"bounds.grace_s": "0.25"}, 250, 1.5, 5, true},
		{"whole numbers as fractions", map[string]string{"bounds.grace_s": "6.0", "bounds.cold_slack": "5.0"}, 6000, 1.5, 5, true},
		{"exponents", map[string]string{"bounds.grace_s": "1e1", "bounds.cold_slack": "5e-1"}, 10000, 1.5, 0.5, true},
		{"no values", map[string]string{"bounds.grace_s": "", "bounds.cold_overrun": "", "bounds.cold_slack": "", "bootstrap": ""}, 6000, 1.5, 5, false},
	} {
		s, err := settings.Parse("settings.ini", render(t, test.changed))
		if err != nil {
			t.Errorf("%s: got %v, want valid settings", test.name, err)
			continue
		}
		if s.GraceMillis != test.grace || s.ColdOverrun != test.overrun || s.ColdSlack != test.slack || s.FirstStart != test.first {
			t.Errorf("%s: got grace %d ms, overrun %v, slack %v, first start %t, want %d, %v, %v, %t",
				test.name, s.GraceMillis, s.ColdOverrun, s.ColdSlack, s.FirstStart, test.grace, test.overrun, test.slack, test.first)
		}
	}
	for _, name := range []string{"bounds.grace_s", "bounds.cold_overrun", "bounds.cold_slack"} {
		for _, v := range []string{"NaN", "Inf", "-1", "1e9", "true", "6 s", "6,5"} {
			if _, err := settings.Parse("settings.ini", render(t, map[string]string{name: v})); err == nil {
				t.Errorf("%s = %s: got no fault", name, v)
			}
		}
	}
}
