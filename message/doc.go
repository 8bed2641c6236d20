// Package message holds the messages that instances exchange, generated from
// peer.proto, and their conversion from and to the types of package
// carawaycart.
package message

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
