// Package balancer assembles one instance: the blackboard, the controllers of
// package control and the adapters below io, wired by google/wire.
package balancer
