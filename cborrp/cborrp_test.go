package cborrp_test

import (
	"net"
	"net/rpc"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/cborrp"
)

const limit = 1000

type echo struct{}

// Letters responds with a text of count letters.
func (echo) Letters(count int, out *string) error {
	*out = strings.Repeat("a", count)
	return nil
}

// Length responds with the length of the text.
func (echo) Length(text string, out *int) error {
	*out = len(text)
	return nil
}

// serve starts a server on one end of a connection and returns the other end.
func serve(t *testing.T) net.Conn {
	t.Helper()
	s := rpc.NewServer()
	assert.NilError(t, s.RegisterName("Echo", echo{}))
	clientEnd, serverEnd := net.Pipe()
	t.Cleanup(func() { _ = clientEnd.Close() })
	go s.ServeCodec(cborrp.New(serverEnd, limit))
	return clientEnd
}

func TestTooLargeCallsFailWithoutClosingTheConnection(t *testing.T) {
	c := rpc.NewClientWithCodec(cborrp.New(serve(t), limit))
	var letters string
	var length int
	assert.ErrorContains(t, c.Call("Echo.Letters", 2*limit, &letters), "over the limit")
	assert.ErrorContains(t, c.Call("Echo.Length", strings.Repeat("a", limit), &length), "over the limit")
	assert.ErrorContains(t, c.Call("Echo.Absent", 1, &length), "can't find")
	assert.NilError(t, c.Call("Echo.Length", "abc", &length))
	assert.Equal(t, length, 3)
}

func TestMalformedBytesCloseTheConnection(t *testing.T) {
	// A length above all limits, an invalid value, another protocol, and a header one
	// byte too long.
	for _, bytes := range []string{
		"\xff\xff\xff\xff", "\x00\x00\x00\x01\xff", "GET / HTTP/1.1\r\n\r\n", "\x00\x00\x10\x01",
	} {
		conn := serve(t)
		_, _ = conn.Write([]byte(bytes))
		_, err := conn.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "EOF")
	}
}
