// Package picker chooses the instance that shall run a request.
//
// It knows each instance's load from the cards that nodes spread and from what
// gates say with their answers, adds what it has sent there since, and takes
// the better one of two random instances. Faster instances are drawn more
// often, those of the own data centre too as long as they have room.
package picker

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
)

const (
	// silentMillis is after how long an instance that isn't heard of is only
	// taken if there's no other: cards come ten times a second.
	silentMillis = 1200
	// avoidMillis is how long an instance is avoided that couldn't be reached.
	avoidMillis = 600
	// nearFactor is how much more often an instance of the own data centre is
	// drawn while less than roomyPart of its slots are taken.
	nearFactor = 12
	roomyPart  = 0.75
	// farMillis is what a request to another data centre takes longer; it
	// stands for the bytes that cross the border too.
	farMillis = 3
	// failWeight is how much worse an instance looks whose runs fail.
	failWeight = 4
	// failPower is how steeply the part of the runs that fail, up to
	// mostFailing, lowers how often an instance is drawn.
	failPower   = 5
	mostFailing = 0.9
	// startRunMillis is taken for a run as long as nothing is known.
	startRunMillis = 20
	// draws of two random instances are made for one choice.
	draws = 2
)

// Picker knows the instances of all services. It's safe for many goroutines.
type Picker struct {
	mutex     sync.Mutex
	clock     clock.Clock
	centre    string
	random    *rand.Rand
	instances map[string]*instance
	services  map[string][]*instance
	// good, poor and sums are used by one Pick after the other.
	good, poor []*instance
	sums       []float64
}

type instance struct {
	card    card.Card
	heardAt int64
	// sent is how many of our requests are on their way there, since the last
	// word of its load; open is how many have no answer yet.
	sent      int
	open      int
	avoidTill int64
}

// New returns a picker for a node in this data centre.
func New(c clock.Clock, centre string, seed uint64) *Picker {
	return &Picker{
		clock:     c,
		centre:    centre,
		random:    rand.New(rand.NewPCG(seed, seed)),
		instances: make(map[string]*instance),
		services:  make(map[string][]*instance),
	}
}

// Learn takes in the newest card of a node.
func (p *Picker) Learn(c card.Card) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n, ok := p.instances[c.Peers]
	if !ok {
		n = &instance{}
		p.instances[c.Peers] = n
		p.services[c.Service] = append(p.services[c.Service], n)
	} else if n.card.Service != c.Service {
		p.drop(n)
		p.services[c.Service] = append(p.services[c.Service], n)
	}
	if n.card.Incarnation != c.Incarnation {
		n.avoidTill = 0
	}
	n.card, n.heardAt, n.sent = c, p.clock.Now(), 0
}

func (p *Picker) drop(n *instance) {
	name := n.card.Service
	for i, other := range p.services[name] {
		if other == n {
			last := len(p.services[name]) - 1
			p.services[name][i] = p.services[name][last]
			p.services[name] = p.services[name][:last]
			return
		}
	}
}

// UpdateLoad takes in what a gate said of its load with an answer.
func (p *Picker) UpdateLoad(peer string, running, waiting int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if n, ok := p.instances[peer]; ok {
		n.card.Running, n.card.Waiting, n.sent = running, waiting, 0
		n.heardAt = p.clock.Now()
	}
}

// Pick returns the card of the instance of the service that shall run the next
// request, and notes it as sent there. Those that were tried are left out; ok is
// false if there's no other.
func (p *Picker) Pick(service string, tried map[string]bool) (c card.Card, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.clock.Now()
	good, poor := p.good[:0], p.poor[:0]
	for _, n := range p.services[service] {
		if n.card.Target == "" || n.card.Stopping {
			continue
		}
		switch {
		case tried[n.card.Peers]:
		case now-n.heardAt > silentMillis || now < n.avoidTill:
			poor = append(poor, n)
		default:
			good = append(good, n)
		}
	}
	p.good, p.poor = good, poor
	from := good
	if len(from) == 0 {
		from = poor
	}
	if len(from) == 0 {
		return card.Card{}, false
	}
	sums := p.weigh(from)
	best := p.draw(from, sums)
	for range draws - 1 {
		if other := p.draw(from, sums); p.millis(other) < p.millis(best) {
			best = other
		}
	}
	best.sent++
	best.open++
	return best.card, true
}

// Done notes the end of a request that was sent to a node. Reached is false if
// there was no connection to it, or it broke.
func (p *Picker) Done(peer string, reached bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n, ok := p.instances[peer]
	if !ok {
		return
	}
	n.open--
	n.sent = max(n.sent-1, 0)
	if !reached {
		n.avoidTill = p.clock.Now() + avoidMillis
	}
}

// weigh returns the sums of the weights up to each instance.
func (p *Picker) weigh(from []*instance) []float64 {
	sum := 0.0
	p.sums = p.sums[:0]
	for _, n := range from {
		sum += p.weight(n)
		p.sums = append(p.sums, sum)
	}
	return p.sums
}

// draw returns a random instance, by what each gets done.
func (p *Picker) draw(from []*instance, sums []float64) *instance {
	at := sort.SearchFloat64s(sums, p.random.Float64()*sums[len(sums)-1])
	return from[min(at, len(from)-1)]
}

func (p *Picker) weight(n *instance) float64 {
	slots := float64(max(n.card.Limit, 1))
	w := slots / n.runMillis()
	if n.card.Failing > 0 {
		w *= math.Pow(1-min(float64(n.card.Failing), mostFailing), failPower)
	}
	if n.card.Centre == p.centre && float64(n.load()) < roomyPart*slots {
		w *= nearFactor
	}
	return w
}

// millis estimates how long a request would take there.
func (p *Picker) millis(n *instance) float64 {
	slots := float64(max(n.card.Limit, 1))
	run := n.runMillis() * (1 + failWeight*float64(n.card.Failing))
	wait := max(float64(n.load()+1)/slots, 1)
	// Among instances with room the emptier one is better.
	m := run * (wait + 0.2*float64(n.load())/slots)
	if n.card.Centre != p.centre {
		m += farMillis
	}
	return m
}

func (n *instance) load() int {
	return max(n.card.Running+n.card.Waiting+n.sent, n.open)
}

func (n *instance) runMillis() float64 {
	if n.card.RunMillis <= 0 {
		return startRunMillis
	}
	return float64(n.card.RunMillis)
}

// Forget drops a node that's gone for good.
func (p *Picker) Forget(peer string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if n, ok := p.instances[peer]; ok {
		p.drop(n)
		delete(p.instances, peer)
	}
}
