package fleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/fleet"
	"bergamotloom.example/header"
	"bergamotloom.example/layout"
	"bergamotloom.example/reason"
	"bergamotloom.example/runrec"
	"bergamotloom.example/runst"
)

const (
	problemType = "application/problem+json"
	rawTimeout  = 5 * time.Second
	// overLimitBytes is above the limit of 100 KiB of the upload route.
	overLimitBytes = 150 * 1024
	// forged contains the key mark, with which targets detect texts that must
	// not reach them.
	forged       = "loom_forged"
	uploadConfig = defaultConfig + `  - {Name: Upload, Match: /upload/*, Service: stock, Methods: [POST], Rank: Critical, Timeout: 5s, BodyLimit: 100KiB}
`
)

// badInput is one request that a node must refuse. If it's malformed, it isn't
// valid HTTP, so that net/http refuses it before any handler sees it.
type badInput struct {
	name      string
	raw       string
	status    int
	malformed bool
}

// rawRequest builds the head of a request with the API key and further header
// lines.
func rawRequest(requestLine string, headerLines ...string) string {
	lines := append([]string{requestLine + " HTTP/1.1", "Host: node", "Authorization: Bearer " + apiKey}, headerLines...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// shortHeaders returns n short header lines.
func shortHeaders(n int) []string {
	lines := make([]string, 0, n)
	for i := range n {
		lines = append(lines, fmt.Sprintf("X-Field-%d: 1", i))
	}
	return lines
}

func chunk(body string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

func badInputs() []badInput {
	const get, upload, chunked = "GET /stock/1", "POST /upload/1", "Transfer-Encoding: chunked"
	long := strings.Repeat("a", 64*1024)
	return []badInput{
		{"header name with a space", rawRequest(get, "Bad Name: 1"), 400, true},
		{"header without a colon", rawRequest(get, "NoColon"), 400, true},
		{"header value with a zero byte", rawRequest(get, "X-Value: a\x00b"), 400, true},
		{"no host", "GET /stock/1 HTTP/1.1\r\n\r\n", 400, true},
		{"no request line", "\x16\x03\x01 nonsense\r\n\r\n", 400, true},
		{"unknown version", "GET /stock/1 HTTP/3.7\r\nHost: node\r\n\r\n", 505, true},
		{"over-long header", rawRequest(get, "X-Long: "+long), 431, true},
		{"huge number of headers", rawRequest(get, shortHeaders(4000)...), 431, true},
		{"many headers", rawRequest(get, shortHeaders(200)...), 400, false},
		{"over-long path", rawRequest("GET /stock/" + long), 431, true},
		{"long path", rawRequest("GET /stock/" + long[:9*1024]), 400, false},
		{"path without a slash", rawRequest("GET *"), 400, false},
		{"unknown route", rawRequest("GET /unknown"), 404, false},
		{"a path of the local port", rawRequest("POST /loom/announce"), 404, false},
		{"unknown method", rawRequest("BREW /stock/1"), 405, false},
		{"method TRACE", rawRequest("TRACE /stock/1"), 405, false},
		{"method that the route doesn't take", rawRequest("GET /upload/1"), 405, false},
		{"method CONNECT", rawRequest("CONNECT stock:80"), 405, false},
		{"two lengths", rawRequest(upload, "Content-Length: 4", "Content-Length: 5") + "boats", 400, true},
		{"list of lengths", rawRequest(upload, "Content-Length: 4, 5") + "boats", 400, true},
		{"negative length", rawRequest(upload, "Content-Length: -1"), 400, true},
		{"signed length", rawRequest(upload, "Content-Length: +4") + "boat", 400, true},
		{"unknown encoding", rawRequest(upload, "Transfer-Encoding: gzip, chunked") + "0\r\n\r\n", 501, true},
		{"two encodings", rawRequest(upload, chunked, "Transfer-Encoding: identity") + "0\r\n\r\n", 501, true},
		{"malformed chunk", rawRequest(upload, chunked) + "zz\r\nboat\r\n0\r\n\r\n", 400, false},
		{"long body with its length", rawRequest(upload, fmt.Sprintf("Content-Length: %d", overLimitBytes)) + strings.Repeat("b", overLimitBytes), 413, false},
		{"long body without a length", rawRequest(upload, chunked) + chunk(strings.Repeat("b", overLimitBytes)) + "0\r\n\r\n", 413, false},
		{"no key", "GET /stock/1 HTTP/1.1\r\nHost: node\r\n\r\n", 401, false},
		{"unknown key", strings.ReplaceAll(rawRequest(get), apiKey, apiKey+"x"), 401, false},
		{"key in the query", rawRequest(get + "?key=" + apiKey), 400, false},
		{"key in another header", rawRequest(get, "X-Key: "+apiKey), 400, false},
		{"timeout that isn't a number", rawRequest(get, header.Timeout+": soon"), 400, false},
		{"negative timeout", rawRequest(get, header.Timeout+": -5"), 400, false},
		{"zero timeout", rawRequest(get, header.Timeout+": 0"), 400, false},
		{"timeout out of range", rawRequest(get, header.Timeout+": 99999999999999999999"), 400, false},
		{"long idempotency key", rawRequest("POST /book/1", header.IdempotencyKey+": "+long[:1024], "Content-Length: 0"), 400, false},
	}
}

// rawResponse is a response that was read whole, and the rest of the
// connection's data.
type rawResponse struct {
	status int
	header http.Header
	body   string
	rest   *bufio.Reader
}

// exchange sends a raw request and reads the response.
func exchange(t *testing.T, address, request string) rawResponse {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(rawTimeout)))
	// The write may fail, as the node may respond and close the connection
	// before it has read the whole request.
	_, _ = io.WriteString(conn, request)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return rawResponse{response.StatusCode, response.Header, string(body), reader}
}

// A caller that closes its sending side is taken for gone. It gets no empty response
// that looks as if the request had been served.
func TestCallerThatClosesItsSendingSideGetsAnEmptyResponse(t *testing.T) {
	f := start(t, layout.New("c1").WithService("stock", 1, "--work-millis", "300"))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.Instances[0].Callers)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(rawTimeout)))
	_, err = io.WriteString(conn, "GET /stock/1 HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer "+apiKey+"\r\n\r\n")
	assert.NilError(t, err)
	// The node notices the end while the target runs the request.
	time.Sleep(100 * time.Millisecond)
	tcp, ok := conn.(*net.TCPConn)
	assert.Assert(t, ok)
	assert.NilError(t, tcp.CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, reason.Cancelled.Status())
	assert.Equal(t, response.Header.Get(runst.Header), string(runst.Maybe))
}

func startUploadFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	f := startWithConfig(t, layout.New("c1").WithService("stock", 1, "--key-mark", "loom_"), uploadConfig)
	waitReady(t, f)
	return f
}

// Bad input is refused with the right status, and the node keeps serving. What
// reaches a handler is refused with a problem document that says whether the
// request ran; malformed HTTP is refused by net/http, which closes the
// connection.
func TestBadInputIsRefusedAndTheNodeKeepsServing(t *testing.T) {
	f := startUploadFleet(t)
	in := f.Instances[0]
	for _, b := range badInputs() {
		t.Run(b.name, func(t *testing.T) {
			got := exchange(t, in.Callers, b.raw)
			assert.Equal(t, got.status, b.status, got.body)
			assert.Assert(t, !strings.Contains(got.body, apiKey), "the refusal contains the API key: %s", got.body)
			if !b.malformed {
				assert.Equal(t, got.header.Get("Content-Type"), problemType)
				assert.Assert(t, got.header.Get(runst.Header) != "", got.body)
			}
			assert.Equal(t, getBody(t, in.Callers, "/stock/good?bytes=0"), "", "the next request failed")
		})
	}
	assert.Assert(t, in.Node.Alive())
	runs, err := f.Runs()
	assert.NilError(t, err)
	for _, r := range runs {
		assert.Assert(t, !r.SawKey, "%+v", r)
		assert.Assert(t, r.Path == "/stock/ready" || r.Path == "/stock/good" || r.Outcome != runrec.Served, "a refused request was served: %+v", r)
	}
}

// A request with both a Content-Length and chunks is read by its chunks alone
// (RFC 9112, 6.3), and the target gets only these. What follows is a separate
// request, which needs an API key of its own.
func TestContentLengthWithChunksSmugglesNoRequest(t *testing.T) {
	f := startUploadFleet(t)
	smuggled := "GET /stock/smuggled HTTP/1.1\r\nHost: node\r\n\r\n"
	request := rawRequest("POST /upload/both?bytes=0", "Content-Length: 64", "Transfer-Encoding: chunked") +
		chunk("boat") + "0\r\n\r\n" + smuggled
	got := exchange(t, f.Instances[0].Callers, request)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	next, err := http.ReadResponse(got.rest, nil)
	// The node may close the connection instead of responding to the rest.
	if err == nil {
		assert.Equal(t, next.StatusCode, http.StatusUnauthorized)
		assert.NilError(t, next.Body.Close())
	}
	runs, err := f.Runs()
	assert.NilError(t, err)
	uploads := 0
	for _, r := range runs {
		assert.Assert(t, r.Path != "/stock/smuggled")
		if r.Path == "/upload/both" {
			uploads++
			assert.Equal(t, r.UploadBytes, int64(len("boat")))
		}
	}
	assert.Equal(t, uploads, 1)
}

// Loom headers that a caller forges reach no target.
func TestForgedHeadersReachNoTarget(t *testing.T) {
	f := startUploadFleet(t)
	var lines []string
	for _, name := range []string{"Loom-Envelope", "loom-team", "LOOM-CALL", "Loom-Request", "Loom-Rank", "Loom-Confirm", "Loom-Ran"} {
		lines = append(lines, name+": "+forged)
	}
	got := exchange(t, f.Instances[0].Callers, rawRequest("GET /stock/forged?bytes=0", lines...))
	assert.Equal(t, got.status, http.StatusOK, got.body)
	runs, err := f.Runs()
	assert.NilError(t, err)
	last := runs[len(runs)-1]
	assert.Equal(t, last.Path, "/stock/forged")
	assert.Equal(t, last.Team, "Lakes")
	assert.Equal(t, last.Rank, "Critical")
	assert.Assert(t, last.Request != "" && last.Request != forged)
	assert.Assert(t, !last.SawKey, "a forged header reached the target: %v", last.Headers)
	for _, name := range []string{"Loom-Envelope", "Loom-Confirm", "Loom-Ran"} {
		assert.Assert(t, !slices.Contains(last.Headers, name), "the target got %v", last.Headers)
	}
}

// An upload whose sender stalls isn't answered for as long as the connection stays open.
func TestStalledUploadIsNotAnsweredAtItsDeadline(t *testing.T) {
	f := start(t, layout.New("c1").WithService("stock", 1))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.Instances[0].Callers)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(rawTimeout)))
	_, err = io.WriteString(conn, rawRequest("POST /book/1", "Content-Length: 1000", header.Timeout+": 700")+"u")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
	assert.Equal(t, response.Header.Get(runst.Header), string(runst.Never))
}
