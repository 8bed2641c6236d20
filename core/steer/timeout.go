package steer

import "time"

const (
	minFirstPacketTimeout     = 20 * time.Millisecond  // answers to first packets normally take 8 ms
	maxFirstPacketTimeout     = 150 * time.Millisecond // callers resend a first packet after 200 ms
	initialFirstPacketTimeout = 40 * time.Millisecond  // timeout before any first packet was answered

	meanDivisor      = 8 // RFC 6298: a sample moves the mean by 1/8 of its difference from it
	deviationDivisor = 4 // RFC 6298: a sample moves the deviation by 1/4 of the difference from it
	deviationFactor  = 4 // RFC 6298: the timeout is the mean plus four deviations
)

// timeoutEstimator estimates a timeout from answer times, as TCP does by RFC 6298.
// The zero value has no samples.
type timeoutEstimator struct {
	mean      time.Duration // smoothed answer time; zero without samples
	deviation time.Duration // smoothed absolute difference from mean
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

// timeout returns the estimated timeout, limited to low and high, or initial without
// samples.
func (e *timeoutEstimator) timeout(initial, low, high time.Duration) time.Duration {
	if e.mean == 0 {
		return initial
	}
	return min(max(e.mean+deviationFactor*e.deviation, low), high)
}
