// Package routecheck finds mistakes in a routing configuration before it is sent, and the
// differences from the version in force.
//
// It works on decoded configurations; faults that decoding finds are part of its input. Every
// finding names an object and states what is wrong and what the instances do as a result.
package routecheck
