package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
	"bergamotloom.example/member"
	"bergamotloom.example/quota"
	"bergamotloom.example/record"
	"bergamotloom.example/team"
	"bergamotloom.example/write"
)

const (
	tickMillis = 5
	fleetSize  = 12
	teamName   = "lapacho"
)

// peer is one node of the fleet under test.
type peer struct {
	id          string
	incarnation int64
	quota       *quota.Quota
	advance     func(float64)
	// speed is how fast its clock runs; ahead is what it isn't told yet.
	speed, ahead float64
	alive        bool
	stopped      bool
	noTable      bool
	leaving      bool
	backlog      []func()
}

// fleet runs nodes on virtual clocks with a network and a table that fail when
// told to. It keeps the times at which requests were admitted.
type fleet struct {
	now int64
	// step is the milliseconds that pass at once.
	step    int64
	queue   map[int64][]func()
	random  *rand.Rand
	peers   []*peer
	teams   []team.Team
	cut     map[[2]string]bool
	loss    float64
	double  float64
	late    float64
	rows    map[string]record.Record
	settled map[string]bool
	out     bool
	lost    float64
	writes  int
	reads   int
	sent    int
	bytes   int
	waited  int
	// admitted and refused hold times.
	admitted []int64
	refused  []int64
}

func newFleet(seed uint64, rate, burst float64) *fleet {
	f := &fleet{
		now: 1_000_000, step: 1, random: rand.New(rand.NewPCG(seed, seed)), teams: []team.Team{{Name: teamName, Rate: rate, Burst: burst}},
		queue: map[int64][]func(){}, cut: map[[2]string]bool{}, rows: map[string]record.Record{}, settled: map[string]bool{},
	}
	for i := range fleetSize {
		f.peers = append(f.peers, &peer{id: fmt.Sprintf("10.0.0.%d:7000", i+1), speed: 1})
		f.start(i)
	}
	f.gossip()
	return f
}

// start starts a node, or a new incarnation of it.
func (f *fleet) start(i int) {
	p := f.peers[i]
	c, advance := clock.NewManual(f.now)
	p.incarnation, p.advance, p.alive, p.stopped, p.noTable, p.backlog = f.now, advance, true, false, false, nil
	id, inc := p.id, p.incarnation
	p.quota = quota.New(id, inc, c, uint64(i), func(to string, body []byte) { f.send(p, inc, to, body) })
	q := p.quota
	q.SetTable(
		func(key string) { f.read(p, q, key) },
		func(token string, w write.Write) { f.write(p, q, token, w) },
	)
	q.SetTeams(f.teams)
}

// gossip tells all nodes of all nodes that run or ran.
func (f *fleet) gossip() {
	for _, p := range f.peers {
		if p.alive {
			p.run(func() { p.quota.SetMembers(f.members()) })
		}
	}
}

func (f *fleet) members() []member.Member {
	var all []member.Member
	for i, p := range f.peers {
		all = append(all, member.Member{
			ID: p.id, Incarnation: p.incarnation, Centre: fmt.Sprint("dc", i%3), Ready: true, Leaving: p.leaving,
		})
	}
	return all
}

// run does something in the node's process, or when it's no longer stopped.
func (p *peer) run(do func()) {
	if p.stopped {
		p.backlog = append(p.backlog, do)
		return
	}
	do()
}

func (f *fleet) after(millis int64, do func()) {
	f.queue[f.now+millis] = append(f.queue[f.now+millis], do)
}

