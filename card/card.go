// Package card holds the status card, which a node sends to all others many
// times a second.
package card

import (
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bergamotloom.example/cutoff"
	"bergamotloom.example/evstat"
	"bergamotloom.example/fact"
	"bergamotloom.example/grade"
)

// Card is the status of one node at one moment. Of two cards of a node, the one
// with the higher incarnation, then the higher sequence, is the newer one.
type Card struct {
	// Peers is the address (host:port) for messages between nodes, and the node's
	// identity.
	Peers string `cbor:"1,keyasint"`
	// Incarnation is higher after each start of the node. It's the wall clock's
	// time at the start; package mesh raises it if the clock was set back.
	// Sequence grows with each message.
	Incarnation int64 `cbor:"2,keyasint"`
	Sequence    int64 `cbor:"3,keyasint"`
	// Centre is the node's data centre.
	Centre string `cbor:"4,keyasint"`
	// Hops is the address (host:port) for requests from other nodes.
	Hops string `cbor:"5,keyasint"`
	// Service and Target name what runs beside the node. Target is empty while it
	// isn't known or doesn't accept requests.
	Service string `cbor:"6,keyasint"`
	Target  string `cbor:"7,keyasint,omitempty"`
	// Stopping says that the node itself is about to stop.
	Stopping bool `cbor:"8,keyasint,omitempty"`
	// Limit is the number of slots of the target. Running and Waiting are the
	// requests that run there and that wait at the gate.
	Limit   int `cbor:"9,keyasint,omitempty"`
	Running int `cbor:"10,keyasint,omitempty"`
	Waiting int `cbor:"11,keyasint,omitempty"`
	// RunMillis is the average run time at the target.
	RunMillis float32 `cbor:"12,keyasint,omitempty"`
	// Failing is the fraction of the runs that fail or that the target refuses.
	Failing float32 `cbor:"13,keyasint,omitempty"`
	// Cutoff is the admission threshold for the root routes in RootFractions: how
	// many grades are admitted, most important first (4.5: grades 0 to 3 and half
	// of grade 4). MinFractionScale (0 to 1) scales the minimum fractions of the
	// grades, which are admitted regardless of the threshold.
	Cutoff           float32 `cbor:"14,keyasint,omitempty"`
	MinFractionScale float32 `cbor:"20,keyasint,omitempty"`
	// RootFractions holds the root routes whose requests use the target, by the
	// hashes of their names, with the fraction (0 to 1) of the target's run time
	// that each uses.
	RootFractions map[uint32]float32 `cbor:"15,keyasint,omitempty"`
	// Version is that of the configuration in force.
	Version int64 `cbor:"16,keyasint,omitempty"`
	// Admitted counts the requests that the node has admitted since its start, by
	// the hashes of the teams' names.
	Admitted map[uint32]int64 `cbor:"17,keyasint,omitempty"`
	// DemandRates holds the rates at which requests of the teams arrive at the
	// node, in requests per second, by the hashes of the teams' names.
	DemandRates map[uint32]float32 `cbor:"18,keyasint,omitempty"`
	// LeftTarget is the ID of the last target beside the node that announced its
	// leaving.
	LeftTarget string `cbor:"19,keyasint,omitempty"`
	// CountedMillis is the length of time that Admitted covers, in milliseconds.
	CountedMillis int64 `cbor:"22,keyasint,omitempty"`
	// RateLimit is the rate limit that the target names, in requests per second
	// from all nodes together; 0 if it names none. RateLimitAgeMillis is how long
	// ago it last named it. RateLimitKnown is false while the node can't tell, as
	// the target hasn't responded since the node's start.
	RateLimit          float32 `cbor:"23,keyasint,omitempty"`
	RateLimitAgeMillis int64   `cbor:"24,keyasint,omitempty"`
	RateLimitKnown     bool    `cbor:"25,keyasint,omitempty"`
	// TargetStartMillis and LeftStartMillis are the start times of Target and
	// LeftTarget by their wall clocks, in milliseconds since 1970; 0 if unknown.
	TargetStartMillis int64 `cbor:"26,keyasint,omitempty"`
	LeftStartMillis   int64 `cbor:"27,keyasint,omitempty"`
	// LeftRequestMillis is when the last leave request of LeftTarget came, in
	// milliseconds since 1970. It's equal to LeftStartMillis if that isn't known.
	LeftRequestMillis int64 `cbor:"32,keyasint,omitempty"`
	// Refused holds the requests that the node refuses because they crashed
	// targets, by fingerprint, with how many milliseconds longer.
	Refused map[string]int64 `cbor:"28,keyasint,omitempty"`
	// StoreEra is how often the store was restored from a copy, as the node knows.
	StoreEra int64 `cbor:"29,keyasint,omitempty"`
	// StoreLost says that the node couldn't reach the store when it last tried.
	StoreLost bool `cbor:"30,keyasint,omitempty"`
	// StoreVersion is the position in the history of the store up to which the node knows
	// the configuration, in the era StoreEra, and StoreAgeMillis how long ago the store had
	// none newer than Version. Both are 0 if the node can't tell.
	StoreVersion   int64 `cbor:"33,keyasint,omitempty"`
	StoreAgeMillis int64 `cbor:"34,keyasint,omitempty"`
	// Relays is how often the card was relayed in the data centre of the node that has it.
	Relays int `cbor:"31,keyasint,omitempty"`
	// ColdRate is what the target can take in its cold start, in requests per second from
	// all nodes together; 0 if it isn't cold or needs no bound.
	ColdRate float32 `cbor:"35,keyasint,omitempty"`
	// Slowness is the current run time at the target in relation to RunMillis, as the target
	// reports it (2 means twice as long); 0 if it doesn't.
	Slowness float32 `cbor:"37,keyasint,omitempty"`
	// Evacuations are the data centres that are or were under evacuation, as the node knows.
	// EvacuationsKnown says that the node has learned of all of them, so that StoreVersion
	// holds for them too. It's sent only where evacuations have a bound, and tells a node
	// from one of an earlier build, which knows nothing of them.
	Evacuations      []evstat.Status `cbor:"36,keyasint,omitempty"`
	EvacuationsKnown bool            `cbor:"38,keyasint,omitempty"`
	// SpillFractions holds, for services by the hashes of their names, the fraction (0 to 1)
	// of the node's requests that it sends to other data centres, if any.
	SpillFractions map[uint32]float32 `cbor:"39,keyasint,omitempty"`
	// TeamRates and RootRates hold the rates at which callers' requests arrive at the node,
	// in requests per second, admitted or not, by grade and by the hashes of the names of
	// teams and of root routes. AdmittedRates holds those of the admitted requests by root.
	// They're in some cards only; TeamRates only while a grade is admitted in part.
	TeamRates     map[grade.Grade]map[uint32]float32 `cbor:"40,keyasint,omitempty"`
	RootRates     map[grade.Grade]map[uint32]float32 `cbor:"41,keyasint,omitempty"`
	AdmittedRates map[uint32]float32                 `cbor:"42,keyasint,omitempty"`
	// Facts are the facts that the node publishes at present.
	Facts []fact.Fact `cbor:"21,keyasint,omitempty"`
}

