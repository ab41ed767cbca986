// Package quota holds every team to its rate and burst over all nodes together.
//
// Each team has one home, a node that keeps the team's token bucket and grants
// tokens to the nodes where its requests arrive (package lease says which node
// is the home, package bucket keeps the home's books, package purse the
// holder's). A request that finds a token at hand goes on at once. Else it
// waits some milliseconds for a grant. Tokens that lie unused at another node
// are recalled for it.
//
// A Quota locks itself; all methods may be called by many goroutines. The send
// function and the table functions are called with the lock held: they must
// only put their arguments into a queue. The done functions of Ask are called
// without the lock.
package quota

import (
	"math/rand/v2"
	"sync"

	"bergamotloom.example/clock"
	"bergamotloom.example/lease"
	"bergamotloom.example/member"
	"bergamotloom.example/record"
	"bergamotloom.example/team"
	"bergamotloom.example/tokens"
	"bergamotloom.example/write"
)

const (
	// waitMillis is the longest that a request waits for a token.
	waitMillis = 25
	// mostWaiting bounds the requests of one team that wait at one node.
	mostWaiting = 1024
	// refusedMillis is the retry hint when the home can't be reached.
	refusedMillis = 200
	// searchMillis is the time between two searches for a home.
	searchMillis = 150
	// lostAsks is how many asks in a row go unanswered before this node looks
	// whether another is home.
	lostAsks = 2
	// keyPrefix begins the keys of the rows that name the homes.
	keyPrefix = "homes/"
)

// Quota is one node's part of the rate limits. See the package's comment.
type Quota struct {
	mu          sync.Mutex
	self        string
	incarnation int64
	clock       clock.Clock
	random      *rand.Rand
	send        func(to string, message []byte)
	get         func(key string)
	put         func(token string, w write.Write)
	teams       map[string]*share
	order       []*share
	roster      map[string]member.Member
	ids         []string
	local       []message
	calls       []call
	bad         int64
}

// call is an outcome that a waiting request is still to be told.
type call struct {
	done    func(granted bool, retryAfterMillis int64)
	granted bool
	retry   int64
}

// waiter is a request that waits for a token.
type waiter struct {
	done func(granted bool, retryAfterMillis int64)
	till int64
}

// share is all that a node knows of one team.
type share struct {
	team       team.Team
	lease      *lease.Lease
	purse      *tokens.Tokens
	stamp      int64
	askedHome  string
	waiters    []waiter
	searchedAt int64
	books      *books
}

// New returns the part of the node self. Messages go out through send; the
// node hands those that come in to Receive.
func New(self string, incarnation int64, c clock.Clock, seed uint64,
	send func(to string, message []byte),
) *Quota {
	return &Quota{
		self:        self,
		incarnation: incarnation,
		clock:       c,
		random:      rand.New(rand.NewPCG(seed, uint64(incarnation))),
		send:        send,
		get:         func(string) {},
		put:         func(string, write.Write) {},
		teams:       make(map[string]*share),
	}
}

// SetTable gives the functions that start a read or a write of one row in the
// platform's table. They queue the work for a goroutine of the node, which
// answers through Got and Wrote, each time, also when the table fails. Before
// it's called no team has a home. Call it before the first Tick.
func (q *Quota) SetTable(get func(key string), put func(token string, w write.Write)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.get, q.put = get, put
}

// ReadDone takes the answer to a read that SetTable's get started. An error means
// that there was none.
func (q *Quota) ReadDone(key string, r record.Record, found bool, err error) {
	q.mu.Lock()
	defer q.leave()
	if s := q.teamOfKey(key); s != nil {
		s.lease.ReadDone(r, found, err != nil)
	}
}

// WriteDone takes the outcome of a write that SetTable's put started. An error
// means that it isn't known; the write is then repeated with the same token.
func (q *Quota) WriteDone(key, token string, applied bool, err error) {
	q.mu.Lock()
	defer q.leave()
	if s := q.teamOfKey(key); s != nil {
		s.lease.WriteDone(token, applied, err != nil)
	}
}

// SetTeams puts the teams of a new configuration in force.
func (q *Quota) SetTeams(teams []team.Team) {
	q.mu.Lock()
	defer q.leave()
	old := q.teams
	q.teams = make(map[string]*share, len(teams))
	q.order = q.order[:0]
	for _, t := range teams {
		s := old[t.Name]
		if s == nil {
			s = q.newShare(t.Name)
		}
		delete(old, t.Name)
		s.team = t
		if s.books != nil {
			s.books.bucket.SetTeam(t, q.clock.Now())
		}
		q.teams[t.Name] = s
		q.order = append(q.order, s)
	}
	for _, s := range old {
		q.refuseAll(s, refusedMillis)
	}
}

func (q *Quota) newShare(name string) *share {
	key := keyPrefix + name
	now := q.clock.Now()
	s := &share{searchedAt: now - searchMillis}
	// Asks are numbered by the clock, so that a team that's removed and comes
	// back goes on in number.
	s.purse = tokens.New(now, now)
	s.lease = lease.New(
		q.self, q.incarnation, name, q.clock,
		func(to string, body []byte) {
			q.post(to, message{Kind: kindLease, Team: name, Body: body})
		},
		func() { q.get(key) },
		func(token string, value []byte, ifVersion int64) {
			q.put(token, write.Put(key, value, ifVersion))
		},
	)
	s.lease.SetMembers(q.roster)
	return s
}

