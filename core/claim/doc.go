// Package claim stores claims, the records of keyed requests. A keyed request is a
// request with an idempotency key; with its claim it is run at most once, however
// often it is retried and through whichever instance.
//
// A claim is recorded at the keeper of its key before the request is sent to an
// endpoint, and the keeper copies it to replicas before it admits the request.
// A Table holds the claims of one instance. It answers a retry from the claim of
// the earlier attempt, and admits a request only if no earlier attempt can have
// run. If all holders of a key failed before they could be replaced, it answers
// Uncertain until a lost claim would have expired.
package claim
