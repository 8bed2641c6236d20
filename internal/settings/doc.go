// Package settings reads the settings of one instance from an INI file and
// checks them strictly: an unknown section or key, a missing or malformed value
// and a value out of range are faults that name file, section and key, and all
// faults of a file are reported at once.
package settings
