// Package hops forwards requests from the entry of one node to the gate of the
// node beside the chosen target, by HTTP/1.1 over persistent connections.
package hops

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"bergamotloom.example/body"
	"bergamotloom.example/clock"
	"bergamotloom.example/conns"
	"bergamotloom.example/heads"
	"bergamotloom.example/output"
	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
	"bergamotloom.example/trip"
)

const (
	// reasonHeader carries the reason why there's no response of the target.
	reasonHeader = "Loom-Reason"
	// evacuatedHeader goes with the reason Leaving and says that it's Evacuated, which
	// entries of earlier builds don't know.
	evacuatedHeader = "Loom-Evacuated"
	// loadHeader carries the numbers of running and waiting requests of the gate, and
	// optionally the current run time at the target in percent of the mean run time on the
	// gate's last status card. The third number is a header line of its own, as older
	// builds read the first line only and expect two numbers there.
	loadHeader = "Loom-Load"
	// maxIdleMillis is for how long an idle connection may be reused. Gates keep
	// theirs open for much longer.
	maxIdleMillis = 5_000
	// minIdlePerPeer is the least number of idle connections to a peer that are
	// kept, however many peers there are.
	minIdlePerPeer = 4
	// responseGraceMillis is how long after the deadline to wait for the gate's
	// response. The gate itself waits for its target's until shortly after the
	// deadline, and its response, which needs some time to arrive, reports whether
	// the request ran.
	responseGraceMillis = 130
	// maxDetailBytes bounds how much of the detail of a refusal is read.
	maxDetailBytes = 4 << 10
	wholePercent   = 100
	// slownessBits bounds the third number of loadHeader.
	slownessBits = 16
)

// Hops sends requests to other nodes. It's safe for concurrent use.
type Hops struct {
	clock  clock.Clock
	onLoad func(peer string, running, waiting int, slowness float64)
	// maxIdle is the max number of idle connections to all peers together, which
	// is divided among those with a pool.
	maxIdle int
	mutex   sync.Mutex
	pools   map[string]*conns.Conns
}

// New returns a Hops without connections, which keeps about maxIdle idle ones in
// total. OnLoad is called with the numbers of running and waiting requests that the
// gate of a peer reports in a response, and with the current run time at its target in
// relation to the mean (2 means twice as long), 0 if the gate doesn't know it.
func New(c clock.Clock, maxIdle int, onLoad func(peer string, running, waiting int, slowness float64)) *Hops {
	return &Hops{clock: c, maxIdle: maxIdle, onLoad: onLoad, pools: make(map[string]*conns.Conns)}
}

// pool returns the connections to an address.
func (p *Hops) pool(address string) *conns.Conns {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	pool, ok := p.pools[address]
	if !ok {
		pool = conns.New(address, p.clock, maxIdleMillis)
		pool.SetMaxIdle(minIdlePerPeer)
		p.pools[address] = pool
	}
	return pool
}

// divideIdle divides maxIdle among the pools that have idle connections. The mutex
// must be held.
func (p *Hops) divideIdle() {
	used := 0
	for _, pool := range p.pools {
		if pool.Idle() > 0 {
			used++
		}
	}
	each := max(p.maxIdle/max(used, 1), minIdlePerPeer)
	for _, pool := range p.pools {
		pool.SetMaxIdle(each)
	}
}

// CloseUnusable closes the idle connections that can't be used again. It's to be
// called about once a second.
func (p *Hops) CloseUnusable() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, pool := range p.pools {
		pool.CloseUnusable()
	}
	p.divideIdle()
}

// Idle returns the number of idle connections to all peers.
func (p *Hops) Idle() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := 0
	for _, pool := range p.pools {
		idle += pool.Idle()
	}
	return idle
}

// Bytes returns how many bytes were sent to and received from the gates at each
// address since the start.
func (p *Hops) Bytes() map[string]int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	all := make(map[string]int64, len(p.pools))
	for address, pool := range p.pools {
		sent, received := pool.Bytes()
		all[address] = sent + received
	}
	return all
}

