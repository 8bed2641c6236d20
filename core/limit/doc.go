// Package limit limits the flows and requests that endpoints receive.
//
// A Gate limits one endpoint. It exists only at the keeper, the one instance that
// admits new flows and requests to that endpoint, so that its limits hold for the
// sum over all instances. It counts the flows that it has admitted since the last
// load report in addition to the reported ones, and changes the state of the
// endpoint when reports are missing. A cold endpoint gets at most as many new flows
// in total as its profile allows. When it reports that it is warm, the limit
// grows with its capacity until the end of the warm-up.
//
// A Budget limits the retries of requests to a service.
package limit
