// Package quota enforces the rate and burst of every team across all nodes.
//
// Each team has one owner, a node that keeps the team's token bucket and grants
// tokens to the nodes where its requests arrive. Package lease decides which
// node is the owner, package bucket holds the owner's state and package tokens
// the state of a node that holds granted tokens. A request that finds a token
// on its node is admitted at once. Otherwise it waits a few milliseconds for a
// grant. For it, the owner revokes tokens that other nodes haven't used.
//
// A Quota is safe for concurrent use. The send function and the table functions
// are called with the lock held: they must only put their arguments into a
// queue. The done functions of TakeOrWait are called without the lock.
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
	// maxWaitMillis bounds the time that a request waits for the owner's response. It
	// usually comes within a few milliseconds; after the start of a fleet, nodes need
	// up to this long to find the owner. Once a request has waited in vain, others wait
	// for minWaitMillis until the owner responds.
	maxWaitMillis = 600
	minWaitMillis = 25
	// maxWaitingRequests bounds the requests of one team that wait at one node.
	maxWaitingRequests = 1024
	// unreachableRetryMillis is the retry hint when the owner can't be reached.
	unreachableRetryMillis = 200
	// searchIntervalMillis is the time between two searches for an owner.
	searchIntervalMillis = 150
	// maxUnansweredRequests is how many consecutive token requests get no
	// response before this node searches for another owner.
	maxUnansweredRequests = 2
	// ownerKeyPrefix is the key prefix of the rows that name the owners.
	ownerKeyPrefix = "homes/"
)

// Quota enforces the rate limits at one node. See the package comment.
type Quota struct {
	mu           sync.Mutex
	self         string
	incarnation  int64
	clock        clock.Clock
	random       *rand.Rand
	send         func(to string, message []byte)
	readRow      func(key string)
	writeRow     func(token string, w write.Write)
	teams        map[string]*teamState
	teamList     []*teamState
	members      map[string]member.Member
	peerIDs      []string
	selfMessages []message
	outcomes     []outcome
	malformed    int64
}

// outcome is a result that hasn't been passed to its done function yet.
type outcome struct {
	done             func(granted, exhausted bool, retryAfterMillis int64)
	granted          bool
	exhausted        bool
	retryAfterMillis int64
}

// waiter is a request that waits for a token until a deadline.
type waiter struct {
	done     func(granted, exhausted bool, retryAfterMillis int64)
	deadline int64
}

// teamState is the state of one team at this node.
type teamState struct {
	team   team.Team
	lease  *lease.Lease
	tokens *tokens.Tokens
	// epochID is the epoch of the held tokens, 0 for none.
	epochID int64
	// requestedOwner is the owner at the last check; a change of it ends the
	// pending token request.
	requestedOwner string
	waiters        []waiter
	// waitedInVain says that a request was refused as the owner didn't respond, and
	// that it hasn't responded since.
	waitedInVain bool
	// searchedAt is when an owner was last searched, in milliseconds.
	searchedAt int64
	// owner is the state as owner, nil if this node never was one.
	owner *ownerState
}

// New returns the Quota of the node self. It sends messages with send; the node
// passes incoming messages to Receive.
func New(self string, incarnation int64, c clock.Clock, seed uint64,
	send func(to string, message []byte),
) *Quota {
	return &Quota{
		self:        self,
		incarnation: incarnation,
		clock:       c,
		random:      rand.New(rand.NewPCG(seed, uint64(incarnation))),
		send:        send,
		readRow:     func(string) {},
		writeRow:    func(string, write.Write) {},
		teams:       make(map[string]*teamState),
	}
}

// SetTable sets the functions that start a read or a write of one row in the
// platform's table. They queue the work for a goroutine of the node, which must
// report each result through ReadDone or WriteDone, also when the table fails.
// Until SetTable is called no team has an owner. Call it before the first Tick.
func (q *Quota) SetTable(readRow func(key string), writeRow func(token string, w write.Write)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.readRow, q.writeRow = readRow, writeRow
}

