// Package message defines the protobuf messages that instances exchange, generated
// from peer.proto. A function FromX converts values of packages carawaycart or
// directory to a message, and ToX converts a message back. The messages come from
// peers and are checked: an error of ToX is NotValid.
package message

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