// SetMembers tells which nodes there are, this one among them. It's called on
// each change.
func (q *Quota) SetMembers(members []member.Member) {
	q.mu.Lock()
	defer q.leave()
	q.roster = make(map[string]member.Member, len(members))
	q.ids = q.ids[:0]
	for _, m := range members {
		q.roster[m.ID] = m
		if m.ID != q.self && !m.Dead {
			q.ids = append(q.ids, m.ID)
		}
	}
	for _, s := range q.order {
		s.lease.SetMembers(q.roster)
	}
}

// ConfirmDead tells that an incarnation is proven dead: its address refused a
// connection, or a later incarnation answers there. Silence and timeouts are
// no proof and must not be reported here.
func (q *Quota) ConfirmDead(id string, incarnation int64) {
	q.mu.Lock()
	defer q.leave()
	for _, s := range q.order {
		s.lease.ConfirmDead(id, incarnation)
		if s.books != nil {
			s.books.bucket.CloseAccount(id, incarnation+1)
		}
	}
}

// Take uses a token of the team if one is at hand. If not, waiting tells
// whether it's worth to Ask; with neither, the request is refused.
func (q *Quota) Take(name string) (granted, waiting bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.teams[name]
	if s == nil {
		return false, false
	}
	now := q.clock.Now()
	if s.purse.Take(now) {
		s.purse.CountRequest(now)
		return true, false
	}
	if _, short := s.purse.Exhausted(now); short || len(s.waiters) >= mostWaiting {
		s.purse.CountRequest(now)
		return false, false
	}
	return false, true
}

// TakeOrWait uses a token of the team and calls done when the outcome is known: at
// once if a token is at hand or there is none to be had, else within
// waitMillis (25 ms) and one tick. A refusal says after how many milliseconds
// a retry makes sense.
func (q *Quota) TakeOrWait(name string, done func(granted bool, retryAfterMillis int64)) {
	q.mu.Lock()
	defer q.leave()
	s := q.teams[name]
	if s == nil {
		q.calls = append(q.calls, call{done, false, refusedMillis})
		return
	}
	now := q.clock.Now()
	s.purse.CountRequest(now)
	if s.purse.Take(now) {
		q.calls = append(q.calls, call{done, true, 0})
		return
	}
	if left, short := s.purse.Exhausted(now); short || len(s.waiters) >= mostWaiting {
		q.calls = append(q.calls, call{done, false, max(left, 1)})
		return
	}
	s.waiters = append(s.waiters, waiter{done, now + waitMillis})
	q.fetch(s, now)
}

// Tick does what is due: asks ahead, answers that waited long enough,
// heartbeats. The node calls it about every 5 ms.
func (q *Quota) Tick() {
	q.mu.Lock()
	defer q.leave()
	now := q.clock.Now()
	for _, s := range q.order {
		s.purse.Tick(now)
		s.lease.Tick()
		q.expire(s, now)
		q.fetch(s, now)
		q.keepBooks(s, now)
	}
}

// Receive takes a message that another node's Quota sent. Bytes that make no
// sense are ignored and counted.
func (q *Quota) Receive(from string, body []byte) {
	m, ok := decode(body)
	q.mu.Lock()
	defer q.leave()
	if !ok {
		q.bad++
		return
	}
	q.handle(from, m)
}

// MalformedMessages returns the number of messages that made no sense.
func (q *Quota) MalformedMessages() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bad
}

// Owner returns the ID of the node that this one takes for the team's home, and
// whether it's this node and acting.
func (q *Quota) Owner(name string) (id string, acting bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.teams[name]
	if s == nil {
		return "", false
	}
	return s.lease.Owner(), s.lease.Acting()
}

// Succession returns the IDs of the nodes that may be the team's home, in
// their order, as far as this node knows.
func (q *Quota) Succession(name string) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.teams[name]
	if s == nil {
		return nil
	}
	return s.lease.Members()
}

func (q *Quota) handle(from string, m message) {
	s := q.teams[m.Team]
	if s == nil {
		return
	}
	now := q.clock.Now()
	switch m.Kind {
	case kindAsk, kindReturn:
		q.handleAsk(s, from, m, now)
	case kindGrant:
		q.handleGrant(s, m, now)
	case kindRecall:
		q.handleRecall(s, from, m, now)
	case kindLease:
		if !s.lease.Receive(from, m.Body) {
			q.bad++
		}
	default:
		q.bad++
	}
}

// post sends a message, or keeps it for this node itself.
func (q *Quota) post(to string, m message) {
	if to == q.self {
		q.local = append(q.local, m)
		return
	}
	q.send(to, encode(m))
}

// leave handles the messages that the node sent itself, unlocks, and then
// calls the outcomes.
func (q *Quota) leave() {
	for len(q.local) > 0 {
		m := q.local[0]
		q.local = q.local[1:]
		q.handle(q.self, m)
	}
	calls := q.calls
	q.calls = nil
	q.mu.Unlock()
	for _, c := range calls {
		c.done(c.granted, c.retry)
	}
}

func (q *Quota) teamOfKey(key string) *share {
	if len(key) < len(keyPrefix) {
		return nil
	}
	return q.teams[key[len(keyPrefix):]]
}
