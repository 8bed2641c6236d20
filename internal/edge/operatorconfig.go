package edge

import (
	"context"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/config"
	"carawaycart/core/directory"
	"carawaycart/io/platform"
)

// directoryStore adapts a directory to a carawaycart.Store that supports only Get. Entries
// that a restore of the store has removed count as present.
type directoryStore struct {
	directory *directory.Directory
	lost      lostChanges
}

// Get returns the entry at key, or a NotFound error if there is none.
func (s directoryStore) Get(_ context.Context, key string) (carawaycart.StoreEntry, error) {
	item, ok := s.directory.Item(key)
	if !ok {
		item, ok = s.lost.entries[key]
	}
	if !ok {
		return carawaycart.StoreEntry{}, errors.NotFoundf("item %s", key)
	}
	return carawaycart.StoreEntry{Key: item.Key, Value: item.Value, Index: carawaycart.StoreIndex(item.Revision)}, nil
}

// List returns a NotSupported error.
func (s directoryStore) List(context.Context, string) ([]carawaycart.StoreEntry, error) {
	return nil, errors.NotSupportedf("listing a directory")
}

// Wait returns a NotSupported error.
func (s directoryStore) Wait(context.Context, string, carawaycart.StoreIndex) (carawaycart.StoreEntry, error) {
	return carawaycart.StoreEntry{}, errors.NotSupportedf("waiting for a change of a directory")
}

// CompareAndSwap returns a NotSupported error.
func (s directoryStore) CompareAndSwap(context.Context, string, []byte, carawaycart.StoreIndex) (bool, error) {
	return false, errors.NotSupportedf("writing to a directory")
}

// loadOperatorConfig returns the configuration that operators have set with the
// carawaycart commands: profiles, their services, marks of endpoints, and zones. It
// skips changes that cannot be decoded or applied, and returns an error if the
// snapshot of the configuration cannot be decoded.
func loadOperatorConfig(d *directory.Directory, lost lostChanges, clock carawaycart.Clock) (*config.Configuration, error) {
	return platform.NewChangeLog(directoryStore{d, lost}, clock).Latest(context.Background())
}

// applyOperatorConfig adds the zones that operators took out of service to
// contents, and sets Draining in the lifetimes of endpoints that operators marked.
// It returns the profile of each service that has one.
func applyOperatorConfig(contents *directory.Contents, operator *config.Configuration) map[carawaycart.ServiceID]carawaycart.Profile {
	for id, z := range operator.Zones {
		if z.Out {
			contents.ZonesOut = append(contents.ZonesOut, id)
		}
	}
	for i, l := range contents.Lifetimes {
		if operator.Endpoints[l.ID].Mark != carawaycart.MarkNone && !l.Draining {
			draining := *l
			draining.Draining = true
			contents.Lifetimes[i] = &draining
		}
	}
	profiles := make(map[carawaycart.ServiceID]carawaycart.Profile)
	for id, s := range operator.Services {
		if p, ok := operator.Profiles[s.Profile]; ok {
			profiles[id] = p
		}
	}
	return profiles
}
