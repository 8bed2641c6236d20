package peer

import (
	"bufio"
	"io"
	"net/rpc"
	"sync"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"carawaycart/message"
)

// maxMessage bounds a message in bytes; a larger one ends the connection.
const maxMessage = 16 << 20

// maxError bounds the text of an error that a reply carries, in bytes.
const maxError = 256

// Meter counts the bytes of calls by method.
type Meter interface {
	// Sent counts bytes written for method.
	Sent(method string, bytes int)
}

// codec frames calls and replies on one connection. It implements rpc.ClientCodec
// and rpc.ServerCodec by way of the two types below.
type codec struct {
	conn    io.ReadWriteCloser
	reader  *bufio.Reader
	mu      sync.Mutex // guards writer
	writer  *bufio.Writer
	meter   Meter
	options protodelim.UnmarshalOptions
}

func newCodec(conn io.ReadWriteCloser, meter Meter) codec {
	return codec{
		conn:    conn,
		reader:  bufio.NewReader(conn),
		writer:  bufio.NewWriter(conn),
		meter:   meter,
		options: protodelim.UnmarshalOptions{MaxSize: maxMessage},
	}
}

func (c *codec) write(h *message.CallHeader, body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		m = &message.Acknowledgement{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := protodelim.MarshalTo(c.writer, h)
	if err != nil {
		return errors.Annotatef(err, "write header of %s", h.GetMethod())
	}
	k, err := protodelim.MarshalTo(c.writer, m)
	if err != nil {
		return errors.Annotatef(err, "write body of %s", h.GetMethod())
	}
	c.meter.Sent(h.GetMethod(), n+k)
	return errors.Annotatef(c.writer.Flush(), "send %s", h.GetMethod())
}

// readHeader passes io.EOF on unchanged, by which net/rpc knows a closed connection.
func (c *codec) readHeader(h *message.CallHeader) error {
	return c.options.UnmarshalFrom(c.reader, h)
}

func (c *codec) readBody(body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		m = &message.Acknowledgement{} // net/rpc discards the body of a failed call
	}
	return errors.Annotate(c.options.UnmarshalFrom(c.reader, m), "read body")
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

type clientCodec struct{ codec }

// WriteRequest sends one call.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(&message.CallHeader{Method: r.ServiceMethod, Sequence: r.Seq}, body)
}

// ReadResponseHeader reads the header of the next reply.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h message.CallHeader
	if err := c.readHeader(&h); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = h.GetMethod(), h.GetSequence(), h.GetError()
	return nil
}

// ReadResponseBody reads the body of the reply whose header was read.
func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

type serverCodec struct{ codec }

// ReadRequestHeader reads the header of the next call.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h message.CallHeader
	if err := c.readHeader(&h); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = h.GetMethod(), h.GetSequence()
	return nil
}

// ReadRequestBody reads the body of the call whose header was read.
func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse sends one reply.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	text := r.Error
	if len(text) > maxError {
		text = text[:maxError]
	}
	return c.write(&message.CallHeader{Method: r.ServiceMethod, Sequence: r.Seq, Error: text}, body)
}
