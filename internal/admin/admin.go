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

// Admin makes changes in the name of one operator.
type Admin struct {
	log      *platform.ChangeLog
	operator carawaycart.OperatorName
	clock    carawaycart.Clock
	dry      bool
}

// NewAdmin returns an Admin that changes the configuration in log.
func NewAdmin(log *platform.ChangeLog, operator carawaycart.OperatorName, clock carawaycart.Clock) *Admin {
	return &Admin{log: log, operator: operator, clock: clock}
}

// DryRun returns an Admin that checks the changes it is asked for against the
// latest configuration and makes none.
func (a *Admin) DryRun() *Admin {
	dry := *a
	dry.dry = true
	return &dry
}

// Put creates or replaces the object of a kind and name.
func (a *Admin) Put(ctx context.Context, kind carawaycart.ObjectKind, name string, object any) (carawaycart.Change, error) {
	data, err := json.Marshal(object)
	if err != nil {
		return carawaycart.Change{}, errors.Annotatef(err, "encode %s %s", kind, name)
	}
	return a.edit(ctx, kind, name, func(json.RawMessage) (json.RawMessage, error) { return data, nil })
}

// Delete removes the object of a kind and name; the error is NotFound if there
// is none.
func (a *Admin) Delete(ctx context.Context, kind carawaycart.ObjectKind, name string) (carawaycart.Change, error) {
	return a.edit(ctx, kind, name, func(present json.RawMessage) (json.RawMessage, error) {
		if present == nil {
			return nil, errors.NotFoundf("%s %s", kind, name)
		}
		return nil, nil
	})
}

func (a *Admin) edit(ctx context.Context, kind carawaycart.ObjectKind, name string,
	update func(json.RawMessage) (json.RawMessage, error),
) (carawaycart.Change, error) {
	edit := platform.Edit{Operator: a.operator, Kind: kind, Name: name, Update: update}
	if a.dry {
		return a.log.Check(ctx, edit)
	}
	return a.log.Append(ctx, edit)
}

// modify decodes the present object, lets change alter it, and writes it back.
func modify[T any](ctx context.Context, a *Admin, kind carawaycart.ObjectKind, name string, change func(*T) error) (carawaycart.Change, error) {
	return a.edit(ctx, kind, name, func(present json.RawMessage) (json.RawMessage, error) {
		if present == nil {
			return nil, errors.NotFoundf("%s %s", kind, name)
		}
		var object T
		if err := config.DecodeStrict(present, &object); err != nil {
			return nil, err
		}
		if err := change(&object); err != nil {
			return nil, err
		}
		return json.Marshal(object)
	})
}

// Leave marks endpoint id as leaving. Its flows may go on until their service's
// profile says, or to their end if that comes first.
func (a *Admin) Leave(ctx context.Context, id carawaycart.EndpointID) (carawaycart.Change, error) {
	c, err := a.log.Latest(ctx)
	if err != nil {
		return carawaycart.Change{}, err
	}
	drain := c.Profiles[c.Services[c.Endpoints[id].Service].Profile].DrainSeconds.Duration()
	return modify(ctx, a, carawaycart.KindEndpoint, string(id), func(e *carawaycart.Endpoint) error {
		if e.Mark != carawaycart.MarkNone {
			return errors.NotValidf("endpoint %s: is already %s; leave", id, e.Mark)
		}
		e.Mark = carawaycart.MarkLeaving
		e.DrainDeadline = a.clock.Now().Add(drain).UTC().Truncate(time.Second)
		return nil
	})
}

// ClearMark takes the mark of endpoint id back.
func (a *Admin) ClearMark(ctx context.Context, id carawaycart.EndpointID) (carawaycart.Change, error) {
	return modify(ctx, a, carawaycart.KindEndpoint, string(id), func(e *carawaycart.Endpoint) error {
		e.Mark = carawaycart.MarkNone
		e.DrainDeadline = time.Time{}
		return nil
	})
}

// SetZone takes the availability zone id out or brings it back.
func (a *Admin) SetZone(ctx context.Context, id carawaycart.ZoneID, out bool) (carawaycart.Change, error) {
	return modify(ctx, a, carawaycart.KindZone, string(id), func(z *carawaycart.Zone) error {
		z.Out = out
		return nil
	})
}

// AssignProfile lets service id run under a profile.
func (a *Admin) AssignProfile(ctx context.Context, id carawaycart.ServiceID, p carawaycart.ProfileName) (carawaycart.Change, error) {
	return modify(ctx, a, carawaycart.KindService, string(id), func(s *carawaycart.Service) error {
		s.Profile = p
		return nil
	})
}
