// Package queue holds the first packets of flows that wait for a request slot while a service
// has more requests than it can answer.
//
// What leaves the queue first is what would cost callers most to delay. What is refused is
// known not to be answered in time, or at all: a caller that is told at once can do something
// else.
package queue
