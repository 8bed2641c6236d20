package settings_test

import (
	"os"
	"regexp"
	"testing"

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

// TestPlatformTemplateIsValid guards against a template whose placeholders the
// platform does not know or whose settings do not parse, so that no instance starts.
func TestPlatformTemplateIsValid(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.ini")
	if err != nil {
		t.Fatal(err)
	}
	rendered := placeholderPattern.ReplaceAllStringFunc(string(template), func(p string) string {
		value, ok := exampleFields[placeholderPattern.FindStringSubmatch(p)[1]]
		if !ok {
			t.Errorf("the platform has no field %s", p)
		}
		return value
	})
	s, err := settings.Parse("settings.ini", []byte(rendered))
	if err != nil {
		t.Fatal(err)
	}
	if s.Format != settings.FormatToken || len(s.Seeds) != 2 || !s.FirstStart || s.GraceSeconds != 6 || s.ColdSlack != 5 {
		t.Errorf("got %+v, want the fields of the platform", s)
	}
}
