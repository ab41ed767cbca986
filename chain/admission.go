package chain

import (
	"bergamotloom.example/card"
	"bergamotloom.example/divide"
	"bergamotloom.example/rank"
	"bergamotloom.example/screen"
)

// admission decides which callers' requests an entry admits. The nodes' own
// mechanism (thresholds) learns the cost of a request. The two that it's compared
// with (equalShares, prices) are given the slot time that a request of each kind
// takes at each service, and prices also its worth, which a node can't know in
// advance.
type admission interface {
	// learn takes in the status card of a node.
	learn(c card.Card)
	// tick runs every tickMillis.
	tick()
	// admits reports whether a request is admitted.
	admits(k kind) bool
}

// serviceStatus is the sum over the instances of a service: the number of slots,
// which is also the slot time that they have in a millisecond, and the run time
// of the queued requests.
type serviceStatus struct {
	slots, queuedMillis float64
}

// staleMillis is the age from which a status card no longer counts, as at the
// nodes.
const staleMillis = 1000

// latestCards holds the last status card of each node.
type latestCards struct {
	world *world
	cards map[string]receivedCard
}

type receivedCard struct {
	card           card.Card
	receivedMillis float64
}

func newLatestCards(w *world) latestCards {
	return latestCards{world: w, cards: make(map[string]receivedCard)}
}

func (r latestCards) learn(c card.Card) { r.cards[c.Peers] = receivedCard{c, r.world.loop.Now()} }

// byService sums up the cards of each service, in the order of services.
func (r latestCards) byService() []serviceStatus {
	all := make([]serviceStatus, len(services()))
	for _, n := range r.world.nodes {
		// Sums in the order of a map would differ from run to run.
		received, ok := r.cards[n.id]
		if !ok || r.world.loop.Now()-received.receivedMillis > staleMillis {
			continue
		}
		status := &all[n.service]
		status.slots += float64(received.card.Limit)
		status.queuedMillis += float64(received.card.Waiting) * float64(received.card.RunMillis)
	}
	return all
}

const (
	// maxBalanceMillis bounds the balance of an entry to its share of this time.
	maxBalanceMillis = 500
	// usedFraction is the fraction of a service's slot time that is handed out.
	usedFraction = 0.96
)

// minBalanceFraction is the fraction of the maximal balance that must be left to
// admit a rank, so that some remains for the more important ones.
var minBalanceFraction = [rank.Count]float64{rank.Critical: 0, rank.Normal: 0.25, rank.Sheddable: 0.5}

// equalShares gives every entry the same share of the slot time of each service.
// An entry admits a request if its balance of every service that the request uses
// is high enough for the rank.
type equalShares struct {
	latestCards
	// balance is the slot time left to spend at each service, maxBalance the most
	// that an entry saves up, both in milliseconds.
	balance, maxBalance []float64
}

func newEqualShares(n *node) admission {
	return &equalShares{latestCards: newLatestCards(n.world), balance: make([]float64, len(services())), maxBalance: make([]float64, len(services()))}
}

func (s *equalShares) tick() {
	entries := float64(max(len(s.cards), 1))
	for i, r := range s.byService() {
		share := usedFraction * r.slots / entries
		s.maxBalance[i] = share * maxBalanceMillis
		s.balance[i] = min(s.balance[i]+share*tickMillis, s.maxBalance[i])
	}
}

// admits may leave a negative balance, as a share can be less than what one
// request takes.
func (s *equalShares) admits(k kind) bool {
	slotMillis := k.slotMillis()
	for i, millis := range slotMillis {
		if millis > 0 && s.balance[i] < minBalanceFraction[k.rank]*s.maxBalance[i] {
			return false
		}
	}
	for i, millis := range slotMillis {
		s.balance[i] -= millis
	}
	return true
}

const (
	// priceStep is the fraction by which a tick raises the price of a slot if its
	// queue is twice as long as wanted, and lowers it if the queue is empty. From 3
	// times the wanted length on, the price rises by twice that.
	priceStep = 0.05
	// wantedQueueMillis is the run time of the requests queued for each slot at
	// which the price stays.
	wantedQueueMillis = 40
	// minPrice is the price of a service with headroom, in worth per millisecond.
	minPrice = 1e-5
	// priceBand is the relative width of the band around the price in which a kind
	// is admitted with a probability. Without it, either all or none of the requests
	// of a kind would be admitted.
	priceBand = 0.3
)

// prices sets a price for the slot time of each service, which rises while the
// queue there is too long. An entry admits requests that are worth their price.
type prices struct {
	latestCards
	price []float64
}

func newPrices(n *node) admission {
	p := &prices{latestCards: newLatestCards(n.world)}
	for range services() {
		p.price = append(p.price, minPrice)
	}
	return p
}

func (p *prices) tick() {
	for i, r := range p.byService() {
		queuedMillis := r.queuedMillis / max(r.slots, 1)
		p.price[i] = max(p.price[i]*(1+priceStep*min(max((queuedMillis-wantedQueueMillis)/wantedQueueMillis, -1), 2)), minPrice)
	}
}

func (p *prices) admits(k kind) bool {
	cost := 0.0
	for i, millis := range k.slotMillis() {
		cost += millis * p.price[i]
	}
	fraction := ((k.worth/cost)-1)/priceBand + 0.5
	return fraction >= 1 || p.world.random.Float64() < fraction
}

// thresholds is the nodes' own mechanism: it follows the thresholds that the
// gates report. Callers have no teams here.
type thresholds struct {
	screen *screen.Screen
	divide *divide.Divide
}

func newThresholds(n *node) admission {
	c := n.world.loop.Clock()
	d := divide.New(c, n.world.random.Uint64())
	return thresholds{screen.New(c, d), d}
}

func (t thresholds) learn(c card.Card) {
	t.screen.Learn(c)
	t.divide.Learn(c)
}

func (t thresholds) tick() { t.divide.Tick(tickMillis) }

func (t thresholds) admits(k kind) bool { return t.screen.Admits(k.name, "", k.grade()) }

// admitAll admits every request.
type admitAll struct{}

func newAdmitAll(*node) admission { return admitAll{} }

func (admitAll) learn(card.Card) {}

func (admitAll) tick() {}

func (admitAll) admits(kind) bool { return true }
