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
	bufferBytes     = 32 << 10
	linesPerSecond  = 40
	flushPeriod     = 250 * time.Millisecond
	timestampFormat = "2006-01-02T15:04:05.000Z"
)

// Log takes lines; it is safe for concurrent use. A nil Log takes nothing.
type Log struct {
	instance carawaycart.InstanceID
	out      io.Writer
	wake     chan struct{}
	stop     chan struct{}
	done     sync.WaitGroup

	mu    sync.Mutex
	buf   []byte
	spare []byte
	kinds map[string]*allowance
}

// allowance bounds the lines of one kind of event.
type allowance struct {
	second  int64 // Unix time
	lines   int   // in second
	omitted int   // since the last line
}

// New returns a log of instance that writes to out until Close.
func New(instance carawaycart.InstanceID, out io.Writer) *Log {
	l := &Log{
		instance: instance, out: out, kinds: make(map[string]*allowance),
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

// Close writes out what is left.
func (l *Log) Close() {
	if l == nil {
		return
	}
	close(l.stop)
	l.done.Wait()
}

// flush writes the buffer; what the writer does not take is lost, since there
// is nowhere to say so.
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

// Line is one line that is being made. A nil Line takes nothing.
type Line struct {
	log *Log
}

// Event begins a line of the given kind; End must follow, and until then the
// log is locked. It returns nil if the line is left out.
func (l *Log) Event(kind string) *Line {
	if l == nil {
		return nil
	}
	now := time.Now().UTC()
	l.mu.Lock()
	a := l.kinds[kind]
	if a == nil {
		a = &allowance{}
		l.kinds[kind] = a
	}
	if s := now.Unix(); s != a.second {
		a.second, a.lines = s, 0
	}
	if a.lines >= linesPerSecond || len(l.buf) >= bufferBytes {
		a.omitted++
		l.mu.Unlock()
		return nil
	}
	a.lines++
	line := &Line{log: l}
	l.buf = append(l.buf, "time="...)
	l.buf = now.AppendFormat(l.buf, timestampFormat)
	l.buf = append(l.buf, " event="...)
	l.buf = append(l.buf, kind...)
	line.Text("instance", string(l.instance))
	if a.omitted > 0 {
		line.Int("omitted", int64(a.omitted))
		a.omitted = 0
	}
	return line
}

// End completes the line.
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

// Text adds a text, quoted where it needs to be.
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

// Int adds a number.
func (e *Line) Int(name string, value int64) *Line {
	if e == nil {
		return nil
	}
	e.key(name)
	e.log.buf = strconv.AppendInt(e.log.buf, value, 10)
	return e
}

// Bool adds a truth value.
func (e *Line) Bool(name string, value bool) *Line {
	return e.Text(name, strconv.FormatBool(value))
}

// Millis adds a span of time in milliseconds.
func (e *Line) Millis(name string, d time.Duration) *Line { return e.Int(name, d.Milliseconds()) }

// Flow adds the caller and the service address of a flow.
func (e *Line) Flow(k *carawaycart.FlowKey) *Line {
	if e == nil {
		return nil
	}
	return e.address("flow", k.Caller).address("service", k.Service)
}

func (e *Line) address(name string, a netip.AddrPort) *Line {
	e.key(name)
	e.log.buf = a.AppendTo(e.log.buf)
	return e
}

// Err adds the text of an error, if there is one.
func (e *Line) Err(err error) *Line {
	if e == nil || err == nil {
		return e
	}
	return e.Text("error", err.Error())
}
