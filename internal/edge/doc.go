// Package edge assembles an instance for a fabric whose packets carry tokens.
//
// Its controllers meet on the View, the instance's copy of the platform's
// store. The Reader reads the store, the Courier tells peers what was read and
// takes in what they tell, the Port forwards packets by the table that is made
// from the view, and the Registrar makes the instance known to the others.
//
// The store is read as seldom as the bounds allow: whoever finds the fleet's
// last read too old reads again and tells everybody. Instances differ in how
// old is too old, so one read at a time serves the whole fleet, and where the
// fleet is cut apart, one for each part.
package edge
