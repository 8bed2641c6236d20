package steer

import "time"

const (
	minFirstPacketTimeout     = 20 * time.Millisecond  // answers normally take 8 ms
	maxFirstPacketTimeout     = 150 * time.Millisecond // callers resend a first packet after 200 ms
	initialFirstPacketTimeout = 40 * time.Millisecond

	meanDivisor      = 8 // RFC 6298: the smoothed time moves by 1/8 of the difference
	deviationDivisor = 4 // RFC 6298: the deviation moves by 1/4 of the difference
	deviationFactor  = 4 // RFC 6298: the timeout is the mean plus four deviations
)

// timeoutEstimator estimates a timeout from answer times, as TCP does by RFC 6298.
// The zero value has no samples.
type timeoutEstimator struct {
	mean      time.Duration
	deviation time.Duration
}

// observe adds an answer time to the estimate.
func (e *timeoutEstimator) observe(took time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = took, took/2
		return
	}
	difference := took - e.mean
	e.mean += difference / meanDivisor
	e.deviation += (max(difference, -difference) - e.deviation) / deviationDivisor
}

// timeout returns the estimate, bounded by low and high, or initial without samples.
func (e *timeoutEstimator) timeout(initial, low, high time.Duration) time.Duration {
	if e.mean == 0 {
		return initial
	}
	return min(max(e.mean+deviationFactor*e.deviation, low), high)
}
