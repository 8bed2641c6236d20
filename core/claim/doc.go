// Package claim stores claims, the records of keyed requests. A keyed request is a
// request with an idempotency key; with its claim it is run at most once, however
// often it is retried and through whichever instance.
//
// An attempt is one try at a keyed request, made by the instance that received it
// from the caller, the entry instance. Its claim is recorded at the keeper of the
// key before the request is sent to an endpoint, and the keeper copies the claim to
// replicas before it admits the attempt. The keeper and the replicas are the
// holders of the key.
//
// A Table holds the claims of one instance. It answers a retry from the claim of
// the earlier attempt, and admits an attempt only if no earlier one can have run.
// If all holders of a key failed before they could be replaced, it answers
// Uncertain until a lost claim would have expired.
package claim
