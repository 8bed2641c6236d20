// Package message defines the protobuf messages that instances exchange,
// generated from peer.proto, and converts them from and to the types of packages
// carawaycart and directory.
package message

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
