// Package claim keeps the claims on keyed requests, so that an order runs at
// most once however often and through whichever instance it is repeated.
//
// A claim is made at the keeper of its key before the request is sent to an
// endpoint, and the keeper copies it to replicas before it lets the request go.
// A Table is the part of one instance. It answers a repeat from what it holds;
// it lets a request run only if it can know that no earlier attempt did. Where
// all holders of a key were lost before they could be replaced, it reports
// uncertainty for as long as a lost claim could have lived.
package claim
