package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// earlyRounds is how many uploads are sent, one after another, and shortRequests how
	// many short requests follow each of them.
	earlyRounds   = 8
	shortRequests = 40
	// uploadBytes is the length of an upload, answerBytes that of its answer.
	uploadBytes = 360_000
	answerBytes = 100_000
	// firstBytes of an upload are sent at once, the rest in pieces.
	firstBytes = 270_000
	pieceBytes = 10_000
	pieceDelay = 25 * time.Millisecond
	// uploadTimeout and orderTimeout are the deadlines of the clients.
	uploadTimeout = 1500 * time.Millisecond
	orderTimeout  = 300 * time.Millisecond
)

// early sends long uploads to two servers, of which one answers them before it has read them
// to the end. It keeps the connection and reads on. Short requests follow each upload.
func early(b *bed, trouble bool) (int, error) {
	b.configure([]string{"store"},
		routeRow{"upload", "/upload/", "unsafe", "store", 5 * time.Second, 1},
		routeRow{"order", "/order/", "unsafe", "store", 5 * time.Second, 1})
	var violations atomic.Int64
	for i := range 2 {
		n, err := b.addNode("store")
		if err != nil {
			return 0, err
		}
		s, err := startServer(n, fmt.Sprintf("i-%d", i), "store", func(s *server, c net.Conn, r *http.Request) bool {
			return s.serveUpload(c, r, trouble && i == 0, &violations)
		})
		if err != nil {
			return 0, err
		}
		defer s.exit()
		s.startBeats()
	}
	for _, n := range b.nodes {
		if err := n.waitServing("/order/0"); err != nil {
			return 0, err
		}
	}
	b.record.line("client: the first upload begins")
	for i := range earlyRounds {
		id := fmt.Sprintf("up%02d", i)
		a := request(b.nodes[0], http.MethodPost, "/upload/"+id, id, uploadTimeout, fmt.Sprintf("Content-Length: %d\r\n", uploadBytes), sendUpload)
		b.record.line("client: %s sent %d bytes, got %v", id, uploadBytes, a)
		for k := range shortRequests {
			id := fmt.Sprintf("or%02d%02d", i, k)
			body := "order of " + id
			a := request(b.nodes[0], http.MethodPost, "/order/"+id, id, orderTimeout, fmt.Sprintf("Content-Length: %d\r\n", len(body)), func(w io.Writer) {
				_, _ = io.WriteString(w, body)
			})
			b.record.line("client: %s sent %q, got %v", id, body, a)
		}
	}
	b.record.line("client: the last request has ended")
	// The server notices the end of an upload whose connection was closed.
	time.Sleep(storeGrace)
	return int(violations.Load()), nil
}

// sendUpload sends an upload, which consists of the byte u only.
func sendUpload(w io.Writer) {
	if _, err := w.Write(bytes.Repeat([]byte("u"), firstBytes)); err != nil {
		return
	}
	for sent := firstBytes; sent < uploadBytes; sent += pieceBytes {
		time.Sleep(pieceDelay)
		if _, err := w.Write(bytes.Repeat([]byte("u"), pieceBytes)); err != nil {
			return
		}
	}
}

// serveUpload serves a request. It answers an upload before it has read its body if early
// is true, and counts bodies with bytes that the client of the upload didn't send.
func (s *server) serveUpload(c net.Conn, r *http.Request, early bool, violations *atomic.Int64) bool {
	id := r.Header.Get(names.RequestID)
	s.record.line("server %s: %s is run, %s %s, %d bytes are due", s.id, id, r.Method, r.URL.Path, r.ContentLength)
	if r.ContentLength != uploadBytes {
		body, err := io.ReadAll(r.Body)
		s.record.line("server %s: %s had the body %q, %v", s.id, id, body, err)
		s.respond(c, r, http.StatusOK, []byte("done"))
		return err == nil
	}
	if early {
		s.respond(c, r, http.StatusOK, bytes.Repeat([]byte("a"), answerBytes))
	}
	_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
	body, err := io.ReadAll(r.Body)
	foreign := bytes.Trim(body, "u")
	s.record.line("server %s: %s had a body of %d bytes, foreign ones %q, %v", s.id, id, len(body), foreign[:min(len(foreign), 300)], err)
	if len(foreign) > 0 {
		violations.Add(1)
	}
	if !early && err == nil {
		s.respond(c, r, http.StatusOK, bytes.Repeat([]byte("a"), answerBytes))
	}
	return err == nil
}
