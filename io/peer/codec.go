package peer

import (
	"bufio"
	"io"
	"net/rpc"
	"strings"
	"sync"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"carawaycart/message"
)

// maxMessageBytes is the maximum size of a received header or body. A larger one is
// not read, after which the connection is unusable.
const maxMessageBytes = 16 << 20

// maxErrorBytes is the maximum length of the error text in a reply. Longer texts
// are truncated.
const maxErrorBytes = 256

// Meter counts the bytes that calls and replies send.
type Meter interface {
	// CountSent adds bytes to the count of method, which has the form
	// "Peer.Exchange". A reply counts under the method that it answers.
	CountSent(method string, bytes int)
}

// codec sends and receives calls and replies on one connection, each as a header
// and a body in length-delimited protobuf encoding. clientCodec and serverCodec
// embed it.
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
		options: protodelim.UnmarshalOptions{MaxSize: maxMessageBytes},
	}
}

// write sends a header and a body.
func (c *codec) write(h *message.CallHeader, body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		m = &message.Acknowledgement{} // net/rpc passes a placeholder with an error reply
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	headerBytes, err := protodelim.MarshalTo(c.writer, h)
	if err != nil {
		return errors.Annotatef(err, "write header of %s", h.GetMethod())
	}
	bodyBytes, err := protodelim.MarshalTo(c.writer, m)
	if err != nil {
		return errors.Annotatef(err, "write body of %s", h.GetMethod())
	}
	c.meter.CountSent(h.GetMethod(), headerBytes+bodyBytes)
	return errors.Annotatef(c.writer.Flush(), "send %s", h.GetMethod())
}

// readHeader reads a header. It returns io.EOF unwrapped, since net/rpc compares
// with it to detect a closed connection.
func (c *codec) readHeader(h *message.CallHeader) error {
	return c.options.UnmarshalFrom(c.reader, h)
}

// readBody reads a body into body, or discards it if body is nil. It closes the
// connection if the body exceeds maxMessageBytes, since net/rpc would read the unread body
// as the next header.
func (c *codec) readBody(body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		m = &message.Acknowledgement{} // net/rpc passes nil to discard the body of a failed call
	}
	err := c.options.UnmarshalFrom(c.reader, m)
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) {
		_ = c.conn.Close()
		c.reader.Reset(c.conn)
	}
	return errors.Annotate(err, "read body")
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec.
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

// ReadResponseBody reads the body of the reply whose header was read last.
func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// serverCodec implements rpc.ServerCodec.
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

// ReadRequestBody reads the body of the call whose header was read last.
func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse sends one reply. It truncates the error text to maxErrorBytes.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	text := r.Error
	if len(text) > maxErrorBytes {
		text = text[:maxErrorBytes]
		text = strings.ToValidUTF8(text, "") // a character may have been cut, and protobuf refuses parts of one
	}
	return c.write(&message.CallHeader{Method: r.ServiceMethod, Sequence: r.Seq, Error: text}, body)
}
