package chain

import (
	"bergamotloom.example/card"
	"bergamotloom.example/rank"
	"bergamotloom.example/screen"
)

// admission decides at one entry which callers' requests to let in. The nodes'
// own way (thresholds) learns what a request causes; the two that it's compared
// to (shares, prices) are told what a request of each kind takes of each
// service, and prices what it's worth, which a node can't know in advance.
type admission interface {
	// learn takes the card of a node.
	learn(c card.Card)
	// tick is called ten times a second.
	tick()
	// admits decides on one request.
	admits(k kind) bool
}

// room is what the instances of one service get done in a millisecond, in
// milliseconds of slots, and how long the work is that waits there.
type room struct {
	slots, line float64
}

// staleMillis is how old a node's word may be that counts, as at the nodes.
const staleMillis = 1000

// rooms holds the last word of each node.
type rooms struct {
	world *world
	words map[string]word
}

type word struct {
	card    card.Card
	heardAt float64
}

func newRooms(w *world) rooms { return rooms{world: w, words: make(map[string]word)} }

func (r rooms) learn(c card.Card) { r.words[c.Peers] = word{c, r.world.loop.Now()} }

// byService sums up the nodes' words, in the order of services.
func (r rooms) byService() []room {
	all := make([]room, len(services()))
	for _, n := range r.world.nodes {
		// By the nodes' order: sums in the order of a map would differ by run.
		told, ok := r.words[n.id]
		if !ok || r.world.loop.Now()-told.heardAt > staleMillis {
			continue
		}
		at := &all[n.service]
		at.slots += float64(told.card.Limit)
		at.line += float64(told.card.Waiting) * float64(told.card.RunMillis)
	}
	return all
}

const (
	// shareMillis is for how long an entry saves up its share.
	shareMillis = 500
	// usedPart of what a service can do is handed out.
	usedPart = 0.96
)

// savedFor is the part of the saved share that must be there for a rank, so
// that the more important ones find some.
var savedFor = [rank.Count]float64{rank.Critical: 0, rank.Normal: 0.25, rank.Sheddable: 0.5}

// shares hands the slot time of each service out to the entries in equal
// parts; an entry lets a request in if its part holds what the request takes.
type shares struct {
	rooms
	// saved is the slot time that may be spent of each service, most how much
	// an entry saves up.
	saved, most []float64
}

func newShares(n *node) admission {
	return &shares{rooms: newRooms(n.world), saved: make([]float64, len(services())), most: make([]float64, len(services()))}
}

func (s *shares) tick() {
	entries := float64(max(len(s.words), 1))
	for i, r := range s.byService() {
		part := usedPart * r.slots / entries
		s.most[i] = part * shareMillis
		s.saved[i] = min(s.saved[i]+part*tickMillis, s.most[i])
	}
}

// admits may leave a debt, as a share may be less than what one request takes.
func (s *shares) admits(k kind) bool {
	uses := k.uses()
	for i, use := range uses {
		if use > 0 && s.saved[i] < savedFor[k.rank]*s.most[i] {
			return false
		}
	}
	for i, use := range uses {
		s.saved[i] -= use
	}
	return true
}

const (
	// priceStep is by how much a tick raises the price of a slot whose line is
	// wantedLine longer than wanted, or lowers it without a line.
	priceStep  = 0.05
	wantedLine = 40
	// leastPrice is that of a service with room, in worth a millisecond.
	leastPrice = 1e-5
	// priceBand is within which part around its price a kind is let in by
	// part, so that equal requests aren't let in all or none.
	priceBand = 0.3
)

// prices asks a price for the slot time of each service, which rises while a
// line is too long there; an entry lets in what is worth its price.
type prices struct {
	rooms
	price []float64
}

func newPrices(n *node) admission {
	p := &prices{rooms: newRooms(n.world)}
	for range services() {
		p.price = append(p.price, leastPrice)
	}
	return p
}

func (p *prices) tick() {
	for i, r := range p.byService() {
		line := r.line / max(r.slots, 1)
		p.price[i] = max(p.price[i]*(1+priceStep*min(max((line-wantedLine)/wantedLine, -1), 2)), leastPrice)
	}
}

func (p *prices) admits(k kind) bool {
	asked := 0.0
	for i, use := range k.uses() {
		asked += use * p.price[i]
	}
	part := ((k.worth/asked)-1)/priceBand + 0.5
	return part >= 1 || p.world.random.Float64() < part
}

// thresholds is the nodes' own decision, by what the gates tell.
type thresholds struct {
	*screen.Screen
}

func newThresholds(n *node) admission {
	return thresholds{screen.New(n.world.loop.Clock(), n.world.random.Uint64())}
}

func (t thresholds) learn(c card.Card) { t.Learn(c) }

func (t thresholds) tick() {}

func (t thresholds) admits(k kind) bool { return t.Admits(k.name, k.grade()) }

// everyone lets all requests in.
type everyone struct{}

func newEveryone(*node) admission { return everyone{} }

func (everyone) learn(card.Card) {}

func (everyone) tick() {}

func (everyone) admits(kind) bool { return true }
