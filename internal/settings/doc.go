// Package settings reads the settings of one instance from an INI file and
// validates them strictly. An unknown section or key, a missing or malformed value
// and a value out of range are faults. Each fault names the file, section and key,
// and all faults of a file are reported together.
package settings
