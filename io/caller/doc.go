// Package caller implements the HTTP interface to callers. It parses requests,
// rejects malformed ones before they are forwarded, and writes responses.
//
// Every response carries an Outcome header: "answered" means that the response
// is the endpoint's, "notRun" that the request was certainly not run and may be
// retried, "unknown" that it may or may not have run. A response that the
// balancer generated itself carries the reason in a Cause header.
package caller
