// Package rendezvous implements highest-random-weight hashing: every
// participant scores all candidates for a key and the highest score wins, so
// that all agree without talking and a change of one candidate moves only the
// keys that it wins or loses.
//
// The method is described by D. Thaler and C. Ravishankar, "Using Name-Based
// Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1),
// 1998.
package rendezvous
