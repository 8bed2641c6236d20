// Package caller implements the HTTP interface to callers: it parses and checks
// requests, writes responses and runs the HTTP server.
//
// Every response carries an Outcome header: "answered" means that an endpoint ran
// the request, "notRun" that the request was certainly not run and may be retried,
// "unknown" that it may or may not have run. A response that the balancer generated
// itself carries the reason in a Cause header. All other responses are those of
// endpoints.
package caller
