package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"bergamotloom.example/clock"
	"bergamotloom.example/gossip"
	"bergamotloom.example/member"
)

const (
	startMillis = 1_000_000
	tickMillis  = 100
	hopMillis   = 5
	checkMillis = 10
	centreCount = 4
)

// event is a tick of a node, or a message on its way to it.
type event struct {
	to, from int
	text     []byte
}

// net is a message queue with delay, loss and cuts on a virtual clock.
type net struct {
	clock   clock.Clock
	advance func(float64)
	random  *rand.Rand
	due     map[int64][]event // by the millisecond
	nodes   []*gossip.Gossip
	index   map[string]int
	stopped map[int]int64 // node to the time when it goes on
	loss    float64
	// overhear is told every message that is sent.
	overhear func(text []byte)
	isCut    func(from, to int) bool
}

func id(i int) string { return fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250) }

func record(i int) member.Member {
	m := member.Member{
		ID:          id(i),
		Incarnation: startMillis,
		Serial:      1,
		Centre:      fmt.Sprint("c", i%centreCount),
		Region:      "r",
		Callers:     fmt.Sprintf("10.0.%d.%d:7300", i/250, i%250),
	}
	return m.WithTarget(fmt.Sprint("s", i%8), 20)
}

// newNet returns n nodes that know each other's records already.
func newNet(n int, loss float64) *net {
	w := &net{
		random:   rand.New(rand.NewPCG(1, 2)),
		due:      map[int64][]event{},
		index:    map[string]int{},
		stopped:  map[int]int64{},
		overhear: func([]byte) {},
		loss:     loss,
		isCut:    func(int, int) bool { return false },
	}
	w.clock, w.advance = clock.NewManual(startMillis)
	records := make([]member.Member, n)
	for i := range n {
		records[i] = record(i)
		w.add(records[i])
	}
	for _, g := range w.nodes {
		for _, m := range records {
			g.Learn(m)
		}
	}
	return w
}

func (w *net) add(m member.Member) int {
	i := len(w.nodes)
	w.index[m.ID] = i
	w.nodes = append(w.nodes, w.node(i, m))
	w.push(int64(w.random.IntN(tickMillis)), event{to: i, from: i})
	return i
}

func (w *net) node(i int, m member.Member) *gossip.Gossip {
	return gossip.New(m, w.clock, uint64(i), func(to string, text []byte) {
		w.overhear(text)
		j, ok := w.index[to]
		if !ok || w.random.Float64() < w.loss || w.isCut(i, j) {
			return
		}
		w.push(1+int64(w.random.IntN(hopMillis)), event{to: j, from: i, text: text})
	})
}

func (w *net) push(inMillis int64, e event) {
	at := w.clock.Now() + inMillis
	w.due[at] = append(w.due[at], e)
}

// stop holds a node's ticks and messages back; it goes on after the time.
func (w *net) stop(i int, millis int64) { w.stopped[i] = w.clock.Now() + millis }

// run lets so many milliseconds pass, or fewer if done says so.
func (w *net) run(millis int64, done func() bool) bool {
	end := w.clock.Now() + millis
	for {
		now := w.clock.Now()
		for i := 0; i < len(w.due[now]); i++ {
			w.dispatch(w.due[now][i])
		}
		delete(w.due, now)
		if done != nil && now%checkMillis == 0 && done() {
			return true
		}
		if w.clock.Now() >= end {
			return false
		}
		w.advance(1)
	}
}

func (w *net) dispatch(e event) {
	if left := w.stopped[e.to] - w.clock.Now(); left > 0 {
		w.push(left, e)
		return
	}
	if e.text != nil {
		w.nodes[e.to].Receive(id(e.from), e.text)
		return
	}
	w.nodes[e.to].Tick()
	w.push(tickMillis, event{to: e.to, from: e.to})
}

// all tells whether every node that runs fulfils a condition.
func (w *net) all(fulfils func(g *gossip.Gossip) bool) bool {
	for i, g := range w.nodes {
		if w.stopped[i] <= w.clock.Now() && !fulfils(g) {
			return false
		}
	}
	return true
}

func hasFact(key string, version int64) func(*gossip.Gossip) bool {
	return func(g *gossip.Gossip) bool {
		v, _, _ := g.Fact(key)
		return v == version
	}
}

// since returns how long it takes until every node fulfils the condition.
func (w *net) since(t *testing.T, limit int64, fulfils func(g *gossip.Gossip) bool) int64 {
	t.Helper()
	begin := w.clock.Now()
	if !w.run(limit, func() bool { return w.all(fulfils) }) {
		t.Fatalf("not within %d ms", limit)
	}
	return w.clock.Now() - begin
}

// ticks returns one tick for each node, to go on after a leap of the clock.
func (w *net) ticks() []event {
	var events []event
	for i := range w.nodes {
		if w.stopped[i] <= w.clock.Now() {
			events = append(events, event{to: i, from: i})
		}
	}
	return events
}

// agrees tells whether all nodes know the same.
func (w *net) agrees() bool {
	first := w.nodes[0]
	version, _, _ := first.Fact("version")
	return w.all(func(g *gossip.Gossip) bool {
		return hasFact("version", version)(g) &&
			slices.Equal(g.Members(), first.Members())
	})
}
