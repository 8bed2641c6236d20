package claim_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/claim"
	"carawaycart/core/member"
)

var start = time.Unix(1000, 0)

// attempt returns the claim of attempt id at the keyed request "k", made through
// instance i1.
func attempt(id string) carawaycart.Claim {
	return carawaycart.Claim{
		Key: "k", Service: "desk", Digest: 1, Attempt: carawaycart.AttemptID(id), EntryInstance: "i1", Deadline: start.Add(time.Hour),
	}
}

func withState(c carawaycart.Claim, s carawaycart.ClaimState) carawaycart.Claim {
	c.State = s
	return c
}

// Guards against running a request again when an earlier attempt may have run, and
// against refusing one when no attempt ran.
func TestBegin(t *testing.T) {
	other := attempt("b")
	other.Digest = 2
	for _, test := range []struct {
		name  string
		held  []carawaycart.Claim
		next  carawaycart.Claim
		after time.Duration
		want  claim.Verdict
	}{
		{"first attempt", nil, attempt("a"), 0, claim.Run},
		{"same attempt again", []carawaycart.Claim{withState(attempt("a"), carawaycart.ClaimPending)}, attempt("a"), 0, claim.Run},
		{"earlier attempt pending", []carawaycart.Claim{withState(attempt("a"), carawaycart.ClaimPending)}, attempt("b"), 0, claim.Known},
		{"earlier attempt answered", []carawaycart.Claim{withState(attempt("a"), carawaycart.ClaimAnswered)}, attempt("b"), 0, claim.Known},
		{"earlier attempt unknown", []carawaycart.Claim{withState(attempt("a"), carawaycart.ClaimUnknown)}, attempt("b"), 0, claim.Known},
		{"earlier attempt not run", []carawaycart.Claim{withState(attempt("a"), carawaycart.ClaimNotRun)}, attempt("b"), 0, claim.Run},
		{"retry of an attempt that was not run", []carawaycart.Claim{withState(attempt("a"), carawaycart.ClaimNotRun)}, attempt("a"), 0, claim.Refused},
		{"key of a different request", []carawaycart.Claim{withState(attempt("a"), carawaycart.ClaimAnswered)}, other, 0, claim.Misused},
		{"claim past its deadline", []carawaycart.Claim{withState(attempt("a"), carawaycart.ClaimAnswered)}, attempt("b"), time.Hour, claim.Run},
	} {
		table := claim.NewTable()
		for _, c := range test.held {
			table.Merge(c, start)
		}
		if got, _ := table.Begin(test.next, start.Add(test.after)); got != test.want {
			t.Errorf("%s: got verdict %d, want %d", test.name, got, test.want)
		}
	}
}

// Guards against a request that runs twice because a replica silently discarded
// the claim of one attempt in favour of another: Merge must store the claim or
// report the conflict.
func TestMergeConflicts(t *testing.T) {
	states := []carawaycart.ClaimState{
		carawaycart.ClaimPending, carawaycart.ClaimAnswered, carawaycart.ClaimNotRun, carawaycart.ClaimUnknown,
	}
	for _, held := range states {
		for _, next := range states {
			table := claim.NewTable()
			table.Merge(withState(attempt("a"), held), start)
			_, conflict := table.Merge(withState(attempt("b"), next), start)
			want := held != carawaycart.ClaimNotRun && next != carawaycart.ClaimNotRun
			if conflict != want {
				t.Errorf("held %d, copy %d: got conflict %t, want %t", held, next, conflict, want)
			}
			got, _ := table.Get("k", start)
			if conflict && got.Attempt != "a" {
				t.Errorf("held %d, copy %d: the stored claim was replaced", held, next)
			}
		}
	}
}

// Guards against a known outcome that is overwritten by an update that arrives
// late: the state of an attempt only changes to one of higher precedence.
func TestMergeOfOneAttemptIsMonotonic(t *testing.T) {
	table := claim.NewTable()
	answered := withState(attempt("a"), carawaycart.ClaimAnswered)
	answered.Answer = carawaycart.Answer{Status: 200, Body: []byte("done")}
	for _, c := range []carawaycart.Claim{
		withState(attempt("a"), carawaycart.ClaimPending), answered,
		withState(attempt("a"), carawaycart.ClaimPending), withState(attempt("a"), carawaycart.ClaimUnknown),
	} {
		table.Merge(c, start)
	}
	if got, _ := table.Get("k", start); got.State != carawaycart.ClaimAnswered || string(got.Answer.Body) != "done" {
		t.Errorf("got state %d with answer %q, want the answer", got.State, got.Answer.Body)
	}
}

// Guards against a second run of a request whose entry instance failed after it may
// have sent the request to an endpoint.
func TestPendingClaimOfFailedInstanceIsUnknown(t *testing.T) {
	table := claim.NewTable()
	table.Begin(attempt("a"), start)
	table.MarkPendingUnknown(func(id carawaycart.InstanceID) bool { return id == "i1" })
	verdict, held := table.Begin(attempt("b"), start)
	if verdict != claim.Known || held.State != carawaycart.ClaimUnknown {
		t.Errorf("got verdict %d with state %d, want a known attempt with unknown outcome", verdict, held.State)
	}
}

// view returns a view of ready instances whose zones are the first letters of their
// IDs.
func view(ids ...string) *member.View {
	var all []carawaycart.Member
	for _, id := range ids {
		all = append(all, carawaycart.Member{
			ID: carawaycart.InstanceID(id), Zone: carawaycart.ZoneID(id[:1]), State: carawaycart.MemberReady,
			PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	return member.NewView(all, func(carawaycart.ZoneID) member.Eligibility { return member.KeeperEligible })
}

// Guards against running a request twice after all holders of its claim failed
// together: its key must be uncertain until the lost claim has expired.
func TestLostHoldersMakeKeysUncertain(t *testing.T) {
	before := view("a1", "a2", "b1", "b2", "c1", "c2")
	lost := []carawaycart.InstanceID{"a1", "b1", "c1"}
	table := claim.NewTable()
	table.RecordLoss(before, lost, start.Add(time.Minute))
	uncertain := 0
	for i := range 500 {
		c := attempt("a")
		c.Key = carawaycart.IdempotencyKey(fmt.Sprintf("key-%d", i))
		h := before.Holders(claim.Key(c.Key))
		allLost := true
		for _, id := range append([]carawaycart.InstanceID{h.Keeper}, h.Replicas[:h.ReplicaCount]...) {
			allLost = allLost && (id == "a1" || id == "b1" || id == "c1")
		}
		want := claim.Run
		if allLost {
			want = claim.Uncertain
			uncertain++
		}
		if got, _ := table.Begin(c, start); got != want {
			t.Fatalf("%s held by %v: got verdict %d, want %d", c.Key, h, got, want)
		}
	}
	if uncertain == 0 || uncertain == 500 {
		t.Errorf("got %d of 500 keys uncertain, want some but not all", uncertain)
	}
	table.Expire(start.Add(time.Minute))
	if got, _ := table.Begin(attempt("z"), start.Add(time.Minute)); got != claim.Run {
		t.Errorf("after the deadline: got verdict %d, want run", got)
	}
}
