package timeout

import "time"

const (
	meanDivisor      = 8 // RFC 6298: a sample moves the mean by 1/8 of its difference from it
	deviationDivisor = 4 // RFC 6298: a sample moves the deviation by 1/4 of the difference from it
	deviationFactor  = 4 // RFC 6298: the timeout is the mean plus four deviations
)

// Estimator estimates a timeout from answer times, as TCP does by RFC 6298.
// The zero value has no samples.
type Estimator struct {
	mean      time.Duration // smoothed answer time; zero without samples
	deviation time.Duration // smoothed absolute difference from mean
}

// Observe adds an answer time to the estimate.
func (e *Estimator) Observe(took time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = took, took/2
		return
	}
	difference := took - e.mean
	e.mean += difference / meanDivisor
	e.deviation += (max(difference, -difference) - e.deviation) / deviationDivisor
}

// Timeout returns the estimated timeout, limited to low and high, or initial without
// samples.
func (e *Estimator) Timeout(initial, low, high time.Duration) time.Duration {
	if e.mean == 0 {
		return initial
	}
	return min(max(e.mean+deviationFactor*e.deviation, low), high)
}
