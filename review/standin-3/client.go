package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// sent is one request of a client, with what came of it.
type sent struct {
	id string
	// sentAt is when the last byte was sent, endedAt when the answer was complete or the
	// connection ended.
	sentAt, endedAt time.Time
	// connected is true once the connection was open.
	connected bool
	// status is 0 without a complete answer; err then tells why.
	status    int
	signature string
	err       error
}

var lastID atomic.Int64

// deadline is how long a client waits for an answer.
const deadline = 5 * time.Second

// requestBody is the body of all requests, which are sent with POST.
const requestBody = "boat=4"

// send sends one request on a new connection, which it closes after the answer, and waits
// for that until the deadline. It never tries again.
func (b *bed) send(at *machine, path string) (s sent) {
	s = sent{id: fmt.Sprintf("9c41d07b%08x", lastID.Add(1))}
	defer func() { s.endedAt = time.Now() }()
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s%d", b.prefix, clientHost))}}
	c, err := dialer.Dial("tcp", at.address(outboundPort)) //nolint:noctx // bounded by its timeout
	if err != nil {
		s.err = err
		return s
	}
	defer func() { _ = c.Close() }()
	s.connected = true
	_ = c.SetDeadline(time.Now().Add(deadline))
	head := []string{
		"POST " + path + " HTTP/1.1", "Host: " + hostName, "Request-Id: " + s.id,
		fmt.Sprintf("Deadline-Ms: %d", deadline.Milliseconds()), "Authorization: Bearer " + tenantKey,
		fmt.Sprintf("Content-Length: %d", len(requestBody)),
	}
	_, err = io.WriteString(c, strings.Join(head, "\r\n")+"\r\n\r\n"+requestBody)
	s.sentAt = time.Now()
	if err != nil {
		s.err = err
		return s
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.err = err
		return s
	}
	_, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		s.err = err
		return s
	}
	s.status, s.signature = response.StatusCode, response.Header.Get("Server-Signature")
	s.endedAt = time.Now()
	return s
}

// outcome describes what came of a request for the record.
func (s sent) outcome() string {
	if s.status != 0 {
		return fmt.Sprintf("%d signature %q", s.status, s.signature)
	}
	return fmt.Sprintf("no answer: %v", s.err)
}
