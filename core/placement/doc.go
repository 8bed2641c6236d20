// Package placement chooses the endpoint of a new flow.
//
// The load patterns are endpoints with few request slots at 50 to 95% of what they bear,
// of which some are slow, dark, failing or cold, and zones between which traffic has a
// cost. Choose takes the endpoint with the lowest cost in the best tier, so that a few
// unanswered packets move flows away, while an endpoint that is merely doubtful still
// serves if nothing better is left. ColdShare divides the flows that a cold endpoint
// bears among the instances, which do not communicate about single flows.
package placement
