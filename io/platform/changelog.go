package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/config"
)

const (
	logPrefix     = "carawaycart/log/"
	snapshotKey   = "carawaycart/snapshot"
	snapshotEvery = 64 // revisions between snapshots
	maxAttempts   = 20 // lost races before an append gives up
)

// ChangeLog is the configuration's log of changes in the platform's store.
type ChangeLog struct {
	store carawaycart.Store
	clock carawaycart.Clock
}

// NewChangeLog returns the log kept in store.
func NewChangeLog(store carawaycart.Store, clock carawaycart.Clock) *ChangeLog {
	return &ChangeLog{store: store, clock: clock}
}

func logKey(r carawaycart.Revision) string { return fmt.Sprintf("%s%012d", logPrefix, uint64(r)) }

// ConflictError tells that another operator changed the same object first.
type ConflictError struct{ Winner carawaycart.Change }

// Error names the change that won.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %s was changed by %s in revision %d (change %s) in the meantime",
		e.Winner.Kind, e.Winner.Name, e.Winner.Operator, e.Winner.Revision, e.Winner.ID)
}

// Edit is a change that an operator asks for.
type Edit struct {
	Operator carawaycart.OperatorName
	Kind     carawaycart.ObjectKind
	Name     string
	// Update returns the new object for the present one, nil if there is none;
	// a nil result deletes the object.
	Update func(present json.RawMessage) (json.RawMessage, error)
}

// Latest returns the configuration at the highest revision in the store.
func (l *ChangeLog) Latest(ctx context.Context) (*config.Configuration, error) {
	c, err := l.snapshot(ctx)
	if err != nil {
		return nil, err
	}
	for {
		next, err := l.Next(ctx, c)
		if errors.Is(err, errors.NotFound) {
			return c, nil
		}
		if err != nil {
			return nil, err
		}
		c = next
	}
}

func (l *ChangeLog) snapshot(ctx context.Context) (*config.Configuration, error) {
	e, err := l.store.Get(ctx, snapshotKey)
	if errors.Is(err, errors.NotFound) {
		return config.New(), nil
	}
	if err != nil {
		return nil, errors.Annotate(err, "read snapshot")
	}
	c, err := config.Decode(e.Value)
	return c, errors.Annotate(err, "read snapshot")
}

// Next returns the configuration that follows c in the store; the error is
// NotFound if c is the latest.
func (l *ChangeLog) Next(ctx context.Context, c *config.Configuration) (*config.Configuration, error) {
	change, err := l.Change(ctx, c.Revision+1)
	if err != nil {
		return nil, err
	}
	next, _ := c.Next(change)
	return next, nil
}

// Change returns the entry of revision r; the error is NotFound if there is none.
func (l *ChangeLog) Change(ctx context.Context, r carawaycart.Revision) (carawaycart.Change, error) {
	e, err := l.store.Get(ctx, logKey(r))
	if err != nil {
		return carawaycart.Change{}, errors.Annotatef(err, "read revision %d", r)
	}
	return decodeChange(e, r), nil
}

// Await returns the entry of revision r as soon as it exists; the error is
// NotFound if the service's time limit passes first.
func (l *ChangeLog) Await(ctx context.Context, r carawaycart.Revision) (carawaycart.Change, error) {
	e, err := l.store.Wait(ctx, logKey(r), 0)
	if err != nil {
		return carawaycart.Change{}, errors.Annotatef(err, "await revision %d", r)
	}
	return decodeChange(e, r), nil
}

// decodeChange returns the change that e holds. A corrupt entry becomes a
// change of a kind that no configuration applies, so that it uses its revision
// up and does nothing else.
func decodeChange(e carawaycart.StoreEntry, r carawaycart.Revision) carawaycart.Change {
	var c carawaycart.Change
	if err := config.DecodeStrict(e.Value, &c); err != nil || c.Revision != r {
		return carawaycart.Change{Revision: r, ID: "corrupt", Kind: "corrupt", Name: e.Key}
	}
	return c
}

// Changes returns the entries from revision first on, in order.
func (l *ChangeLog) Changes(ctx context.Context, first carawaycart.Revision) ([]carawaycart.Change, error) {
	entries, err := l.store.List(ctx, logPrefix)
	if err != nil {
		return nil, errors.Annotate(err, "list changes")
	}
	var changes []carawaycart.Change
	for _, e := range entries {
		r, err := strconv.ParseUint(strings.TrimPrefix(e.Key, logPrefix), 10, 64)
		if err != nil || carawaycart.Revision(r) < first {
			continue
		}
		changes = append(changes, decodeChange(e, carawaycart.Revision(r)))
	}
	return changes, nil
}

