// Package rejection finds the endpoints of a service that reject or fail an unusual fraction of
// their requests while they answer all of them.
//
// A rejection is told from a served request by the length of the response alone. An endpoint is
// compared with the others of its service, so that none is found while all reject alike.
// Each instance counts the responses that it sees and the short ones that the instances of its
// zone report.
package rejection
