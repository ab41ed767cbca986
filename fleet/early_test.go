package fleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/layout"
	"bergamotloom.example/relay"
)

// earlyUpload is what a target read of the body of a request that it had answered
// before.
type earlyUpload struct {
	body string
	err  error
}

// newEarlyTarget returns a target that answers uploads before it reads them.
func newEarlyTarget(t *testing.T, uploads chan<- earlyUpload) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		controller := http.NewResponseController(w)
		if err := controller.EnableFullDuplex(); err != nil {
			return
		}
		w.WriteHeader(http.StatusAccepted)
		if _, err := io.WriteString(w, "early"); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		uploads <- earlyUpload{string(body), err}
	}))
	t.Cleanup(s.Close)
	return s
}

// The rest of a chunked upload that its target answers early is discarded at the entry,
// which then cuts the response.
func TestChunkedUploadThatIsAnsweredEarlyIsCut(t *testing.T) {
	f := start(t, layout.New("c1").WithService("stock", 1).WithRelays())
	in := f.Instances[0]
	uploads := make(chan earlyUpload, 1)
	early := newEarlyTarget(t, uploads)
	in.TargetRelay.SetServer(early.Listener.Addr().String())
	in.TargetRelay.Apply(relay.Cut)

	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", in.Callers)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(rawTimeout)))
	var sent strings.Builder
	send := func(part int) {
		bytes := strings.Repeat(fmt.Sprintf("%07d,", part), 2<<10)
		sent.WriteString(bytes)
		_, err := io.WriteString(conn, chunk(bytes))
		assert.NilError(t, err)
	}
	reader := bufio.NewReader(conn)
	_, err = io.WriteString(conn, rawRequest("POST /book/1", "Transfer-Encoding: chunked"))
	assert.NilError(t, err)
	send(0)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err, "the response waits for the rest of the upload")
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusAccepted)
	for i := range 12 {
		send(i + 1)
	}
	_, err = io.WriteString(conn, "0\r\n\r\n")
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "early")
	select {
	case got := <-uploads:
		assert.NilError(t, got.err)
		assert.Assert(t, got.body == sent.String(), "the target read %d of %d bytes", len(got.body), sent.Len())
	case <-time.After(rawTimeout):
		t.Fatal("the target waits for the rest")
	}
}
