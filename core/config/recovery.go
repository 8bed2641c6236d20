package config

import "carawaycart"

// Recovery holds the changes to append to a change log that has lost its last changes.
type Recovery struct {
	Appended   []carawaycart.Change // in order, with their new revisions
	Superseded []carawaycart.Change // lost changes that are not appended
}

// NewRecovery returns the recovery of a log that has lost the given changes, of which it
// does not hold the first at its revision. logged holds the changes of the log from that
// revision on. Both are in order without gaps.
//
// Lost changes that logged does not hold are appended after it, at their old revisions if
// logged holds no other changes. Those of an object that another change in logged concerns
// are superseded. If logged holds other changes, the log ends after the revision of the
// last lost change, and holds no lost change at its old revision, so that the two
// histories can be told apart; if necessary, the last change of logged is repeated.
func NewRecovery(lost, logged []carawaycart.Change) Recovery {
	type object struct {
		kind carawaycart.ObjectKind
		name string
	}
	lostIDs, loggedIDs := changeIDs(lost), changeIDs(logged)
	changed := make(map[object]bool)
	for _, c := range logged {
		if !lostIDs[c.ID] {
			changed[object{c.Kind, c.Name}] = true
		}
	}
	var r Recovery
	var missing []carawaycart.Change
	for _, c := range lost {
		switch {
		case loggedIDs[c.ID]:
		case changed[object{c.Kind, c.Name}]:
			r.Superseded = append(r.Superseded, c)
		default:
			missing = append(missing, c)
		}
	}
	if len(changed) > 0 {
		for range len(lost) + 1 - len(logged) - len(missing) {
			r.Appended = append(r.Appended, logged[len(logged)-1])
		}
	}
	r.Appended = append(r.Appended, missing...)
	next := lost[0].Revision + carawaycart.Revision(len(logged))
	for i := range r.Appended {
		r.Appended[i].Revision = next + carawaycart.Revision(i)
	}
	return r
}

func changeIDs(changes []carawaycart.Change) map[carawaycart.ChangeID]bool {
	ids := make(map[carawaycart.ChangeID]bool)
	for _, c := range changes {
		ids[c.ID] = true
	}
	return ids
}
