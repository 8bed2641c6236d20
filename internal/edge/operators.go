package edge

import (
	"context"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/config"
	"carawaycart/core/directory"
	"carawaycart/io/platform"
)

// items is a directory as a carawaycart.Store that can only be read.
type items struct{ directory *directory.Directory }

// Get returns the entry at key, or an error that is NotFound.
func (i items) Get(_ context.Context, key string) (carawaycart.StoreEntry, error) {
	item, ok := i.directory.Item(key)
	if !ok {
		return carawaycart.StoreEntry{}, errors.NotFoundf("item %s", key)
	}
	return carawaycart.StoreEntry{Key: item.Key, Value: item.Value, Index: carawaycart.StoreIndex(item.Revision)}, nil
}

// List is not supported.
func (i items) List(context.Context, string) ([]carawaycart.StoreEntry, error) {
	return nil, errors.NotSupportedf("list of a directory")
}

// Wait is not supported.
func (i items) Wait(context.Context, string, carawaycart.StoreIndex) (carawaycart.StoreEntry, error) {
	return carawaycart.StoreEntry{}, errors.NotSupportedf("wait for a directory")
}

// CompareAndSwap is not supported.
func (i items) CompareAndSwap(context.Context, string, []byte, carawaycart.StoreIndex) (bool, error) {
	return false, errors.NotSupportedf("write to a directory")
}

// operatorsConfig returns what operators have set by the product's own commands:
// profiles, their services, marks of endpoints and zones.
func operatorsConfig(d *directory.Directory, k carawaycart.Clock) (*config.Configuration, error) {
	return platform.NewChangeLog(items{d}, k).Latest(context.Background())
}

// applyOperators adds to c the zones and endpoints that operators took out, and
// returns the profiles of the services that have one.
func applyOperators(c *directory.Contents, own *config.Configuration) map[carawaycart.ServiceID]carawaycart.Profile {
	for id, z := range own.Zones {
		if z.Out {
			c.ZonesOut = append(c.ZonesOut, id)
		}
	}
	for i, l := range c.Lifetimes {
		if own.Endpoints[l.ID].Mark != carawaycart.MarkNone && !l.Draining {
			left := *l
			left.Draining = true
			c.Lifetimes[i] = &left
		}
	}
	profiles := make(map[carawaycart.ServiceID]carawaycart.Profile)
	for id, s := range own.Services {
		if p, ok := own.Profiles[s.Profile]; ok {
			profiles[id] = p
		}
	}
	return profiles
}
