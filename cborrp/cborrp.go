// Package cborrp is a CBOR codec for net/rpc. Every header and every body is
// one frame: its length in four bytes, most significant first, and then the
// encoded value. A frame over the limit ends the connection before any of it
// is read; bytes that can't be decoded fail the call, or the connection if
// they stand in a header.
package cborrp

import (
	"bufio"
	"encoding/binary"
	"io"
	"math"
	"net/rpc"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	lengthBytes     = 4
	maxHeaderBytes  = 4096
	maxNestedLevels = 16
)

// Codec reads and writes either side of a net/rpc connection: it's a
// ServerCodec and a ClientCodec.
type Codec struct {
	conn   io.ReadWriteCloser
	reader *bufio.Reader
	writer *bufio.Writer
	limit  int
	decode cbor.DecMode
	once   sync.Once
	closed error
}

var (
	_ rpc.ServerCodec = (*Codec)(nil)
	_ rpc.ClientCodec = (*Codec)(nil)
)

type requestHeader struct {
	_      struct{} `cbor:",toarray"`
	Method string
	Seq    uint64
}

type responseHeader struct {
	_      struct{} `cbor:",toarray"`
	Method string
	Seq    uint64
	Error  string
}

// New returns a codec over the connection that takes bodies of up to limit
// bytes in either direction.
func New(conn io.ReadWriteCloser, limit int) *Codec {
	options := cbor.DecOptions{
		MaxNestedLevels: maxNestedLevels,
		// An element takes at least one byte, so a frame that holds to its
		// limit can't hold more elements than that.
		MaxArrayElements: min(max(limit, 16), math.MaxInt32),
		MaxMapPairs:      min(max(limit, 16), math.MaxInt32),
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(errors.Wrap(err, "cborrp: options of the decoder"))
	}
	return &Codec{
		conn:   conn,
		reader: bufio.NewReader(conn),
		writer: bufio.NewWriter(conn),
		limit:  limit,
		decode: mode,
	}
}

// ReadRequestHeader is called by the server for each request.
func (c *Codec) ReadRequestHeader(r *rpc.Request) error {
	var h requestHeader
	if err := c.readHeader(&h); err != nil {
		return err
	}
	r.ServiceMethod = h.Method
	r.Seq = h.Seq
	return nil
}

// ReadRequestBody is called by the server after each header; a nil body is
// read and thrown away.
func (c *Codec) ReadRequestBody(body any) error {
	return c.readBody(body)
}

// WriteResponse is called by the server, one call at a time. An answer that
// can't be encoded or is too large is replaced by an error, so that the client
// doesn't wait for it.
func (c *Codec) WriteResponse(r *rpc.Response, body any) error {
	header := responseHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}
	head, text, err := c.encode(header, body)
	if err != nil {
		header.Error = err.Error()
		head, text, err = c.encode(header, nil)
	}
	if err != nil {
		return c.fail(err)
	}
	return c.send(head, text)
}

// WriteRequest is called by the client, one call at a time.
func (c *Codec) WriteRequest(r *rpc.Request, body any) error {
	head, text, err := c.encode(requestHeader{Method: r.ServiceMethod, Seq: r.Seq}, body)
	if err != nil {
		return err
	}
	return c.send(head, text)
}

// ReadResponseHeader is called by the client for each response.
func (c *Codec) ReadResponseHeader(r *rpc.Response) error {
	var h responseHeader
	if err := c.readHeader(&h); err != nil {
		return err
	}
	r.ServiceMethod = h.Method
	r.Seq = h.Seq
	r.Error = h.Error
	return nil
}

// ReadResponseBody is called by the client after each header; a nil body is
// read and thrown away.
func (c *Codec) ReadResponseBody(body any) error {
	return c.readBody(body)
}

// Close closes the connection; only the first call does anything.
func (c *Codec) Close() error {
	c.once.Do(func() {
		c.closed = c.conn.Close()
	})
	return c.closed
}

// encode makes both frames before a byte is sent: a body that can't be encoded
// or is too large fails its own call and leaves the connection in step.
func (c *Codec) encode(header, body any) (head, text []byte, err error) {
	head, err = cbor.Marshal(header)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encoding a header")
	}
	text, err = cbor.Marshal(body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encoding a body")
	}
	if len(head) > maxHeaderBytes || len(text) > c.limit {
		return nil, nil, errors.Errorf("a body of %d bytes is over the limit of %d", len(text), c.limit)
	}
	return head, text, nil
}

func (c *Codec) send(head, text []byte) error {
	if err := c.writeFrame(head); err != nil {
		return err
	}
	if err := c.writeFrame(text); err != nil {
		return err
	}
	return errors.Wrap(c.writer.Flush(), "sending")
}

func (c *Codec) writeFrame(text []byte) error {
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(text)))
	if _, err := c.writer.Write(length[:]); err != nil {
		return errors.Wrap(err, "sending")
	}
	_, err := c.writer.Write(text)
	return errors.Wrap(err, "sending")
}

func (c *Codec) readHeader(h any) error {
	text, err := c.readFrame(maxHeaderBytes)
	if err != nil {
		return err
	}
	return errors.Wrap(c.decode.Unmarshal(text, h), "decoding a header")
}

func (c *Codec) readBody(body any) error {
	text, err := c.readFrame(c.limit)
	if err != nil || body == nil {
		return err
	}
	return errors.Wrap(c.decode.Unmarshal(text, body), "decoding a body")
}

// readFrame returns io.EOF as it is when the connection ended between frames,
// because net/rpc asks for that very value.
func (c *Codec) readFrame(limit int) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(c.reader, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if int64(size) > int64(limit) {
		err := errors.Errorf("a frame of %d bytes is over the limit of %d", size, limit)
		return nil, c.fail(err)
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(c.reader, text); err != nil {
		return nil, err
	}
	return text, nil
}

// fail closes the connection: its frames can't be told apart any more.
func (c *Codec) fail(cause error) error {
	if err := c.Close(); err != nil {
		return errors.Wrapf(cause, "closing too (%v)", err)
	}
	return cause
}
