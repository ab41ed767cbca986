package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// downloads is how many requests are sent on one kept connection after another.
	downloads = 300
	// failedEvery is the divisor that gives how many of them the server fails.
	failedEvery   = 5
	downloadDelay = 10 * time.Millisecond
	// downloadTimeout is the deadline of the client.
	downloadTimeout = 1500 * time.Millisecond
	// allowedLosses is how many connections may be closed without an answer.
	allowedLosses = 3
)

// failed sends downloads to a server that fails some of them with a whole response of its
// own, as long as its other responses.
func failed(b *bed, trouble bool) (int, error) {
	b.configure([]string{"shelf"}, routeRow{"sheet", "/sheet/", "download", "shelf", 2 * time.Second, 2})
	n, err := b.addNode("shelf")
	if err != nil {
		return 0, err
	}
	var count atomic.Int64
	s, err := startServer(n, "i-1", "shelf", func(s *server, c net.Conn, r *http.Request) bool {
		status := http.StatusOK
		if trouble && count.Add(1)%failedEvery == 0 {
			status = http.StatusInternalServerError
		}
		s.record.line("server: %s is run, status %d and %d bytes", r.Header.Get(names.RequestID), status, answerBytes)
		s.respond(c, r, status, bytes.Repeat([]byte("a"), answerBytes))
		return true
	})
	if err != nil {
		return 0, err
	}
	defer s.exit()
	s.startBeats()
	if err := n.waitServing("/sheet/0"); err != nil {
		return 0, err
	}
	client := &keptConn{node: n}
	defer client.close()
	losses := 0
	for i := range downloads {
		id := fmt.Sprintf("dl%03d", i)
		a := client.get("/sheet/"+id, id)
		b.record.line("client: %s got %v", id, a)
		if a.err != nil {
			losses++
		}
		time.Sleep(downloadDelay)
	}
	b.record.line("%d of %d requests ended without a whole answer", losses, downloads)
	return max(losses-allowedLosses, 0), nil
}

// keptConn is a client's connection that is kept open for many requests.
type keptConn struct {
	node   *node
	conn   net.Conn
	reader *bufio.Reader
}

// get sends a request on the kept connection, which is opened again if it was closed.
func (k *keptConn) get(path, id string) answer {
	if k.conn == nil {
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", k.node.outbound)
		if err != nil {
			return answer{err: err}
		}
		k.conn, k.reader = c, bufio.NewReader(c)
	}
	_ = k.conn.SetDeadline(time.Now().Add(downloadTimeout))
	_, err := fmt.Fprintf(k.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		path, siteHost, names.RequestID, id, names.RemainingMillis, downloadTimeout.Milliseconds(), apiKey)
	if err != nil {
		k.close()
		return answer{err: err}
	}
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		k.close()
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		k.close()
	}
	return answer{response.StatusCode, response.Header.Get(names.Signature) != "", body, err}
}

func (k *keptConn) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}
