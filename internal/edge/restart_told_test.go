package edge_test

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycart"
	"carawaycart/core/directory"
	"carawaycart/core/steer"
	"carawaycart/message"
	platformstore "carawaycart/platform"
	"carawaycart/platform/standin"
)

// token returns the token of the lifetime that the entry of e names.
func (f *fleet) token(t *testing.T, e *standin.Endpoint) carawaycart.Token {
	t.Helper()
	store := platformstore.NewStore(f.Store.URL(), nil)
	defer store.Close()
	read, err := store.ReadAll(context.Background(), "servers/"+e.ID)
	if err != nil || len(read.Items) != 1 {
		t.Fatalf("got entries %v, %v, want one", read.Items, err)
	}
	decoded, err := platformstore.DecodeItem(read.Items[0])
	if err != nil {
		t.Fatal(err)
	}
	contents := directory.Contents{Lifetimes: []*carawaycart.Lifetime{decoded.Lifetime}}
	lifetimes := directory.NewLifetimeTracker()
	lifetimes.ApplyContents(&contents, time.Now())
	return steer.NewTable(&steer.Input{Contents: contents, Lifetimes: lifetimes}, nil, time.Now()).Token(decoded.Lifetime.Key())
}

// letProbe lets i probe the endpoint with token, by a report that it is silent.
func letProbe(t *testing.T, i *instance, token carawaycart.Token) {
	t.Helper()
	const peerPort = "17720"
	conn, err := net.Dial("udp4", net.JoinHostPort(i.machine.IP, peerPort))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	data, err := proto.Marshal(&message.DirectoryNews{From: "test", SilentTokens: []uint32{uint32(token)}})
	if err == nil {
		_, err = conn.Write(data)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Endpoints start again while the store fails, and one instance probes them. Guards against
// new flows at their usual rate through the others, in its zone and in another.
func TestRestartedEndpointsAreNotOverrunWithoutStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 1, 3)
	f.await(t, "all instances are listed", func() bool { return f.listed(t) == len(f.instances) })
	f.BeginLoad(1, 60)
	f.awaitRequests(t, 100)
	for n := range 4 {
		e := f.Endpoints[n%2]
		token := f.token(t, e)
		f.RecordDisturbance()
		f.Store.SetFault("", standin.FaultUnavailable)
		f.Store.Put("servers/other", nil) // ends the watches in progress
		time.Sleep(100 * time.Millisecond)
		e.Restart(2 * time.Second)
		letProbe(t, f.instances[n], token)
		time.Sleep(1200 * time.Millisecond)
		f.Store.SetFault("", standin.FaultNone)
		time.Sleep(3 * time.Second)
	}
	f.checkLedger(t)
}
