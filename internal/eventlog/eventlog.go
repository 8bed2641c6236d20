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
	maxBufferBytes    = 32 << 10
	maxLinesPerSecond = 40
	flushPeriod       = 250 * time.Millisecond
	timestampFormat   = "2006-01-02T15:04:05.000Z"
)

// Log buffers lines and writes them in the background. It is safe for concurrent
// use. A nil Log discards all events.
type Log struct {
	instance carawaycart.InstanceID
	out      io.Writer
	wake     chan struct{}
	stop     chan struct{}
	done     sync.WaitGroup

	mu     sync.Mutex
	buf    []byte
	spare  []byte
	quotas map[string]*quota
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

// flush writes the buffer to the writer. Lines that the writer rejects are lost,
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

// Event begins a line for an event of the given kind. It locks the log until End
// is called on the line. It returns nil if the line is omitted.
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
func (e *Line) End() {
	if e == nil {
		return
	}
	e.log.buf = append(e.log.buf, '\n')
	e.log.mu.Unlock()
	select {
	case e.log.wake <- struct{}{}:
	default:
	}
}

func (e *Line) key(name string) {
	e.log.buf = append(e.log.buf, ' ')
	e.log.buf = append(e.log.buf, name...)
	e.log.buf = append(e.log.buf, '=')
}

// Text adds a string field. The value is quoted if it contains spaces, control
// characters, quotes, equal signs or bytes outside ASCII.
func (e *Line) Text(name, value string) *Line {
	if e == nil {
		return nil
	}
	e.key(name)
	for i := range len(value) {
		if c := value[i]; c <= ' ' || c == '"' || c == '=' || c >= 0x7f {
			e.log.buf = strconv.AppendQuote(e.log.buf, value)
			return e
		}
	}
	e.log.buf = append(e.log.buf, value...)
	return e
}

// Int adds an integer field.
func (e *Line) Int(name string, value int64) *Line {
	if e == nil {
		return nil
	}
	e.key(name)
	e.log.buf = strconv.AppendInt(e.log.buf, value, 10)
	return e
}

// Bool adds a Boolean field.
func (e *Line) Bool(name string, value bool) *Line {
	return e.Text(name, strconv.FormatBool(value))
}

// Millis adds a duration in milliseconds, rounded down.
func (e *Line) Millis(name string, d time.Duration) *Line { return e.Int(name, d.Milliseconds()) }

// Flow adds the caller's address as flow and the service's address as service.
func (e *Line) Flow(k *carawaycart.FlowKey) *Line {
	if e == nil {
		return nil
	}
	return e.addrPort("flow", k.Caller).addrPort("service", k.Service)
}

func (e *Line) addrPort(name string, a netip.AddrPort) *Line {
	e.key(name)
	e.log.buf = a.AppendTo(e.log.buf)
	return e
}

// Err adds the text of err as error. It adds nothing if err is nil.
func (e *Line) Err(err error) *Line {
	if e == nil || err == nil {
		return e
	}
	return e.Text("error", err.Error())
}
