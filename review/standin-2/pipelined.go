package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// downloadBytes and bookingBytes are the lengths of responses: the longest ones of a
	// download and of an unsafe request in the site files.
	downloadBytes = 36_000
	bookingBytes  = 30_000
	workTime      = 96 * time.Millisecond
	// behindDelay is how long after the first request the others are sent.
	behindDelay = 30 * time.Millisecond
	behindCount = 2
	// windowBytes is the receive buffer of a client: ten segments, the amount with which a
	// TCP connection begins.
	windowBytes    = 14_600
	clientCount    = 20
	deadlineMillis = 1500
	// beforeStop is how long traffic runs before the signal, afterStop how long it goes on.
	beforeStop = 3 * time.Second
	afterStop  = 3 * time.Second
)

// exchangeResult is the outcome of one request.
type exchangeResult struct {
	id       string
	unsafe   bool
	sentAt   time.Time
	endedAt  time.Time
	complete bool
	closes   bool
	text     string
}

// pipelinedStop stops a machine as planned while clients have requests outstanding behind
// the one that is being answered.
func pipelinedStop(f *fleet, trouble bool) (outcome, error) {
	f.configure(`["download","lakes.example","/doc/","download","1500ms","400ms",1,null,2,false,"docs"],["booking","lakes.example","/booking/","unsafe","1500ms","500ms",0,null,2,false,"desk"]`)
	for service, length := range map[string]int{"docs": downloadBytes, "desk": bookingBytes} {
		for _, zone := range []string{"z1", "z2"} {
			m, err := f.addMachine(zone, service, 100, workTime)
			if err != nil {
				return outcome{}, err
			}
			m.server.Respond = respondBytes(m.server.ID, length)
		}
	}
	if err := f.waitReady("/doc/probe"); err != nil {
		return outcome{}, err
	}
	taker := f.machines[0]
	end := time.Now().Add(beforeStop + afterStop)
	var mutex sync.Mutex
	var results []exchangeResult
	var clients sync.WaitGroup
	for c := range clientCount {
		clients.Go(func() {
			for i := 0; time.Now().Before(end) && taker.node.Alive(); i++ {
				for _, r := range sendPipelined(taker, fmt.Sprintf("c%d-%d", c, i), c%2 == 0) {
					mutex.Lock()
					results = append(results, r)
					mutex.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(beforeStop)
	stoppedAt := time.Now()
	if trouble {
		f.rec.line("SIGTERM to %s", taker.name)
		taker.node.Terminate()
	}
	clients.Wait()
	runs := f.runs()
	broken, unsafe, afterSignal := 0, 0, 0
	for _, r := range results {
		if r.sentAt.After(stoppedAt) {
			afterSignal++
		}
		inTime := r.endedAt.Sub(r.sentAt) < deadlineMillis*time.Millisecond
		lost := !r.complete && runs[r.id] > 0 && inTime
		f.rec.line("request %s sent=%.3f runs=%d complete=%v closes=%v %s", r.id, r.sentAt.Sub(f.rec.startedAt).Seconds(), runs[r.id], r.complete, r.closes, r.text)
		if lost {
			broken++
			if r.unsafe {
				unsafe++
			}
		}
	}
	return outcome{broken, fmt.Sprintf("LOST: %d requests that were passed on had no complete answer (%d downloads, %d unsafe ones), of %d sent, %d of them after the signal", broken, broken-unsafe, unsafe, len(results), afterSignal)}, nil
}

// respondBytes returns the handler of a server whose responses have this length.
func respondBytes(id string, length int) func(w http.ResponseWriter, r *http.Request) {
	body := make([]byte, length)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(workTime)
		w.Header().Set("Server-Signature", id+"."+r.Header.Get("Request-Id"))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}
}

func downloadRequest(id string) string {
	return requestHead("GET", "/doc/"+id, id) + "\r\n"
}

func bookingRequest(id string) string {
	return requestHead("POST", "/booking/"+id, id) + "Content-Length: 7\r\n\r\nbooking"
}

func requestHead(method, path, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: lakes.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer key-north\r\n", method, path, id, deadlineMillis)
}

// sendPipelined sends a download or a booking on a new connection and further downloads
// behind it before it is answered, and reads the answers in order until one closes the
// connection.
func sendPipelined(m *machine, id string, unsafe bool) []exchangeResult {
	first := exchangeResult{id: id, unsafe: unsafe, sentAt: time.Now()}
	text := downloadRequest(id)
	if unsafe {
		text = bookingRequest(id)
	}
	c, err := dialSmallWindow(m.address(outboundPort))
	if err != nil {
		first.text = err.Error()
		return []exchangeResult{first}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadlineMillis * time.Millisecond))
	if _, err := io.WriteString(c, text); err != nil {
		first.text = err.Error()
		return []exchangeResult{first}
	}
	time.Sleep(behindDelay)
	all := []exchangeResult{first}
	for i := range behindCount {
		behind := exchangeResult{id: fmt.Sprintf("%s-behind-%d", id, i), sentAt: time.Now()}
		if _, err := io.WriteString(c, downloadRequest(behind.id)); err != nil {
			break
		}
		all = append(all, behind)
	}
	reader := bufio.NewReader(c)
	for i := range all {
		readAnswer(reader, &all[i])
		if all[i].closes || !all[i].complete {
			// What is behind counts as not read.
			return all[:i+1]
		}
	}
	return all
}

func readAnswer(reader *bufio.Reader, r *exchangeResult) {
	defer func() { r.endedAt = time.Now() }()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		r.text = "no answer: " + err.Error()
		return
	}
	n, err := io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	r.closes = response.Close
	r.complete = err == nil
	r.text = fmt.Sprintf("status=%d bytes=%d of %d", response.StatusCode, n, response.ContentLength)
	if err != nil {
		r.text += " " + err.Error()
	}
}

// dialSmallWindow connects with a small receive buffer, as the platform's links have.
func dialSmallWindow(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes/2)
		})
		if err == nil {
			err = failed
		}
		return errors.Wrap(err, "window")
	}}
	c, err := d.Dial("tcp", address)
	return c, errors.Wrap(err, "dial")
}