// Append makes edit at the next free revision and returns the accepted change.
// The error is a *ConflictError if another operator changed the object after
// the configuration was read. If the store's answer to the write is lost, the
// outcome is settled by looking for the change's id.
func (l *ChangeLog) Append(ctx context.Context, edit Edit) (carawaycart.Change, error) {
	c, err := l.Latest(ctx)
	if err != nil {
		return carawaycart.Change{}, err
	}
	return l.AppendAfter(ctx, c, edit)
}

// Check returns the change that Append would make of edit, and the error that it
// would give for the latest configuration, without writing anything.
func (l *ChangeLog) Check(ctx context.Context, edit Edit) (carawaycart.Change, error) {
	c, err := l.Latest(ctx)
	if err != nil {
		return carawaycart.Change{}, err
	}
	change, err := l.change(c, edit)
	if err != nil {
		return carawaycart.Change{}, err
	}
	change.Revision = c.Revision + 1
	_, err = c.Apply(change)
	return change, err
}

// AppendAfter is like Append for a caller that holds configuration c, which may
// be older than the latest.
func (l *ChangeLog) AppendAfter(ctx context.Context, c *config.Configuration, edit Edit) (carawaycart.Change, error) {
	change, err := l.change(c, edit)
	if err != nil {
		return carawaycart.Change{}, err
	}
	for range maxAttempts {
		change.Revision = c.Revision + 1
		next, err := c.Apply(change)
		if err != nil {
			return carawaycart.Change{}, err
		}
		held, err := l.write(ctx, change)
		if err != nil {
			return carawaycart.Change{}, err
		}
		if held.ID == change.ID {
			l.compact(ctx, next)
			return change, nil
		}
		if held.Kind == change.Kind && held.Name == change.Name {
			return carawaycart.Change{}, &ConflictError{Winner: held}
		}
		c, _ = c.Next(held)
	}
	return carawaycart.Change{}, errors.Errorf("append change: lost %d races", maxAttempts)
}

func (l *ChangeLog) change(c *config.Configuration, edit Edit) (carawaycart.Change, error) {
	before, err := c.Current(edit.Kind, edit.Name)
	if err != nil {
		return carawaycart.Change{}, err
	}
	after, err := edit.Update(before)
	if err != nil {
		return carawaycart.Change{}, err
	}
	return carawaycart.Change{
		ID: carawaycart.ChangeID(uuid.NewString()), Operator: edit.Operator, Time: l.clock.Now().UTC(),
		Kind: edit.Kind, Name: edit.Name, Before: before, After: after,
	}, nil
}

// write creates the entry of change unless its revision is taken and returns
// the entry held afterwards.
func (l *ChangeLog) write(ctx context.Context, change carawaycart.Change) (carawaycart.Change, error) {
	value, err := json.Marshal(change)
	if err != nil {
		return carawaycart.Change{}, errors.Annotate(err, "encode change")
	}
	swapped, err := l.store.CompareAndSwap(ctx, logKey(change.Revision), value, 0)
	if err == nil && swapped {
		return change, nil
	}
	held, readErr := l.Change(ctx, change.Revision)
	switch {
	case readErr == nil:
		return held, nil
	case err != nil && errors.Is(readErr, errors.NotFound):
		return carawaycart.Change{}, errors.Annotatef(err, "write revision %d: not accepted", change.Revision)
	case err != nil:
		return carawaycart.Change{}, errors.Annotatef(err, "write revision %d: outcome unknown, look for change %s in the audit trail",
			change.Revision, change.ID)
	}
	return carawaycart.Change{}, errors.Annotatef(readErr, "write revision %d", change.Revision)
}

// compact writes a snapshot from time to time; a failure costs later readers
// only time.
func (l *ChangeLog) compact(ctx context.Context, c *config.Configuration) {
	if c.Revision%snapshotEvery != 0 {
		return
	}
	value, err := c.Encode()
	if err != nil {
		return
	}
	var index carawaycart.StoreIndex
	if e, err := l.store.Get(ctx, snapshotKey); err == nil {
		held, err := config.Decode(e.Value)
		if err == nil && held.Revision >= c.Revision {
			return
		}
		index = e.Index
	}
	_, _ = l.store.CompareAndSwap(ctx, snapshotKey, value, index)
}
