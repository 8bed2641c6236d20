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
	logPrefix        = "carawaycart/log/"
	snapshotKey      = "carawaycart/snapshot"
	snapshotInterval = 64 // revisions between snapshots
	// maxAppendAttempts is the number of revisions that an append tries, each already
	// used by another change, before it fails.
	maxAppendAttempts = 20
)

// ChangeLog is the log of configuration changes in the platform's store. It is safe
// for concurrent use if the store and the clock are.
type ChangeLog struct {
	store carawaycart.Store
	clock carawaycart.Clock
}

// NewChangeLog returns the change log in store. The times of new changes are
// read from clock.
func NewChangeLog(store carawaycart.Store, clock carawaycart.Clock) *ChangeLog {
	return &ChangeLog{store: store, clock: clock}
}

// IsLogKey reports whether key is that of an entry of a change log.
func IsLogKey(key string) bool { return strings.HasPrefix(key, logPrefix) }

func logKey(r carawaycart.Revision) string { return fmt.Sprintf("%s%012d", logPrefix, uint64(r)) }

// ConflictError is returned for a change to an object that another change, Winner,
// has changed since the configuration was read.
type ConflictError struct{ Winner carawaycart.Change }

// Error returns a text that identifies the winning change.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %s was changed by %s in revision %d (change %s) in the meantime",
		e.Winner.Kind, e.Winner.Name, e.Winner.Operator, e.Winner.Revision, e.Winner.ID)
}

// Edit is a change of one configuration object, requested by an operator.
type Edit struct {
	Operator carawaycart.OperatorName
	Kind     carawaycart.ObjectKind // of the object
	Name     string                 // of the object
	// Update returns the encoded new object given the existing one, which is nil if
	// the object does not exist. A nil result deletes the object.
	Update func(existing json.RawMessage) (json.RawMessage, error)
}

