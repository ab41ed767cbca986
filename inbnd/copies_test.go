package inbnd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
)

const refusalHead = "HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// A copy of an earlier refusal, with or without the earlier ID, isn't the answer to
// the next request on the connection, which the target runs.
func TestCopyOfARefusalSaysThatAnotherRequestWasNotRun(t *testing.T) {
	for _, c := range []struct {
		name string
		// copyHeader identifies the copy's request.
		copyHeader string
		status     int
	}{
		{"with the earlier ID", "Request-Id: a\r\n", http.StatusOK},
		{"without an ID", "", 0},
		{"with an empty ID", "Request-Id: \r\n", 0},
	} {
		for _, late := range []bool{false, true} {
			runs := make(chan string, 8)
			g := newGateTo(t, func(conn net.Conn, r *bufio.Reader) {
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					id := request.Header.Get("Request-Id")
					if id == "a" {
						_, _ = fmt.Fprintf(conn, refusalHead, "Request-Id: a\r\n")
						if late {
							continue
						}
						// The copy comes right after the refusal.
						_, _ = fmt.Fprintf(conn, refusalHead, c.copyHeader)
						continue
					}
					if late {
						_, _ = fmt.Fprintf(conn, refusalHead, c.copyHeader)
					}
					runs <- id
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(conn, signed(id, "real"))
				}
			})
			assert.Equal(t, do(t, g, "a", 1000).Reason, reason.TargetRefused)
			got := do(t, g, "b", 1000)
			if len(runs) > 0 {
				assert.Check(t, got.Ran != runst.Never, "%s, late %v: %s", c.name, late, got.Detail)
			}
			if c.status != 0 {
				assert.Check(t, got.Status == c.status, "%s, late %v: %s", c.name, late, got.Detail)
			}
		}
	}
}

// A refusal without an ID is the answer on a connection that had no other request.
func TestRefusalWithoutAnIDOnANewConnection(t *testing.T) {
	g := newGateTo(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = fmt.Fprintf(conn, refusalHead, "")
		}
	})
	got := do(t, g, "a", 1000)
	assert.Equal(t, got.Reason, reason.TargetRefused)
	assert.Equal(t, got.Ran, runst.Never)
}

// A target that ends within the head of its response, at whichever byte, hasn't
// answered.
func TestResponseThatEndsInItsHeadIsASuccess(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Signature: s\r\nContent-Length: 1500\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Signature: s\r\n\r\n",
		"HTTP/1.0 200 OK\nRequest-Id: a\nServer-Signature: s\n\n",
		"HTTP/1.1 204 No Content\r\nRequest-Id: a\r\nServer-Signature: s\r\n\r\n",
	} {
		for length := range len(whole) {
			g := newGateTo(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(conn, whole[:length])
				}
			})
			got := do(t, g, "a", 1000)
			assert.Check(t, got.Reason == reason.InstanceLost && got.Ran == runst.Maybe, "after %q: %s %s %d", whole[:length], got.Reason, got.Ran, got.Status)
		}
	}
}
