package carawaycart

import "time"

// InstanceID names one balancer instance, unique over its restarts.
type InstanceID string

// ZoneID names an availability zone.
type ZoneID string

// ServiceID names a service; it is also the host name of its requests.
type ServiceID string

// EndpointID names one endpoint, a host that serves one service.
type EndpointID string

// ProfileName names a profile.
type ProfileName string

// OperatorName names the operator who made a change.
type OperatorName string

// ChangeID identifies one attempted change, unique over all operators.
type ChangeID string

// Revision counts accepted changes of configuration; zero means none.
type Revision uint64

// Incarnation orders the statements that one instance makes about itself.
type Incarnation uint64

// Version orders the statements made about one endpoint by its keepers.
type Version uint64

// IdempotencyKey identifies one order over all of its tries.
type IdempotencyKey string

// RequestDigest is a hash of a request's method, target and body length.
type RequestDigest uint64

// AttemptID identifies one try of a keyed request, unique over all instances.
type AttemptID string

// PermitID identifies one permission to use a request slot of an endpoint.
type PermitID string

// SlotIndex is the index of a slot in its service's table.
type SlotIndex uint32

// Fingerprint is the 64-bit hash of a FlowKey.
type Fingerprint uint64

// Seconds is a span of whole seconds in a profile.
type Seconds int

// Duration returns s as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(s) * time.Second }
