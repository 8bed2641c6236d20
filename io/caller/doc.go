// Package caller speaks HTTP to callers. It reads what a request asks of the
// balancer, refuses what is malformed before anything is sent on, and writes
// the outcomes.
//
// Every response carries an Outcome header: "answered" means that the
// endpoint's own answer follows, "notRun" that the request was certainly not
// run and may be sent again, "unknown" that it may or may not have run. A
// response that the balancer wrote itself carries its cause in a Cause header.
package caller
