package settings

import (
	"fmt"
	"strings"
)

// Reference returns the reference page of all settings in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("One INI file per instance, given by `carawaycart balancer -config FILE`; `carawaycart check FILE` reports\n")
	b.WriteString("every fault of a file at once. Unknown sections and keys are faults. A change needs a restart.\n\n")
	b.WriteString("| section | key | required | default | meaning |\n|---|---|---|---|---|\n")
	for _, f := range fields {
		required := "no"
		if f.Required {
			required = "yes"
		}
		if f.OnlyFormat != "" {
			required += ", only `" + string(f.OnlyFormat) + "`"
		}
		_, _ = fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s | %s |\n", f.Section, f.Key, required, f.Default, f.Meaning)
	}
	return b.String()
}
