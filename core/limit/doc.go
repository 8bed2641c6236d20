// Package limit limits the flows and requests that endpoints receive.
//
// A Limiter limits one endpoint. It exists only at the keeper, the one instance
// that admits new flows and requests to that endpoint, so that its limits hold for
// the sum over all instances. It counts the flows that it has admitted since the
// last load report in addition to the reported ones, and marks the endpoint as
// silent or dead when reports are missing.
//
// A cold endpoint gets at most as many new flows in total as its profile allows,
// its cold allowance. When it reports that it is warm, that limit grows linearly by
// the number of flows that the endpoint can hold, until the end of the warm-up.
//
// A request slot is the capacity of an endpoint to run one request; it has nothing
// to do with the slots of flows. A permit is the use of one request slot by an
// instance.
//
// A Budget limits the retries of requests to a service.
package limit
