package message

import (
	"net/netip"
	"time"

	"github.com/juju/errors"

	"carawaycart"
)

// FromMember returns the message for m.
func FromMember(m carawaycart.Member) *Member {
	return &Member{
		Id: string(m.ID), Zone: string(m.Zone), PeerAddress: m.PeerAddress.String(),
		Incarnation: uint64(m.Incarnation), State: uint32(m.State), Revision: uint64(m.Revision),
	}
}

// ToMember returns the member that m describes. The error is NotValid if the ID is
// empty, the address malformed or the state undefined.
func ToMember(m *Member) (carawaycart.Member, error) {
	address, err := netip.ParseAddrPort(m.GetPeerAddress())
	if err != nil || m.GetId() == "" || m.GetState() > uint32(carawaycart.MemberDead) {
		return carawaycart.Member{}, errors.NotValidf("member %q at %q in state %d", m.GetId(), m.GetPeerAddress(), m.GetState())
	}
	return carawaycart.Member{
		ID: carawaycart.InstanceID(m.GetId()), Zone: carawaycart.ZoneID(m.GetZone()), PeerAddress: address,
		Incarnation: carawaycart.Incarnation(m.GetIncarnation()), State: carawaycart.MemberState(m.GetState()),
		Revision: carawaycart.Revision(m.GetRevision()),
	}, nil
}

// FromStatus returns the message for s.
func FromStatus(s carawaycart.EndpointStatus) *EndpointStatus {
	return &EndpointStatus{
		Endpoint: string(s.Endpoint), Keeper: string(s.Keeper), Version: uint64(s.Version),
		State: uint32(s.State), Guarded: s.Guarded,
	}
}

// ToStatus returns the status that s describes. The error is NotValid if the
// endpoint is empty or the state undefined.
func ToStatus(s *EndpointStatus) (carawaycart.EndpointStatus, error) {
	if s.GetEndpoint() == "" || s.GetState() > uint32(carawaycart.EndpointDead) {
		return carawaycart.EndpointStatus{}, errors.NotValidf("status of endpoint %q in state %d", s.GetEndpoint(), s.GetState())
	}
	return carawaycart.EndpointStatus{
		Endpoint: carawaycart.EndpointID(s.GetEndpoint()), Keeper: carawaycart.InstanceID(s.GetKeeper()),
		Version: carawaycart.StatusVersion(s.GetVersion()), State: carawaycart.EndpointState(s.GetState()), Guarded: s.GetGuarded(),
	}, nil
}

// FromRecords returns a batch with records, grouped by service, and ended, the
// fingerprints of ended flows.
func FromRecords(records []carawaycart.FlowRecord, ended []carawaycart.Fingerprint) *RecordBatch {
	b := &RecordBatch{}
	groups := make(map[carawaycart.ServiceID]*RecordGroup)
	for _, r := range records {
		g := groups[r.Service]
		if g == nil {
			g = &RecordGroup{Service: string(r.Service)}
			groups[r.Service] = g
			b.Groups = append(b.Groups, g)
		}
		g.Endpoint = append(g.Endpoint, internEndpoint(g, string(r.Endpoint)))
		g.Fingerprints = append(g.Fingerprints, uint64(r.Fingerprint))
		g.Revision = append(g.Revision, uint64(r.Revision))
		g.OpenedUnix = append(g.OpenedUnix, r.OpenedUnixNano)
	}
	for _, f := range ended {
		b.Ended = append(b.Ended, uint64(f))
	}
	return b
}

// internEndpoint returns the index of endpoint in g.Endpoints, to which it appends
// endpoint if it is absent.
func internEndpoint(g *RecordGroup, endpoint string) uint32 {
	for i, e := range g.Endpoints {
		if e == endpoint {
			return uint32(i)
		}
	}
	g.Endpoints = append(g.Endpoints, endpoint)
	return uint32(len(g.Endpoints) - 1)
}

// ToRecords returns the records of b and the fingerprints of ended flows. The error
// is NotValid if a group has arrays of unequal lengths or an endpoint index out of
// range.
func ToRecords(b *RecordBatch) ([]carawaycart.FlowRecord, []carawaycart.Fingerprint, error) {
	var records []carawaycart.FlowRecord
	for _, g := range b.GetGroups() {
		n := len(g.GetFingerprints())
		if len(g.GetEndpoint()) != n || len(g.GetRevision()) != n || len(g.GetOpenedUnix()) != n {
			return nil, nil, errors.NotValidf("record group of service %q with unequal lengths", g.GetService())
		}
		for i, f := range g.GetFingerprints() {
			e := g.GetEndpoint()[i]
			if int(e) >= len(g.GetEndpoints()) {
				return nil, nil, errors.NotValidf("record of service %q with endpoint index %d of %d", g.GetService(), e, len(g.GetEndpoints()))
			}
			records = append(records, carawaycart.FlowRecord{
				Service: carawaycart.ServiceID(g.GetService()), Fingerprint: carawaycart.Fingerprint(f),
				Endpoint: carawaycart.EndpointID(g.GetEndpoints()[e]),
				Revision: carawaycart.Revision(g.GetRevision()[i]), OpenedUnixNano: g.GetOpenedUnix()[i],
			})
		}
	}
	ended := make([]carawaycart.Fingerprint, 0, len(b.GetEnded()))
	for _, f := range b.GetEnded() {
		ended = append(ended, carawaycart.Fingerprint(f))
	}
	return records, ended, nil
}

// FromClaim returns the message for c.
func FromClaim(c carawaycart.Claim) *Claim {
	return &Claim{
		Key: string(c.Key), Service: string(c.Service), Digest: uint64(c.Digest), Attempt: string(c.Attempt),
		Entry: string(c.EntryInstance), State: uint32(c.State), Status: int32(c.Answer.Status),
		ContentType: c.Answer.ContentType, Body: c.Answer.Body, DeadlineUnix: c.Deadline.UnixNano(),
	}
}

// ToClaim returns the claim that c describes. The error is NotValid if the key is
// empty or the state undefined.
func ToClaim(c *Claim) (carawaycart.Claim, error) {
	if c.GetKey() == "" || c.GetState() > uint32(carawaycart.ClaimUnknown) {
		return carawaycart.Claim{}, errors.NotValidf("claim %q in state %d", c.GetKey(), c.GetState())
	}
	return carawaycart.Claim{
		Key: carawaycart.IdempotencyKey(c.GetKey()), Service: carawaycart.ServiceID(c.GetService()),
		Digest: carawaycart.RequestDigest(c.GetDigest()), Attempt: carawaycart.AttemptID(c.GetAttempt()),
		EntryInstance: carawaycart.InstanceID(c.GetEntry()), State: carawaycart.ClaimState(c.GetState()),
		Answer:   carawaycart.Answer{Status: int(c.GetStatus()), ContentType: c.GetContentType(), Body: c.GetBody()},
		Deadline: time.Unix(0, c.GetDeadlineUnix()),
	}, nil
}
