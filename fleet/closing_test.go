package fleet_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/layout"
	"bergamotloom.example/narrow"
)

// A planned stop cuts the response to a request behind which its caller has sent further
// ones. The node ends although the caller doesn't close its connection.
func TestStopOfANodeCutsResponsesBeforePipelinedRequests(t *testing.T) {
	f := start(t, layout.New("c1").WithService("stock", 1, "--work-millis", "300"))
	in := f.Instances[0]
	conn, err := narrow.Dial(t.Context(), in.Callers)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(rawTimeout)))
	const head, length = " HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + apiKey + "\r\n\r\n", 100_000
	_, err = io.WriteString(conn, "POST /book/1?bytes=100000"+head)
	assert.NilError(t, err)
	time.Sleep(30 * time.Millisecond)
	_, err = io.WriteString(conn, strings.Repeat("GET /stock/1"+head, 2))
	assert.NilError(t, err)
	time.Sleep(70 * time.Millisecond)
	in.Node.Terminate()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	read, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, read, int64(length))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	code, err := in.Node.Wait(ctx)
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
}