// ReadDone takes the result of a read that SetTable's readRow started. An error
// means that the table didn't respond.
func (q *Quota) ReadDone(key string, r record.Record, found bool, err error) {
	q.mu.Lock()
	defer q.unlockAndDeliver()
	if s := q.teamOfKey(key); s != nil {
		s.lease.ReadDone(r, found, err != nil)
	}
}

// WriteDone takes the outcome of a write that SetTable's writeRow started. An
// error means that the outcome is unknown; the write is then repeated with the
// same token.
func (q *Quota) WriteDone(key, token string, applied bool, err error) {
	q.mu.Lock()
	defer q.unlockAndDeliver()
	if s := q.teamOfKey(key); s != nil {
		s.lease.WriteDone(token, applied, err != nil)
	}
}

// SetTeams applies the teams of a new configuration.
func (q *Quota) SetTeams(teams []team.Team) {
	q.mu.Lock()
	defer q.unlockAndDeliver()
	old := q.teams
	q.teams = make(map[string]*teamState, len(teams))
	q.teamList = q.teamList[:0]
	for _, t := range teams {
		s := old[t.Name]
		if s == nil {
			s = q.newTeamState(t.Name)
		}
		delete(old, t.Name)
		s.team = t
		if s.owner != nil {
			s.owner.bucket.SetTeam(t, q.clock.Now())
		}
		q.teams[t.Name] = s
		q.teamList = append(q.teamList, s)
	}
	for _, s := range old {
		q.refuseAll(s, false, unreachableRetryMillis)
	}
}

func (q *Quota) newTeamState(name string) *teamState {
	key := ownerKeyPrefix + name
	now := q.clock.Now()
	s := &teamState{searchedAt: now - searchIntervalMillis}
	// Token requests are numbered from the current time, so that the numbers
	// keep growing when a team is removed and added again.
	s.tokens = tokens.New(now, now)
	s.lease = lease.New(
		q.self, q.incarnation, name, q.clock,
		func(to string, body []byte) {
			q.post(to, message{Kind: kindLease, Team: name, Body: body})
		},
		func() { q.readRow(key) },
		func(token string, value []byte, ifVersion int64) {
			q.writeRow(token, write.Put(key, value, ifVersion))
		},
	)
	s.lease.SetFleet(q.members)
	return s
}

// SetMembers sets the nodes of the fleet, including this one. It's called on
// each change.
func (q *Quota) SetMembers(members []member.Member) {
	q.mu.Lock()
	defer q.unlockAndDeliver()
	q.members = make(map[string]member.Member, len(members))
	q.peerIDs = q.peerIDs[:0]
	for _, m := range members {
		q.members[m.ID] = m
		if m.ID != q.self && !m.Dead {
			q.peerIDs = append(q.peerIDs, m.ID)
		}
	}
	for _, s := range q.teamList {
		s.lease.SetFleet(q.members)
	}
}

// ConfirmDead records that an incarnation is confirmed dead: its address refused
// a connection, or a later incarnation responds there. Silence and timeouts are
// no proof and must not be reported here.
func (q *Quota) ConfirmDead(id string, incarnation int64) {
	q.mu.Lock()
	defer q.unlockAndDeliver()
	for _, s := range q.teamList {
		s.lease.ConfirmDead(id, incarnation)
		if s.owner != nil {
			s.owner.bucket.CloseAccount(id, incarnation+1)
		}
	}
}

// Take uses a token of the team if this node holds one. If not, mayWait reports
// whether TakeOrWait may get one; if neither is true, the request is refused.
func (q *Quota) Take(name string) (granted, mayWait bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.teams[name]
	if s == nil {
		return false, false
	}
	now := q.clock.Now()
	if s.tokens.Take(now) {
		s.tokens.CountArrival(now)
		return true, false
	}
	if _, exhausted := s.tokens.Exhausted(now); exhausted || len(s.waiters) >= maxWaitingRequests {
		s.tokens.CountArrival(now)
		return false, false
	}
	return false, true
}

