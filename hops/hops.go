// Package hops carries requests from the node that took them to the node that
// stands before the chosen target, by HTTP/1.1 over kept connections.
package hops

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"bergamotloom.example/clock"
	"bergamotloom.example/conns"
	"bergamotloom.example/heads"
	"bergamotloom.example/output"
	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
	"bergamotloom.example/trip"
)

const (
	// reasonHeader carries the reason of an answer without a run.
	reasonHeader = "Loom-Reason"
	// loadHeader carries the gate's running and waiting requests.
	loadHeader = "Loom-Load"
	// idleMillis is for how long an idle connection is used again. Gates keep
	// theirs much longer.
	idleMillis = 5_000
	// graceMillis is how much longer than its time a request is waited for: the
	// gate answers in time, and its word is better than none.
	graceMillis  = 30
	refusalBytes = 4 << 10
)

// Hops sends requests to other nodes. It's safe for many goroutines.
type Hops struct {
	clock  clock.Clock
	onLoad func(peer string, running, waiting int)
	mutex  sync.Mutex
	pools  map[string]*conns.Conns
}

// New returns hops that tell onLoad what gates say of their load.
func New(c clock.Clock, onLoad func(peer string, running, waiting int)) *Hops {
	return &Hops{clock: c, onLoad: onLoad, pools: make(map[string]*conns.Conns)}
}

func (p *Hops) pool(address string) *conns.Conns {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	pool, ok := p.pools[address]
	if !ok {
		pool = conns.New(address, p.clock, idleMillis)
		p.pools[address] = pool
	}
	return pool
}

// Do sends a request to the gate at the address of this peer. Reached is false
// if the gate didn't answer.
func (p *Hops) Do(ctx context.Context, peer, address string, r *http.Request, h http.Header, body []byte, more func(io.Writer) error, length int64, t trip.Trip) (o output.Output, reached bool) {
	due := p.clock.Fine() + t.LeftMillis
	h.Set(trip.Header, t.Encode())
	request := append(heads.AppendHead(nil, r, h, length), body...)
	answer, done, sent, err := p.pool(address).Do(ctx, r.Method, request, more, func(*http.Response) bool { return true }, due+graceMillis) //nolint:bodyclose // readHop closes it.
	switch {
	case err == nil:
	case !sent && p.clock.Fine() >= due:
		return output.Refused(reason.DeadlineExceeded, err.Error()), false
	case !sent:
		return output.Refused(reason.NoInstance, err.Error()), false
	case ctx.Err() != nil:
		return output.Lost(reason.Cancelled, err.Error()), true
	case p.clock.Fine() >= due:
		return output.Lost(reason.DeadlineExceeded, err.Error()), true
	default:
		return output.Lost(reason.InstanceLost, err.Error()), false
	}
	p.load(peer, answer.Header)
	return readHop(answer, done), true
}

// readHop reads an answer as Handler writes it.
func readHop(answer *http.Response, done func(whole bool)) output.Output {
	ran := runst.State(answer.Header.Get(runst.Header))
	why := reason.Reason(answer.Header.Get(reasonHeader))
	if ran == runst.Once && why == "" {
		o, err := output.Read(answer, done)
		if err != nil {
			return output.Lost(reason.InstanceLost, err.Error())
		}
		o.Header.Del(runst.Header)
		o.Header.Del(loadHeader)
		return o
	}
	detail, err := io.ReadAll(io.LimitReader(answer.Body, refusalBytes))
	_ = answer.Body.Close()
	done(err == nil)
	if ran == runst.Never && why != "" {
		return output.Refused(why, string(detail))
	}
	if why == "" {
		why = reason.InstanceLost
	}
	return output.Lost(why, string(detail))
}

func (p *Hops) load(peer string, h http.Header) {
	running, waiting, ok := strings.Cut(h.Get(loadHeader), ",")
	r, errRunning := strconv.Atoi(running)
	w, errWaiting := strconv.Atoi(waiting)
	if ok && errRunning == nil && errWaiting == nil {
		p.onLoad(peer, r, w)
	}
}
