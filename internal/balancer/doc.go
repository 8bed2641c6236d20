// Package balancer assembles one instance from the blackboard, the controllers
// of package control and the adapters of the packages below io, wired by
// google/wire.
package balancer
