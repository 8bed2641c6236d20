package message_test

import (
	"bytes"
	"compress/flate"
	"testing"

	"google.golang.org/protobuf/proto"

	"carawaycart"
	"carawaycart/internal/mutate"
	"carawaycart/message"
)

// Flow records of several services and endpoints must survive encoding, which groups
// them by service and replaces endpoints by indices.
func TestRecordsRoundTrip(t *testing.T) {
	want := []carawaycart.FlowRecord{
		{Service: "desk", Fingerprint: 1, Endpoint: "e1", Revision: 3, OpenedUnixNano: 7},
		{Service: "desk", Fingerprint: 2, Endpoint: "e2", Revision: 4, OpenedUnixNano: 8},
		{Service: "intake", Fingerprint: 3, Endpoint: "e1", Revision: 4, OpenedUnixNano: 9},
	}
	got, ended, err := message.ToRecords(message.FromRecords(want, []carawaycart.Fingerprint{9}))
	if err != nil || len(ended) != 1 || ended[0] != 9 || len(got) != len(want) {
		t.Fatalf("got records %v, ended %v, error %v; want the records and ended flow encoded", got, ended, err)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("record %d: got %v, want %v", i, got[i], want[i])
		}
	}
}

// Guards against an encoding of flow records that exceeds the budget for control
// traffic.
func TestRecordBytes(t *testing.T) {
	const limit = 24 // bytes per record that the budget allows
	var records []carawaycart.FlowRecord
	for i := range 1000 {
		records = append(records, carawaycart.FlowRecord{
			Service: "desk", Fingerprint: carawaycart.Fingerprint(i * 7919), Endpoint: "e1", Revision: 300, OpenedUnixNano: 1 << 60,
		})
	}
	if got := proto.Size(message.FromRecords(records, nil)) / len(records); got > limit {
		t.Errorf("got %d bytes per record, want at most %d", got, limit)
	}
}

// Guards against panics on batches that decode as protobuf.
func FuzzToRecords(f *testing.F) {
	seed, _ := proto.Marshal(message.FromRecords([]carawaycart.FlowRecord{{Service: "s", Endpoint: "e"}}, nil))
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var b message.RecordBatch
		if proto.Unmarshal(data, &b) == nil {
			_, _, _ = message.ToRecords(&b)
		}
	})
}

// Guards against panics on claims and members that decode as protobuf.
func FuzzToClaimAndMember(f *testing.F) {
	seed, _ := proto.Marshal(message.FromClaim(carawaycart.Claim{Key: "k"}))
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var c message.Claim
		if proto.Unmarshal(data, &c) == nil {
			_, _ = message.ToClaim(&c)
		}
		var m message.Member
		if proto.Unmarshal(data, &m) == nil {
			_, _ = message.ToMember(&m)
		}
	})
}

// Guards against panics on batches that decode as protobuf but have inconsistent
// lengths or indices.
func TestToRecordsMutatedBatches(t *testing.T) {
	records, err := proto.Marshal(message.FromRecords([]carawaycart.FlowRecord{{Service: "s", Endpoint: "e", Fingerprint: 5}}, nil))
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	mutate.Each(1, 20000, [][]byte{records}, func(data []byte) {
		var b message.RecordBatch
		if proto.Unmarshal(data, &b) != nil {
			return
		}
		if _, _, err := message.ToRecords(&b); err != nil {
			refused++
		}
	})
	if refused == 0 {
		t.Error("no mutated batch was refused, so the test does not cover invalid batches")
	}
}

// Guards against a snapshot that is cut without an error because its body decompresses to
// more than the limit.
func TestToSnapshotRefusesOversizedBody(t *testing.T) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	body, err := proto.Marshal(&message.DirectoryBody{Keys: []string{"ab"}})
	if err != nil {
		t.Fatal(err)
	}
	body = bytes.Repeat(body, 1<<18) // the limit of 64 MiB falls between two keys
	for range 65 {
		if _, err := w.Write(body); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if s, err := message.ToSnapshot(&message.DirectoryCopy{AtRevision: 1, CompressedBody: b.Bytes()}); err == nil {
		t.Errorf("got a snapshot with %d keys, want an error", len(s.Keys))
	}
}
