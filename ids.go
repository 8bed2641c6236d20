package carawaycart

import "time"

// InstanceID identifies a balancer instance. It is unique in the fleet and over
// restarts.
type InstanceID string

// ZoneID identifies an availability zone.
type ZoneID string

// ServiceID identifies a service. It is also the host name in its requests.
type ServiceID string

// EndpointID identifies an endpoint.
type EndpointID string

// ProfileName identifies a Profile.
type ProfileName string

// OperatorName identifies the operator who made a change.
type OperatorName string

// ChangeID identifies one attempted change. It is unique over all operators.
type ChangeID string

// Revision is the number of accepted configuration changes; zero means none.
type Revision uint64

// Incarnation orders the statements that an instance makes about its own state;
// the highest one is valid.
type Incarnation uint64

// StatusVersion orders the statuses of an endpoint that its keepers publish; the
// highest one is valid.
type StatusVersion uint64

// IdempotencyKey identifies a keyed request, an HTTP request with an Idempotency-Key
// header, over all of its attempts.
type IdempotencyKey string

// RequestDigest is a hash of the method, target and body of a request.
type RequestDigest uint64

// AttemptID identifies one attempt of a keyed request. It is unique over all
// instances.
type AttemptID string

// PermitID identifies a permit, which allows one request to use a request slot of
// an endpoint.
type PermitID string

// SlotIndex is the index of a slot in the SlotTable of its service.
type SlotIndex uint32

// Fingerprint is the 64-bit hash of a FlowKey.
type Fingerprint uint64

// Millis is a duration in whole milliseconds.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Seconds is a duration in whole seconds.
type Seconds int

// Duration returns s as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(s) * time.Second }
