package operator

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const metricPrefix = "carawaycart_"

// WriteMetrics writes the counters, gauges and histograms of r in the Prometheus
// text format, sorted by name and prefixed with metricPrefix. A counter or gauge
// named "a.b" becomes metric "a" with the label kind="b", a histogram becomes a
// summary, and metrics of other types are omitted.
func WriteMetrics(w io.Writer, r metrics.Registry) {
	types := make(map[string]string)
	lines := make(map[string][]string)
	r.Each(func(name string, m any) {
		base, label, hasLabel := strings.Cut(name, ".")
		var value int64
		switch m := m.(type) {
		case metrics.Counter:
			types[base], value = "counter", m.Count()
		case metrics.Gauge:
			types[base], value = "gauge", m.Value()
		case metrics.Histogram:
			types[base] = "summary"
			lines[base] = histogramLines(base, m.Snapshot())
			return
		default:
			return
		}
		line := fmt.Sprintf("%s%s %d", metricPrefix, base, value)
		if hasLabel {
			line = fmt.Sprintf("%s%s{kind=%q} %d", metricPrefix, base, label, value)
		}
		lines[base] = append(lines[base], line)
	})
	names := make([]string, 0, len(lines))
	for base := range lines {
		names = append(names, base)
	}
	sort.Strings(names)
	for _, base := range names {
		sort.Strings(lines[base])
		_, _ = fmt.Fprintf(w, "# TYPE %s%s %s\n%s\n", metricPrefix, base, types[base], strings.Join(lines[base], "\n"))
	}
}

// quantiles are the quantiles written for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// histogramLines returns the lines of the summary base for h: the quantiles, the
// count and the sum.
func histogramLines(base string, h metrics.Histogram) []string {
	var lines []string
	for i, v := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s%s{quantile=\"%g\"} %g", metricPrefix, base, quantiles[i], v))
	}
	return append(lines, fmt.Sprintf("%s%s_count %d", metricPrefix, base, h.Count()), fmt.Sprintf("%s%s_sum %d", metricPrefix, base, h.Sum()))
}
