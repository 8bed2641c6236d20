package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"

	"carawaycart/internal/standin"
)

// Report is the result of a demo.
type Report struct {
	Seed      uint64 `json:"seed"`
	Site      string `json:"site"`
	Instances int    `json:"instances"`
	standin.Totals
	// ImbalanceMaxOverMean is the highest number of feeds of an endpoint of the main
	// service over the mean.
	ImbalanceMaxOverMean float64 `json:"imbalanceMaxOverMean"`
	// ControlBytesPerSecondMax is the highest mean rate of control traffic of an
	// instance, and ControlBytesPeakSecond the highest rate in one second.
	ControlBytesPerSecondMax float64          `json:"controlBytesPerSecondMax"`
	ControlBytesPeakSecond   float64          `json:"controlBytesPeakSecond"`
	PeerBytesByCall          map[string]int64 `json:"peerBytesByCall"`
	// ConfigInForceSecondsMax is the longest time until all instances had applied an
	// accepted change.
	ConfigInForceSecondsMax float64 `json:"configInForceSecondsMax"`
	ConfigReverts           int     `json:"configReverts"` // changes of an instance to an older revision
	StoreCallsPeakSecond    int64   `json:"storeCallsPeakSecond"`
	SlotsDirtyAtEnd         int64   `json:"slotsDirtyAtEnd"` // highest number of an instance
	ElapsedSeconds          float64 `json:"elapsedSeconds"`
}

// maxInForceSeconds is the longest permitted time until all instances have applied
// an accepted change.
const maxInForceSeconds = 5

// Violation is a guarantee that a run violated, and the observed value.
type Violation struct {
	Guarantee string
	Observed  string
}

// Violations returns the guarantees that the run violated.
func (r *Report) Violations() []Violation {
	var violations []Violation
	requireZero := func(n int, guarantee string) {
		if n != 0 {
			violations = append(violations, Violation{Guarantee: guarantee, Observed: fmt.Sprintf("%d", n)})
		}
	}
	requireZero(r.FlowsBroken, "an established flow survives any planned change")
	requireZero(r.PacketsToWrongService, "a packet never reaches another service")
	requireZero(r.ColdOverload, "a cold endpoint gets no more work than its limits for the cold state")
	requireZero(r.PacketsAfterZoneOut, "a zone taken out gets no more packets after a few seconds")
	requireZero(r.AnswersCrossed, "a caller gets the answer to its own request")
	requireZero(r.AnswersTruncated, "a caller gets the whole answer")
	requireZero(r.FalseRefusals, "a request that is reported as not run was not run")
	requireZero(r.KeyedRunTwice, "a non-idempotent order runs at most once")
	requireZero(r.WorkAfterLeave, "a leaving endpoint gets no new work after a few seconds")
	requireZero(r.RequestsCutByStop, "a planned stop interrupts no request")
	requireZero(r.ConfigReverts, "an accepted configuration never reverts")
	if r.ConfigInForceSecondsMax > maxInForceSeconds {
		violations = append(violations, Violation{
			Guarantee: "an accepted configuration is in force everywhere within seconds",
			Observed:  fmt.Sprintf("%.1f s", r.ConfigInForceSecondsMax),
		})
	}
	if r.FlowsOpened == 0 || r.KeyedAnswered == 0 {
		violations = append(violations, Violation{
			Guarantee: "flows are opened and orders are confirmed",
			Observed:  fmt.Sprintf("%d flows opened, %d orders confirmed", r.FlowsOpened, r.KeyedAnswered),
		})
	}
	return violations
}

// Write writes the report to w as a table with one value per row.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(t, "%s\t%v\n", name, value) }
	row("site", r.Site)
	row("seed", r.Seed)
	row("instances started", r.Instances)
	row("flows opened", r.FlowsOpened)
	row("flows broken", r.FlowsBroken)
	row("flows given up with their zone", r.FlowsEndedByZoneOut)
	row("flows that could not be opened", r.FlowsNotOpened)
	row("orders sent / confirmed", fmt.Sprintf("%d / %d", r.KeyedSent, r.KeyedAnswered))
	row("orders refused, not run", r.KeyedNotRun)
	row("orders unknown", r.KeyedUnknown)
	row("orders run twice", r.KeyedRunTwice)
	row("false refusals", r.FalseRefusals)
	row("answers crossed / truncated", fmt.Sprintf("%d / %d", r.AnswersCrossed, r.AnswersTruncated))
	row("packets to a wrong service", r.PacketsToWrongService)
	row("packets after zone out", r.PacketsAfterZoneOut)
	row("work after leave", r.WorkAfterLeave)
	row("cold overload", r.ColdOverload)
	row("requests shed by endpoints", r.RequestsShed)
	row("requests cut by a planned stop", r.RequestsCutByStop)
	row("imbalance, max over mean flows", fmt.Sprintf("%.3f", r.ImbalanceMaxOverMean))
	row("control bytes/s of an instance", fmt.Sprintf("%.0f mean, %.0f in the worst second", r.ControlBytesPerSecondMax, r.ControlBytesPeakSecond))
	row("configuration in force within", fmt.Sprintf("%.2f s", r.ConfigInForceSecondsMax))
	row("configuration reverts", r.ConfigReverts)
	row("store calls in the worst second", r.StoreCallsPeakSecond)
	row("dirty slots at the end", r.SlotsDirtyAtEnd)
	row("elapsed", fmt.Sprintf("%.1f s", r.ElapsedSeconds))
	return errors.Annotate(t.Flush(), "write report")
}

// WriteFile writes the report as JSON to the file at path.
func (r *Report) WriteFile(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Annotate(err, "encode report")
	}
	return errors.Annotate(os.WriteFile(path, append(data, '\n'), 0o644), "write report")
}
