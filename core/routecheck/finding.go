package routecheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// Severity is the importance of a Finding.
type Severity string

// The severities of findings, the most important one first.
const (
	Error      Severity = "error"      // a value is refused, or a part can never take effect
	Warning    Severity = "warning"    // a value is ignored, or probably not meant
	Difference Severity = "difference" // a value differs from the version in force
)

// severities lists the severities in the order in which findings are reported.
var severities = []Severity{Error, Warning, Difference}

// Finding is one result of Check.
type Finding struct {
	Severity Severity `json:"severity"`
	Object   string   `json:"object"`  // such as "config", "route/NAME" or "service/NAME"
	Message  string   `json:"message"` // what is wrong and what follows from it
}

// configObject is the object of findings about the configuration as a whole.
const configObject = "config"

// findings collects findings.
type findings []Finding

// add appends a finding.
func (f *findings) add(s Severity, object, format string, args ...any) {
	*f = append(*f, Finding{s, object, fmt.Sprintf(format, args...)})
}

// sort orders f by severity, and otherwise leaves the order as it is.
func (f findings) sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Compare(slices.Index(severities, a.Severity), slices.Index(severities, b.Severity))
	})
}

// Summary returns the number of findings of each severity, such as "1 error, 2 warnings".
func Summary(found []Finding) string {
	var parts []string
	for _, s := range severities {
		n := 0
		for _, f := range found {
			if f.Severity == s {
				n++
			}
		}
		switch {
		case n == 1:
			parts = append(parts, "1 "+string(s))
		case n > 1:
			parts = append(parts, fmt.Sprintf("%d %ss", n, s))
		}
	}
	if parts == nil {
		return "no findings"
	}
	return strings.Join(parts, ", ")
}

// printable returns name, quoted if it is empty or contains spaces, colons or characters that
// cannot be printed, so that a finding stays on one line and its parts can be told apart.
func printable[T ~string](name T) string {
	s := string(name)
	special := func(r rune) bool { return !unicode.IsPrint(r) || strings.ContainsRune(` :"`, r) }
	if s == "" || strings.ContainsFunc(s, special) {
		return strconv.Quote(s)
	}
	return s
}
