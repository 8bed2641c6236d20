package operator

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const metricPrefix = "carawaycart_"

// WriteMetrics writes the counters and gauges of r in the Prometheus text
// format. A name "a.b" becomes metric "a" with the label kind "b".
func WriteMetrics(w io.Writer, r metrics.Registry) {
	kinds := make(map[string]string)
	lines := make(map[string][]string)
	r.Each(func(name string, m any) {
		base, label, labelled := strings.Cut(name, ".")
		var value int64
		switch m := m.(type) {
		case metrics.Counter:
			kinds[base], value = "counter", m.Count()
		case metrics.Gauge:
			kinds[base], value = "gauge", m.Value()
		default:
			return
		}
		line := fmt.Sprintf("%s%s %d", metricPrefix, base, value)
		if labelled {
			line = fmt.Sprintf("%s%s{kind=%q} %d", metricPrefix, base, label, value)
		}
		lines[base] = append(lines[base], line)
	})
	bases := make([]string, 0, len(lines))
	for base := range lines {
		bases = append(bases, base)
	}
	sort.Strings(bases)
	for _, base := range bases {
		sort.Strings(lines[base])
		_, _ = fmt.Fprintf(w, "# TYPE %s%s %s\n%s\n", metricPrefix, base, kinds[base], strings.Join(lines[base], "\n"))
	}
}
