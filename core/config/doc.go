// Package config holds the configuration that operators edit and applies the
// change log to it.
//
// A Configuration is immutable. Apply returns the next one and is a pure
// function of the previous one and the change, including the slot tables of the
// services, so every instance that has applied the same revisions holds the
// same tables. A change that does not follow the configuration's revision, or
// does not validate, is refused and the configuration stays as it was.
package config
