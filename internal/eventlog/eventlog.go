package eventlog

import (
	"io"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"carawaycart"
)

const (
	maxBufferBytes    = 32 << 10               // size from which the buffer accepts no further line
	maxLinesPerSecond = 40                     // quota of each kind of event
	flushPeriod       = 250 * time.Millisecond // shortest time between writes
	timestampFormat   = "2006-01-02T15:04:05.000Z"
)

// Log buffers lines and writes them in the background. It is safe for concurrent
// use. A nil Log discards all events.
type Log struct {
	instance carawaycart.InstanceID
	out      io.Writer
	wake     chan struct{} // signaled when a line is complete
	stop     chan struct{} // closed by Close
	done     sync.WaitGroup

	mu     sync.Mutex
	buf    []byte            // lines that are not written yet
	spare  []byte            // buffer of the last write, to be reused; nil during a write
	quotas map[string]*quota // by kind of event
}

// quota limits the lines per second of one kind of event.
type quota struct {
	second  int64 // Unix time of the current second
	lines   int   // lines written in second
	omitted int   // lines omitted since the last one written
}

// New returns a log that writes events of instance to out until Close is called.
func New(instance carawaycart.InstanceID, out io.Writer) *Log {
	l := &Log{
		instance: instance, out: out, quotas: make(map[string]*quota),
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	l.done.Go(func() {
		for {
			select {
			case <-l.stop:
				l.flush()
				return
			case <-l.wake:
			}
			l.flush()
			select {
			case <-l.stop:
			case <-time.After(flushPeriod):
			}
		}
	})
	return l
}

// Close writes the buffered lines and stops the log.
func (l *Log) Close() {
	if l == nil {
		return
	}
	close(l.stop)
	l.done.Wait()
}

// flush writes the buffer to the writer. Lines that cannot be written are lost,
// since there is no other place to report the error.
func (l *Log) flush() {
	l.mu.Lock()
	b := l.buf
	l.buf, l.spare = l.spare[:0], nil
	l.mu.Unlock()
	if len(b) > 0 {
		_, _ = l.out.Write(b)
	}
	l.mu.Lock()
	l.spare = b
	l.mu.Unlock()
}

// Line is a log line under construction. A nil Line discards all fields.
type Line struct {
	log *Log
}

// Event begins a line for an event of the given kind. It returns nil if the line is
// omitted. Otherwise the log stays locked until End is called on the line, which the
// caller must do.
func (l *Log) Event(kind string) *Line {
	if l == nil {
		return nil
	}
	now := time.Now().UTC()
	l.mu.Lock()
	q := l.quotas[kind]
	if q == nil {
		q = &quota{}
		l.quotas[kind] = q
	}
	if unix := now.Unix(); unix != q.second {
		q.second, q.lines = unix, 0
	}
	if q.lines >= maxLinesPerSecond || len(l.buf) >= maxBufferBytes {
		q.omitted++
		l.mu.Unlock()
		return nil
	}
	q.lines++
	line := &Line{log: l}
	l.buf = append(l.buf, "time="...)
	l.buf = now.AppendFormat(l.buf, timestampFormat)
	l.buf = append(l.buf, " event="...)
	l.buf = append(l.buf, kind...)
	line.Text("instance", string(l.instance))
	if q.omitted > 0 {
		line.Int("omitted", int64(q.omitted))
		q.omitted = 0
	}
	return line
}

// End completes the line and unlocks the log.
func (l *Line) End() {
	if l == nil {
		return
	}
	l.log.buf = append(l.log.buf, '\n')
	l.log.mu.Unlock()
	select {
	case l.log.wake <- struct{}{}:
	default:
	}
}

// beginField begins a field with the given name.
func (l *Line) beginField(name string) {
	l.log.buf = append(l.log.buf, ' ')
	l.log.buf = append(l.log.buf, name...)
	l.log.buf = append(l.log.buf, '=')
}

// Text adds a string field. The value is quoted if it contains spaces, control
// characters, quotes, equal signs or bytes outside ASCII.
func (l *Line) Text(name, value string) *Line {
	if l == nil {
		return nil
	}
	l.beginField(name)
	for i := range len(value) {
		if c := value[i]; c <= ' ' || c == '"' || c == '=' || c >= 0x7f {
			l.log.buf = strconv.AppendQuote(l.log.buf, value)
			return l
		}
	}
	l.log.buf = append(l.log.buf, value...)
	return l
}

// Int adds an integer field.
func (l *Line) Int(name string, value int64) *Line {
	if l == nil {
		return nil
	}
	l.beginField(name)
	l.log.buf = strconv.AppendInt(l.log.buf, value, 10)
	return l
}

// Bool adds a Boolean field.
func (l *Line) Bool(name string, value bool) *Line {
	return l.Text(name, strconv.FormatBool(value))
}

// Millis adds a duration in milliseconds, rounded down.
func (l *Line) Millis(name string, d time.Duration) *Line { return l.Int(name, d.Milliseconds()) }

// Flow adds the flow at k in two fields: "flow" is the address of its caller, and
// "service" that of its service.
func (l *Line) Flow(k *carawaycart.FlowKey) *Line {
	if l == nil {
		return nil
	}
	return l.addrPort("flow", k.Caller).addrPort("service", k.Service)
}

func (l *Line) addrPort(name string, a netip.AddrPort) *Line {
	l.beginField(name)
	l.log.buf = a.AppendTo(l.log.buf)
	return l
}

// Err adds the text of err in the field "error". It adds nothing if err is nil.
func (l *Line) Err(err error) *Line {
	if l == nil || err == nil {
		return l
	}
	return l.Text("error", err.Error())
}
