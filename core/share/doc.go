// Package share divides the request slots of a service over the instances that send requests
// to its endpoints.
//
// Each instance computes its own part from the loads that the others report. No instance
// grants anything to another, so that nothing has to be taken back when one fails: instances
// whose reports differ use a permit twice, or not at all, until the next reports.
package share
