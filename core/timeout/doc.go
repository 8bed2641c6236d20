// Package timeout estimates how long to wait for an answer from how long earlier answers
// took, as TCP does (V. Paxson et al., RFC 6298).
package timeout
