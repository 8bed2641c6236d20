// Package rendezvous implements rendezvous hashing, also called
// highest-random-weight hashing: every participant scores all candidates for a
// key, and the highest score wins. All participants thus agree without
// communication, and adding or removing a candidate moves only the keys that it
// wins or loses.
//
// The method is described by D. Thaler and C. Ravishankar, "Using Name-Based
// Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1),
// 1998.
package rendezvous
