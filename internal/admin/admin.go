package admin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/config"
	"carawaycart/io/platform"
)

// Admin changes the configuration on behalf of one operator.
type Admin struct {
	log      *platform.ChangeLog
	operator carawaycart.OperatorName
	clock    carawaycart.Clock
	dryRun   bool
}

// NewAdmin returns an Admin that appends changes of operator to log.
func NewAdmin(log *platform.ChangeLog, operator carawaycart.OperatorName, clock carawaycart.Clock) *Admin {
	return &Admin{log: log, operator: operator, clock: clock}
}

// DryRun returns a copy of a that checks changes against the latest configuration
// and appends none.
func (a *Admin) DryRun() *Admin {
	dryRun := *a
	dryRun.dryRun = true
	return &dryRun
}

// Put creates or replaces the object with the given kind and name by the JSON form of
// object.
func (a *Admin) Put(ctx context.Context, kind carawaycart.ObjectKind, name string, object any) (carawaycart.Change, error) {
	data, err := json.Marshal(object)
	if err != nil {
		return carawaycart.Change{}, errors.Annotatef(err, "encode %s %s", kind, name)
	}
	return a.edit(ctx, kind, name, func(json.RawMessage) (json.RawMessage, error) { return data, nil })
}

// Delete removes the object with the given kind and name. The error is NotFound if
// the object does not exist.
func (a *Admin) Delete(ctx context.Context, kind carawaycart.ObjectKind, name string) (carawaycart.Change, error) {
	return a.edit(ctx, kind, name, func(current json.RawMessage) (json.RawMessage, error) {
		if current == nil {
			return nil, errors.NotFoundf("%s %s", kind, name)
		}
		return nil, nil
	})
}

// edit appends the change that update makes to the object with the given kind and
// name, or only checks it in a dry run. It calls update with the current object, which
// is nil if it does not exist; a nil result deletes the object.
func (a *Admin) edit(ctx context.Context, kind carawaycart.ObjectKind, name string,
	update func(json.RawMessage) (json.RawMessage, error),
) (carawaycart.Change, error) {
	edit := platform.Edit{Operator: a.operator, Kind: kind, Name: name, Update: update}
	if a.dryRun {
		return a.log.DryRun(ctx, edit)
	}
	return a.log.Append(ctx, edit)
}

// modify applies change to the decoded current object and stores the result. The
// error is NotFound if the object does not exist.
func modify[T any](ctx context.Context, a *Admin, kind carawaycart.ObjectKind, name string, change func(*T) error) (carawaycart.Change, error) {
	return a.edit(ctx, kind, name, func(current json.RawMessage) (json.RawMessage, error) {
		if current == nil {
			return nil, errors.NotFoundf("%s %s", kind, name)
		}
		var object T
		if err := config.DecodeStrict(current, &object); err != nil {
			return nil, err
		}
		if err := change(&object); err != nil {
			return nil, err
		}
		return json.Marshal(object)
	})
}

// MarkLeaving marks endpoint id as leaving. Its flows may continue until they end or
// until the drain time in the profile of its service has passed. The error is
// NotFound if the endpoint does not exist and NotValid if it already has a mark.
func (a *Admin) MarkLeaving(ctx context.Context, id carawaycart.EndpointID) (carawaycart.Change, error) {
	c, err := a.log.Latest(ctx)
	if err != nil {
		return carawaycart.Change{}, err
	}
	drain := c.Profiles[c.Services[c.Endpoints[id].Service].Profile].DrainSeconds.Duration()
	return modify(ctx, a, carawaycart.KindEndpoint, string(id), func(e *carawaycart.Endpoint) error {
		if e.Mark != carawaycart.MarkNone {
			return errors.NotValidf("marking endpoint %s as leaving while it is %s", id, e.Mark)
		}
		e.Mark = carawaycart.MarkLeaving
		e.DrainDeadline = a.clock.Now().Add(drain).UTC().Truncate(time.Second)
		return nil
	})
}

// ClearMark removes the mark and the drain deadline of endpoint id. The error is
// NotFound if the endpoint does not exist.
func (a *Admin) ClearMark(ctx context.Context, id carawaycart.EndpointID) (carawaycart.Change, error) {
	return modify(ctx, a, carawaycart.KindEndpoint, string(id), func(e *carawaycart.Endpoint) error {
		e.Mark = carawaycart.MarkNone
		e.DrainDeadline = time.Time{}
		return nil
	})
}

// SetZoneOut takes availability zone id out of service, or brings it back if out is
// false. The error is NotFound if the zone does not exist.
func (a *Admin) SetZoneOut(ctx context.Context, id carawaycart.ZoneID, out bool) (carawaycart.Change, error) {
	return modify(ctx, a, carawaycart.KindZone, string(id), func(z *carawaycart.Zone) error {
		z.Out = out
		return nil
	})
}

// AssignProfile assigns profile p to service id. The error is NotFound if the service
// does not exist.
func (a *Admin) AssignProfile(ctx context.Context, id carawaycart.ServiceID, p carawaycart.ProfileName) (carawaycart.Change, error) {
	return modify(ctx, a, carawaycart.KindService, string(id), func(s *carawaycart.Service) error {
		s.Profile = p
		return nil
	})
}