// Do sends a request to the gate at the address of the peer, and returns its
// outcome. Reached is false if the request couldn't be sent or the connection
// ended early, before the deadline. It's true if a response came, or if the
// caller or the deadline ended the wait for it.
func (p *Hops) Do(ctx context.Context, peer, address string, r *http.Request, h http.Header, b body.Body, t trip.Trip) (o output.Output, reached bool) {
	deadline := p.clock.Fine() + t.LeftMillis
	h.Set(trip.Header, t.Encode())
	request := append(heads.AppendHead(nil, r, h, b.Length), b.Start...)
	response, done, sent, err := p.pool(address).Do(ctx, r.Method, request, b.WriteRest, func(*http.Response, bool) bool { return true }, deadline+responseGraceMillis) //nolint:bodyclose // readResponse closes it.
	switch {
	case err == nil:
	case !sent && p.clock.Fine() >= deadline:
		return output.Refused(reason.DeadlineExceeded, err.Error()), false
	case !sent:
		return output.Refused(reason.NoInstance, err.Error()), false
	case ctx.Err() != nil:
		return output.Lost(reason.Cancelled, err.Error()), true
	case p.clock.Fine() >= deadline:
		return output.Lost(reason.DeadlineExceeded, err.Error()), true
	default:
		return output.Lost(reason.InstanceLost, err.Error()), false
	}
	p.reportLoad(peer, response.Header)
	return readResponse(response, done), true
}

// readResponse reads a response that Handler has written.
func readResponse(response *http.Response, done func(complete bool)) output.Output {
	ran := runst.State(response.Header.Get(runst.Header))
	cause := reason.Reason(response.Header.Get(reasonHeader))
	if ran == runst.Once && cause == "" {
		o, err := output.Read(response, done)
		if err != nil {
			return output.Lost(reason.InstanceLost, err.Error())
		}
		RemoveOwnHeaders(o.Header)
		return o
	}
	if cause == reason.Leaving && response.Header.Get(evacuatedHeader) != "" {
		cause = reason.Evacuated
	}
	detail, err := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes))
	_ = response.Body.Close()
	done(err == nil)
	if ran == runst.Never && cause != "" {
		return output.Refused(cause, string(detail))
	}
	if cause == "" {
		cause = reason.InstanceLost
	}
	return output.Lost(cause, string(detail))
}

// RemoveOwnHeaders removes the headers by which a gate tells the outcome of a request. A
// target isn't to speak for its gate.
func RemoveOwnHeaders(h http.Header) {
	for _, name := range []string{runst.Header, reasonHeader, evacuatedHeader, loadHeader} {
		h.Del(name)
	}
}

// Refusal returns the whole response of a gate that refuses a request without having read
// it. It says the same to a caller.
func Refusal(r reason.Reason) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: 1\r\n%s: %s\r\n%s: %s\r\n\r\n",
		http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable), runst.Header, runst.Never, reasonHeader, r)
}

// reportLoad calls onLoad with the load in the headers of a gate's response.
func (p *Hops) reportLoad(peer string, h http.Header) {
	if running, waiting, slowness, ok := parseLoad(h.Values(loadHeader)); ok {
		p.onLoad(peer, running, waiting, slowness)
	}
}

// parseLoad parses the lines of the load header. Slowness is 0 if it's missing or
// malformed.
func parseLoad(lines []string) (running, waiting int, slowness float64, ok bool) {
	first, rest, ok := strings.Cut(strings.Join(lines, ","), ",")
	second, third, _ := strings.Cut(rest, ",")
	running, errRunning := strconv.Atoi(first)
	waiting, errWaiting := strconv.Atoi(second)
	if !ok || errRunning != nil || errWaiting != nil {
		return 0, 0, 0, false
	}
	if percent, err := strconv.ParseUint(third, 10, slownessBits); err == nil {
		slowness = float64(percent) / wholePercent
	}
	return running, waiting, slowness, true
}

// addLoad adds the lines of the load header. Slowness is 0 if it isn't known.
func addLoad(h http.Header, running, waiting int, slowness float64) {
	h.Set(loadHeader, strconv.Itoa(running)+","+strconv.Itoa(waiting))
	if slowness > 0 {
		h.Add(loadHeader, strconv.Itoa(int(math.Ceil(slowness*wholePercent))))
	}
}