// TakeOrWait uses a token of the team and calls done when the outcome is known:
// at once if this node holds a token or the owner has none to grant, otherwise
// within maxWaitMillis (600 ms) and one tick. Of a refusal, exhausted says that the
// team's tokens are used up, and not that the owner didn't respond in time. It
// contains after how many milliseconds to retry.
func (q *Quota) TakeOrWait(name string, done func(granted, exhausted bool, retryAfterMillis int64)) {
	q.mu.Lock()
	defer q.unlockAndDeliver()
	s := q.teams[name]
	if s == nil {
		q.outcomes = append(q.outcomes, outcome{done, false, false, unreachableRetryMillis})
		return
	}
	now := q.clock.Now()
	s.tokens.CountArrival(now)
	if s.tokens.Take(now) {
		q.outcomes = append(q.outcomes, outcome{done: done, granted: true})
		return
	}
	if retryMillis, exhausted := s.tokens.Exhausted(now); exhausted || len(s.waiters) >= maxWaitingRequests {
		q.outcomes = append(q.outcomes, outcome{done, false, exhausted, max(retryMillis, 1)})
		return
	}
	waitMillis := int64(maxWaitMillis)
	if s.waitedInVain {
		waitMillis = minWaitMillis
	}
	s.waiters = append(s.waiters, waiter{done, now + waitMillis})
	q.requestIfNeeded(s, now)
}

// Tick runs the periodic tasks that are due: it prefetches tokens, refuses requests
// that have waited long enough and sends heartbeats. Package rates calls it every
// 5 ms while a request waits at this node, every 40 ms otherwise.
func (q *Quota) Tick() {
	q.mu.Lock()
	defer q.unlockAndDeliver()
	now := q.clock.Now()
	for _, s := range q.teamList {
		s.tokens.Tick(now)
		s.lease.Tick()
		q.expire(s, now)
		q.requestIfNeeded(s, now)
		q.tickOwner(s, now)
	}
}

// Receive handles a message from another node's Quota. Malformed messages are
// counted and otherwise ignored.
func (q *Quota) Receive(from string, body []byte) {
	m, ok := decode(body)
	q.mu.Lock()
	defer q.unlockAndDeliver()
	if !ok {
		q.malformed++
		return
	}
	q.handle(from, m)
}

// MalformedMessages returns the number of malformed messages received.
func (q *Quota) MalformedMessages() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.malformed
}

// Owner returns the ID of the team's owner as far as this node knows, or an empty
// string if it knows none, and whether this node itself acts as owner.
func (q *Quota) Owner(name string) (id string, acting bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.teams[name]
	if s == nil {
		return "", false
	}
	return s.lease.Owner(), s.lease.Acting()
}

// Succession returns the IDs of the nodes that may become the team's owner, in
// order of succession, as far as this node knows.
func (q *Quota) Succession(name string) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.teams[name]
	if s == nil {
		return nil
	}
	return s.lease.Succession()
}

func (q *Quota) handle(from string, m message) {
	s := q.teams[m.Team]
	if s == nil {
		return
	}
	now := q.clock.Now()
	switch m.Kind {
	case kindRequest, kindReturn:
		q.handleTokenRequest(s, from, m, now)
	case kindGrant:
		q.handleGrant(s, m, now)
	case kindRevoke:
		q.handleRevoke(s, from, m, now)
	case kindLease:
		if !s.lease.Receive(from, m.Body) {
			q.malformed++
		}
	default:
		q.malformed++
	}
}

// post sends a message, or queues it if it's for this node itself.
func (q *Quota) post(to string, m message) {
	if to == q.self {
		q.selfMessages = append(q.selfMessages, m)
		return
	}
	q.send(to, encode(m))
}

// unlockAndDeliver handles the messages that the node sent to itself, unlocks,
// and then passes the outcomes to their done functions.
func (q *Quota) unlockAndDeliver() {
	for len(q.selfMessages) > 0 {
		m := q.selfMessages[0]
		q.selfMessages = q.selfMessages[1:]
		q.handle(q.self, m)
	}
	outcomes := q.outcomes
	q.outcomes = nil
	q.mu.Unlock()
	for _, c := range outcomes {
		c.done(c.granted, c.exhausted, c.retryAfterMillis)
	}
}

func (q *Quota) teamOfKey(key string) *teamState {
	if len(key) < len(ownerKeyPrefix) {
		return nil
	}
	return q.teams[key[len(ownerKeyPrefix):]]
}
