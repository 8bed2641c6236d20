package eventlog_test

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"carawaycart"
	"carawaycart/internal/eventlog"
)

// Guards against a change of the format, which tools of operators read.
func TestLineFormat(t *testing.T) {
	var out bytes.Buffer
	l := eventlog.New("a", &out)
	key := carawaycart.FlowKey{Caller: netip.MustParseAddrPort("100.64.0.1:10"), Service: netip.MustParseAddrPort("198.18.0.1:443")}
	l.Event("placed").Flow(&key).Int("copy", 1).Text("why", `a "b" c`).Bool("cold", false).End()
	l.Close()
	_, got, _ := strings.Cut(out.String(), " ")
	want := "event=placed instance=a flow=100.64.0.1:10 service=198.18.0.1:443 copy=1 why=\"a \\\"b\\\" c\" cold=false\n"
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes   int
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.bytes += len(b)
	return len(b), nil
}

// A log consumer that stops reading must neither delay decisions nor let the
// buffer grow without limit. Guards against events that wait for the writer.
func TestBlockedWriterDoesNotDelayCallers(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	l := eventlog.New("a", w)
	for range 100000 {
		l.Event("placed").Int("n", 1).End()
	}
	close(w.release)
	l.Close()
	if bound := 1 << 20; w.bytes > bound {
		t.Errorf("got %d bytes buffered for a blocked writer, want at most %d", w.bytes, bound)
	}
}

// Guards against a frequent kind of event that fills the log, or that uses up the
// quota of another kind.
func TestQuotaOfEachKindOfEvent(t *testing.T) {
	var out bytes.Buffer
	l := eventlog.New("a", &out)
	for range 5000 {
		l.Event("placed").End()
	}
	l.Event("started").End()
	l.Close()
	if n := strings.Count(out.String(), "event=placed"); n >= 5000 || n == 0 {
		t.Errorf("got %d of 5000 lines, want some and not all", n)
	}
	if !strings.Contains(out.String(), "event=started") {
		t.Error("got no line of another kind, want its quota unaffected")
	}
}

// Guards against a panic in a component that was given no log.
func TestNilLogDiscardsEvents(*testing.T) {
	var l *eventlog.Log
	l.Event("placed").Int("n", 1).Text("a", "b").End()
	l.Close()
}

func BenchmarkEvent(b *testing.B) {
	l := eventlog.New("a", &bytes.Buffer{})
	key := carawaycart.FlowKey{Caller: netip.MustParseAddrPort("100.64.0.1:10"), Service: netip.MustParseAddrPort("198.18.0.1:443")}
	b.ReportAllocs()
	for b.Loop() {
		l.Event("placed").Flow(&key).Int("copy", 1).Text("endpoint", "i-1").End()
	}
}