// Newer reports whether the card is newer than another one of the same node.
func (c Card) Newer(other Card) bool {
	if c.Incarnation != other.Incarnation {
		return c.Incarnation > other.Incarnation
	}
	return c.Sequence > other.Sequence
}

// Threshold returns the admission threshold and the scale of the minimum
// fractions.
func (c Card) Threshold() cutoff.Cutoff {
	return cutoff.Cutoff{Grades: float64(c.Cutoff), MinFractionScale: float64(c.MinFractionScale)}
}

// Relayed returns the card as it's sent along by another node, without what is true only
// at the moment when its own node sends it.
func (c Card) Relayed() Card {
	c.Relays++
	c.StoreVersion, c.StoreAgeMillis = 0, 0
	return c
}

const millisPerSecond = 1000

// MaxRate returns the lowest bound on the rate of requests to the target, in requests per
// second: its rate limit, or what it can take in its cold start; 0 if there's none.
func (c Card) MaxRate() float64 {
	if c.ColdRate > 0 && (c.RateLimit <= 0 || c.ColdRate < c.RateLimit) {
		return float64(c.ColdRate)
	}
	return float64(c.RateLimit)
}

// UsableSlots returns how many slots of the target can be in use on average: all
// of them, or fewer if there's a bound on its rate. RunMillis is the run time of its
// requests.
func (c Card) UsableSlots(runMillis float64) float64 {
	slots := float64(max(c.Limit, 1))
	rate := c.MaxRate()
	if rate <= 0 {
		return slots
	}
	return min(slots, rate*runMillis/millisPerSecond)
}

// Limited reports whether the target can't run all the requests that need it, so
// that only some of them are admitted, or whether there's a bound on its rate.
func (c Card) Limited() bool {
	return c.Target != "" && (!c.Threshold().IsFull() || c.MaxRate() > 0)
}

// Hash returns the hash by which a card refers to a name.
func Hash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// Encode encodes cards as one message.
func Encode(cards []Card) ([]byte, error) {
	message, err := cbor.Marshal(cards)
	return message, errors.Wrap(err, "card")
}

// Decode decodes a message of cards. It drops cards with impossible values, which
// would spoil sums over all nodes. It fails if the message is malformed.
func Decode(message []byte) ([]Card, error) {
	var cards []Card
	if err := cbor.Unmarshal(message, &cards); err != nil {
		return nil, errors.Wrap(err, "card")
	}
	return slices.DeleteFunc(cards, func(c Card) bool { return !c.isPossible() }), nil
}

// isPossible reports whether all numbers of the card are finite and none is
// negative where a sound node never sends one.
func (c Card) isPossible() bool {
	rates := slices.Concat([]float32{c.RunMillis, c.Failing, c.Cutoff, c.MinFractionScale, c.RateLimit, c.ColdRate, c.Slowness},
		slices.Collect(maps.Values(c.RootFractions)), slices.Collect(maps.Values(c.DemandRates)), slices.Collect(maps.Values(c.AdmittedRates)),
		slices.Collect(maps.Values(c.SpillFractions)))
	for _, byGrade := range []map[grade.Grade]map[uint32]float32{c.TeamRates, c.RootRates} {
		for _, r := range byGrade {
			rates = slices.AppendSeq(rates, maps.Values(r))
		}
	}
	counts := slices.Concat([]int64{int64(c.Limit), int64(c.Running), int64(c.Waiting), c.RateLimitAgeMillis, c.CountedMillis, c.StoreEra, c.StoreVersion, c.StoreAgeMillis},
		slices.Collect(maps.Values(c.Admitted)))
	if slices.ContainsFunc(c.Evacuations, func(s evstat.Status) bool { return !s.IsPossible() }) {
		return false
	}
	return !slices.ContainsFunc(rates, func(r float32) bool { return !(r >= 0) || r > math.MaxFloat32 }) &&
		!slices.ContainsFunc(counts, func(n int64) bool { return n < 0 })
}