func (f *fleet) peer(id string) *peer {
	for _, p := range f.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (f *fleet) send(from *peer, incarnation int64, to string, body []byte) {
	f.sent++
	f.bytes += len(body)
	copies := 1
	if f.random.Float64() < f.double {
		copies = 2
	}
	for range copies {
		delay := 1 + f.random.Int64N(2)
		if f.random.Float64() < f.late {
			delay += f.random.Int64N(5000)
		}
		if f.random.Float64() >= f.loss {
			f.after(delay, func() { f.deliver(from, incarnation, to, body) })
		}
	}
}

func (f *fleet) deliver(from *peer, incarnation int64, to string, body []byte) {
	p := f.peer(to)
	if f.cut[[2]string{from.id, to}] {
		return
	}
	if !p.alive {
		// The connection is refused: the sender has its proof, later.
		dead := p.incarnation
		f.after(1, func() {
			if from.alive && from.incarnation == incarnation && !f.cut[[2]string{to, from.id}] {
				from.run(func() { from.quota.ConfirmDead(to, dead) })
			}
		})
		return
	}
	q := p.quota
	p.run(func() { q.Receive(from.id, body) })
}

var errOut = errors.New("the table gave no answer")

func (f *fleet) read(p *peer, q *quota.Quota, key string) {
	f.reads++
	f.after(3, func() {
		r, found := f.rows[key]
		err := f.fault(p)
		f.after(3, func() { p.run(func() { q.ReadDone(key, r, found, err) }) })
	})
}

func (f *fleet) write(p *peer, q *quota.Quota, token string, w write.Write) {
	f.writes++
	f.after(3, func() {
		applied, known := f.settled[token]
		if !f.out && !p.noTable && !known {
			applied = f.rows[w.Key].Version == w.IfVersion
			f.settled[token] = applied
			if applied {
				f.rows[w.Key] = record.Record{Key: w.Key, Value: w.Value, Version: w.IfVersion + 1}
			}
		}
		err := f.fault(p)
		f.after(3, func() { p.run(func() { q.WriteDone(w.Key, token, applied, err) }) })
	})
}

// fault returns an error when the table is out or its answer gets lost.
func (f *fleet) fault(p *peer) error {
	if f.out || p.noTable || f.random.Float64() < f.lost {
		return errOut
	}
	return nil
}

func (f *fleet) kill(i int) { f.peers[i].alive = false }

func (f *fleet) stop(i int) { f.peers[i].stopped = true }

func (f *fleet) resume(i int) {
	p := f.peers[i]
	p.stopped = false
	backlog := p.backlog
	p.backlog = nil
	for _, do := range backlog {
		do()
	}
}

// request lets one request of the team arrive at a node.
func (f *fleet) request(i int) {
	p := f.peers[i]
	if !p.alive || p.stopped {
		return
	}
	asked := f.now
	p.quota.TakeOrWait(teamName, func(granted bool, _ int64) {
		if f.now > asked {
			f.waited++
		}
		if granted {
			f.admitted = append(f.admitted, f.now)
		} else {
			f.refused = append(f.refused, f.now)
		}
	})
}

// run lets time pass; arrive is called for each millisecond.
func (f *fleet) run(millis int64, arrive func()) {
	for end := f.now + millis; f.now < end; {
		f.now += f.step
		for _, p := range f.peers {
			p.ahead += p.speed - 1
			whole := math.Trunc(p.ahead*1000) / 1000
			p.ahead -= whole
			p.advance(float64(f.step) + whole)
		}
		for at := f.now - f.step + 1; at <= f.now; at++ {
			for _, do := range f.queue[at] {
				do()
			}
			delete(f.queue, at)
		}
		if arrive != nil {
			arrive()
		}
		for i, p := range f.peers {
			if p.alive && !p.stopped && (f.now+int64(i))%tickMillis < f.step {
				p.quota.Tick()
			}
		}
	}
}

// arrivals returns a function for run that sends perSecond requests a second
// of the team in equal steps to nodes that pick chooses.
func (f *fleet) arrivals(perSecond float64, pick func() int) func() {
	due := 0.0
	return func() {
		for due += perSecond * float64(f.step) / 1000; due >= 1; due-- {
			f.request(pick())
		}
	}
}

// home returns the index of the node that acts as the team's home, or -1.
func (f *fleet) home() int {
	for i, p := range f.peers {
		if p.alive && !p.stopped {
			if _, acting := p.quota.Owner(teamName); acting {
				return i
			}
		}
	}
	return -1
}

// limits are in force from a time on.
type limits struct {
	from        int64
	rate, burst float64
}

// checkWindows fails if in any window more was admitted than burst plus rate
// times its length. It needs one pass: a token bucket that takes one token for
// each request is emptied below zero exactly if some window is over.
func (f *fleet) checkWindows(t require, in ...limits) {
	level, last := in[0].burst, int64(0)
	now := in[0]
	for _, at := range f.admitted {
		for len(in) > 1 && at >= in[1].from {
			level = math.Min(level+now.rate*float64(in[1].from-last)/1000, now.burst)
			in = in[1:]
			now, last = in[0], in[0].from
		}
		level = math.Min(level+now.rate*float64(at-last)/1000, now.burst) - 1
		last = at
		if level < -1e-6 {
			t.Fatalf("a window that ends at %d ms holds %.2f requests too many", at, -level)
		}
	}
}

// require is the part of a test that a check needs.
type require interface {
	Fatalf(format string, args ...any)
}

// successor returns the node that follows the home in the team's row.
func (f *fleet) successor(h int) int {
	ids := f.peers[h].quota.Succession(teamName)
	for i, p := range f.peers {
		if p.id == ids[1] {
			return i
		}
	}
	return -1
}

// refusedBetween counts the refusals of a span.
func (f *fleet) refusedBetween(from, to int64) int {
	n := 0
	for _, at := range f.refused {
		if at >= from && at < to {
			n++
		}
	}
	return n
}