// Latest returns the configuration at the latest revision in the store.
func (l *ChangeLog) Latest(ctx context.Context) (*config.Configuration, error) {
	c, err := l.readSnapshot(ctx)
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

// readSnapshot returns the configuration in the snapshot, or an empty one if there
// is no snapshot.
func (l *ChangeLog) readSnapshot(ctx context.Context) (*config.Configuration, error) {
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

// Next returns the configuration one revision after c. A change that cannot be
// applied only advances the revision. The error is NotFound if c is the latest.
func (l *ChangeLog) Next(ctx context.Context, c *config.Configuration) (*config.Configuration, error) {
	change, err := l.Change(ctx, c.Revision+1)
	if err != nil {
		return nil, err
	}
	next, _ := c.ApplyOrSkip(change)
	return next, nil
}

// Change returns the change of revision r. The error is NotFound if there is none.
func (l *ChangeLog) Change(ctx context.Context, r carawaycart.Revision) (carawaycart.Change, error) {
	e, err := l.store.Get(ctx, logKey(r))
	if err != nil {
		return carawaycart.Change{}, errors.Annotatef(err, "read revision %d", r)
	}
	return decodeChange(e, r), nil
}

// Await waits for the change of revision r and returns it. The error is NotFound if
// the store's blocking read times out first.
func (l *ChangeLog) Await(ctx context.Context, r carawaycart.Revision) (carawaycart.Change, error) {
	e, err := l.store.Wait(ctx, logKey(r), 0)
	if err != nil {
		return carawaycart.Change{}, errors.Annotatef(err, "await revision %d", r)
	}
	return decodeChange(e, r), nil
}

// Holds reports whether the log holds the change with the given ID at revision r. It
// holds the one of revision zero, before the first change.
func (l *ChangeLog) Holds(ctx context.Context, r carawaycart.Revision, id carawaycart.ChangeID) (bool, error) {
	if r == 0 {
		return true, nil
	}
	c, err := l.Change(ctx, r)
	if errors.Is(err, errors.NotFound) {
		return false, nil
	}
	return err == nil && c.ID == id, err
}

// Recover appends the changes in applied that the log has lost because the store was
// restored from a copy. applied holds changes that the log once held, in order without
// gaps. The error is NotFound if it does not go back to the end of the log.
func (l *ChangeLog) Recover(ctx context.Context, applied []carawaycart.Change) (config.Recovery, error) {
	n, err := l.countHeld(ctx, applied)
	if err != nil || n == len(applied) {
		return config.Recovery{}, err
	}
	lost := applied[n:]
	logged, err := l.changesFrom(ctx, lost[0].Revision)
	if err != nil {
		return config.Recovery{}, err
	}
	recovery := config.NewRecovery(lost, logged)
	for _, c := range recovery.Appended {
		existing, err := l.createEntry(ctx, c)
		if err != nil {
			return config.Recovery{}, err
		}
		if existing.ID != c.ID {
			return config.Recovery{}, errors.Errorf("recover change %s: revision %d was taken by change %s", c.ID, c.Revision, existing.ID)
		}
	}
	return recovery, nil
}

// countHeld returns the number of first changes in applied that the log holds.
func (l *ChangeLog) countHeld(ctx context.Context, applied []carawaycart.Change) (int, error) {
	for n := len(applied); n > 0; n-- {
		held, err := l.Holds(ctx, applied[n-1].Revision, applied[n-1].ID)
		if err != nil || held {
			return n, err
		}
	}
	if len(applied) > 0 && applied[0].Revision > 1 {
		_, err := l.Change(ctx, applied[0].Revision-1)
		return 0, err
	}
	return 0, nil
}

// changesFrom returns the changes from revision r on up to the first that is missing.
func (l *ChangeLog) changesFrom(ctx context.Context, r carawaycart.Revision) ([]carawaycart.Change, error) {
	var changes []carawaycart.Change
	for ; ; r++ {
		c, err := l.Change(ctx, r)
		if errors.Is(err, errors.NotFound) {
			return changes, nil
		}
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
}

// decodeChange returns the change of revision r, whose entry is e. A corrupt entry
// becomes a change of an unknown kind, which no configuration applies, so that it
// occupies its revision without effect.
func decodeChange(e carawaycart.StoreEntry, r carawaycart.Revision) carawaycart.Change {
	var c carawaycart.Change
	if err := config.DecodeStrict(e.Value, &c); err != nil || c.Revision != r {
		return carawaycart.Change{Revision: r, ID: "corrupt", Kind: "corrupt", Name: e.Key}
	}
	return c
}

// Changes returns the changes of revision first and later, in order.
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

// Append appends the change that edit makes to the latest configuration at the next
// free revision, and returns that change. The error is a *ConflictError if the
// object was changed after the configuration was read. If the store's answer to
// the write is lost, Append determines the outcome by reading the entry back and
// comparing change IDs.
func (l *ChangeLog) Append(ctx context.Context, edit Edit) (carawaycart.Change, error) {
	c, err := l.Latest(ctx)
	if err != nil {
		return carawaycart.Change{}, err
	}
	return l.AppendAfter(ctx, c, edit)
}

// DryRun returns the change that Append would append for edit to the latest
// configuration, or the error that it would return, without writing anything.
func (l *ChangeLog) DryRun(ctx context.Context, edit Edit) (carawaycart.Change, error) {
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

// AppendAfter is like Append but starts from configuration c, which may be older
// than the latest, instead of reading the latest.
func (l *ChangeLog) AppendAfter(ctx context.Context, c *config.Configuration, edit Edit) (carawaycart.Change, error) {
	change, err := l.change(c, edit)
	if err != nil {
		return carawaycart.Change{}, err
	}
	for range maxAppendAttempts {
		change.Revision = c.Revision + 1
		next, err := c.Apply(change)
		if err != nil {
			return carawaycart.Change{}, err
		}
		existing, err := l.createEntry(ctx, change)
		if err != nil {
			return carawaycart.Change{}, err
		}
		if existing.ID == change.ID {
			l.writeSnapshot(ctx, next)
			return change, nil
		}
		if existing.Kind == change.Kind && existing.Name == change.Name {
			return carawaycart.Change{}, &ConflictError{Winner: existing}
		}
		c, _ = c.ApplyOrSkip(existing)
	}
	return carawaycart.Change{}, errors.Errorf("append change: the next revision was taken by another change in each of %d attempts", maxAppendAttempts)
}

// change returns the change that edit makes to c. Its revision is not set.
func (l *ChangeLog) change(c *config.Configuration, edit Edit) (carawaycart.Change, error) {
	before, err := c.EncodedObject(edit.Kind, edit.Name)
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

// createEntry creates the entry of change unless the log has an entry of the same
// revision, and returns the change that the entry holds afterwards.
func (l *ChangeLog) createEntry(ctx context.Context, change carawaycart.Change) (carawaycart.Change, error) {
	value, err := json.Marshal(change)
	if err != nil {
		return carawaycart.Change{}, errors.Annotate(err, "encode change")
	}
	swapped, err := l.store.CompareAndSwap(ctx, logKey(change.Revision), value, 0)
	if err == nil && swapped {
		return change, nil
	}
	// Either another change has the revision, or the outcome of the write is unknown.
	existing, readErr := l.Change(ctx, change.Revision)
	switch {
	case readErr == nil:
		return existing, nil
	case err != nil && errors.Is(readErr, errors.NotFound):
		return carawaycart.Change{}, errors.Annotatef(err, "write revision %d: not accepted", change.Revision)
	case err != nil:
		return carawaycart.Change{}, errors.Annotatef(err, "write revision %d: outcome unknown, look for change %s in the audit trail",
			change.Revision, change.ID)
	}
	return carawaycart.Change{}, errors.Annotatef(readErr, "write revision %d", change.Revision)
}

// writeSnapshot writes c as the snapshot if its revision is a multiple of
// snapshotInterval and higher than that of the stored snapshot. Errors are ignored,
// since without the snapshot readers only replay more entries.
func (l *ChangeLog) writeSnapshot(ctx context.Context, c *config.Configuration) {
	if c.Revision%snapshotInterval != 0 {
		return
	}
	value, err := c.Encode()
	if err != nil {
		return
	}
	var index carawaycart.StoreIndex // zero creates the snapshot
	if e, err := l.store.Get(ctx, snapshotKey); err == nil {
		stored, err := config.Decode(e.Value)
		if err == nil && stored.Revision >= c.Revision {
			return
		}
		index = e.Index
	}
	_, _ = l.store.CompareAndSwap(ctx, snapshotKey, value, index)
}
