// Package cborrp is a CBOR codec for net/rpc. Every header and every body is one
// frame: its length in four bytes, big-endian, and then the encoded value. A frame
// over the limit closes the connection before its value is read. A malformed body
// fails the call, a malformed header the connection.
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

// Codec is the codec of either side of a net/rpc connection: an rpc.ServerCodec and
// an rpc.ClientCodec.
type Codec struct {
	conn     io.ReadWriteCloser
	reader   *bufio.Reader
	writer   *bufio.Writer
	limit    int
	decMode  cbor.DecMode
	once     sync.Once
	closeErr error
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

// New returns a Codec for the connection that accepts bodies of up to limit bytes
// in either direction.
func New(conn io.ReadWriteCloser, limit int) *Codec {
	options := cbor.DecOptions{
		MaxNestedLevels: maxNestedLevels,
		// An element takes at least one byte, so a frame within the limit can't
		// contain more elements than its limit in bytes.
		MaxArrayElements: min(max(limit, 16), math.MaxInt32),
		MaxMapPairs:      min(max(limit, 16), math.MaxInt32),
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(errors.Wrap(err, "cborrp: creating the decoder"))
	}
	return &Codec{
		conn:    conn,
		reader:  bufio.NewReader(conn),
		writer:  bufio.NewWriter(conn),
		limit:   limit,
		decMode: mode,
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

// ReadRequestBody is called by the server after each header; if body is nil, the
// frame is read and discarded.
func (c *Codec) ReadRequestBody(body any) error {
	return c.readBody(body)
}

// WriteResponse is called by the server, one call at a time. A response that can't
// be encoded or is too large is replaced by an error, so that the client doesn't
// wait for it.
func (c *Codec) WriteResponse(r *rpc.Response, body any) error {
	header := responseHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}
	encodedHeader, encodedBody, err := c.encode(header, body)
	if err != nil {
		header.Error = err.Error()
		encodedHeader, encodedBody, err = c.encode(header, nil)
	}
	if err != nil {
		return c.fail(err)
	}
	return c.send(encodedHeader, encodedBody)
}

// WriteRequest is called by the client, one call at a time. It returns an error if
// the body can't be encoded, is too large, or can't be sent.
func (c *Codec) WriteRequest(r *rpc.Request, body any) error {
	encodedHeader, encodedBody, err := c.encode(requestHeader{Method: r.ServiceMethod, Seq: r.Seq}, body)
	if err != nil {
		return err
	}
	return c.send(encodedHeader, encodedBody)
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

// ReadResponseBody is called by the client after each header; if body is nil, the
// frame is read and discarded.
func (c *Codec) ReadResponseBody(body any) error {
	return c.readBody(body)
}

// Close closes the connection once; every call returns the result of the first.
func (c *Codec) Close() error {
	c.once.Do(func() {
		c.closeErr = c.conn.Close()
	})
	return c.closeErr
}

// encode encodes both frames before any byte is sent, so that a body that can't be
// encoded or is too large fails only its own call and the connection stays usable.
func (c *Codec) encode(header, body any) (encodedHeader, encodedBody []byte, err error) {
	encodedHeader, err = cbor.Marshal(header)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encoding a header")
	}
	encodedBody, err = cbor.Marshal(body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encoding a body")
	}
	if len(encodedHeader) > maxHeaderBytes || len(encodedBody) > c.limit {
		return nil, nil, errors.Errorf("a body of %d bytes is over the limit of %d", len(encodedBody), c.limit)
	}
	return encodedHeader, encodedBody, nil
}

func (c *Codec) send(encodedHeader, encodedBody []byte) error {
	if err := c.writeFrame(encodedHeader); err != nil {
		return err
	}
	if err := c.writeFrame(encodedBody); err != nil {
		return err
	}
	return errors.Wrap(c.writer.Flush(), "sending")
}

func (c *Codec) writeFrame(payload []byte) error {
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(payload)))
	if _, err := c.writer.Write(length[:]); err != nil {
		return errors.Wrap(err, "sending")
	}
	_, err := c.writer.Write(payload)
	return errors.Wrap(err, "sending")
}

func (c *Codec) readHeader(h any) error {
	payload, err := c.readFrame(maxHeaderBytes)
	if err != nil {
		return err
	}
	return errors.Wrap(c.decMode.Unmarshal(payload, h), "decoding a header")
}

func (c *Codec) readBody(body any) error {
	payload, err := c.readFrame(c.limit)
	if err != nil || body == nil {
		return err
	}
	return errors.Wrap(c.decMode.Unmarshal(payload, body), "decoding a body")
}

// readFrame returns an unwrapped io.EOF if the connection ended between frames,
// because net/rpc compares with that value.
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
	payload := make([]byte, size)
	if _, err := io.ReadFull(c.reader, payload); err != nil {
		return nil, err
	}
	return payload, nil
}

// fail closes the connection after an error that later calls can't recover from.
func (c *Codec) fail(cause error) error {
	if err := c.Close(); err != nil {
		return errors.Wrapf(cause, "closing the connection also failed (%v)", err)
	}
	return cause
}
