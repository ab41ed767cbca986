// Package roster registers nodes in the platform's table, where joining nodes find
// others to join through.
//
// Each node has one small row, members/SHARD/ID, in one of shardCount shards. Only
// joining nodes and operators read it; a running node never depends on it. So a row
// is renewed only every renewIntervalMillis, and an outage of the table of any
// length doesn't affect running nodes. Rows that aren't renewed get removed: a node
// that renews its own row also removes those of its shard whose node isn't alive
// and which weren't renewed in the meantime.
//
// A joining node reads one random shard. If that has very few rows, the fleet is
// small and it reads all shards.
package roster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bergamotloom.example/clock"
	"bergamotloom.example/member"
	"bergamotloom.example/record"
	"bergamotloom.example/table"
	"bergamotloom.example/write"
)

const (
	memberKeyPrefix = "members/"
	shardCount      = 256
	// minRowsToJoin is how many rows of a shard are enough to join through.
	minRowsToJoin = 4
	// renewIntervalMillis is the time between two renewals of a row, plus or minus
	// up to half of it, so that nodes that start together renew at different times.
	renewIntervalMillis = 60 * 60 * 1000
	// renewRetryMillis is the delay before a failed renewal is retried, plus or
	// minus up to half of it.
	renewRetryMillis = 2 * 60 * 1000
)

// Roster registers one node and finds others. It isn't safe for concurrent use.
type Roster struct {
	table   table.Table
	clock   clock.Clock
	random  *rand.Rand
	token   func() string
	renewAt int64
	// lastVersions holds the versions that the rows of the node's own shard had
	// at the last renewal, by their keys.
	lastVersions map[string]int64
}

// New returns a Roster that uses the table. Token returns a new idempotency token
// for each transaction.
func New(t table.Table, c clock.Clock, seed uint64, token func() string) *Roster {
	return &Roster{
		table:        t,
		clock:        c,
		random:       rand.New(rand.NewPCG(seed, seed)),
		token:        token,
		lastVersions: make(map[string]int64),
	}
}

// Register writes the node's row and then returns the records of other nodes to
// join through. Because it writes first, of two nodes that join at the same time
// at least one finds the other. The caller repeats Register until it gets a message
// from one of them. It returns an error if the table fails.
func (r *Roster) Register(ctx context.Context, self member.Member) ([]member.Member, error) {
	if err := r.writeRow(ctx, self); err != nil {
		return nil, err
	}
	r.renewAt = r.clock.Now() + r.jitter(renewIntervalMillis)
	rows, err := r.table.Scan(ctx, shardPrefix(r.random.Uint64N(shardCount)))
	if err != nil {
		return nil, errors.Wrap(err, "roster: reading a shard")
	}
	if len(rows) < minRowsToJoin {
		rows, err = r.table.Scan(ctx, memberKeyPrefix)
	}
	if err != nil {
		return nil, errors.Wrap(err, "roster: reading all rows")
	}
	return decodeMembers(rows, self.ID), nil
}

// IsDue reports whether the row has to be renewed.
func (r *Roster) IsDue() bool {
	return r.clock.Now() >= r.renewAt
}

// Renew writes the node's row again and removes rows of its shard that weren't
// renewed since the last call and for whose nodes isAlive returns false. It returns
// an error if the table fails; then the renewal is due again after about
// renewRetryMillis (2 minutes).
func (r *Roster) Renew(ctx context.Context, self member.Member, isAlive func(id string) bool) error {
	r.renewAt = r.clock.Now() + r.jitter(renewRetryMillis)
	if err := r.writeRow(ctx, self); err != nil {
		return err
	}
	rows, err := r.table.Scan(ctx, shardPrefix(shardOf(self.ID)))
	if err != nil {
		return errors.Wrap(err, "roster: reading the node's own shard")
	}
	if err := r.removeStaleRows(ctx, rows, isAlive); err != nil {
		return err
	}
	r.renewAt = r.clock.Now() + r.jitter(renewIntervalMillis)
	return nil
}

// Deregister removes the row of a stopping node. It returns an error if the table
// fails.
func (r *Roster) Deregister(ctx context.Context, id string) error {
	w := write.Remove(keyOf(id), write.AnyVersion)
	_, err := r.table.Transact(ctx, r.token(), []write.Write{w})
	return errors.Wrap(err, "roster: removing the node's own row")
}

func (r *Roster) writeRow(ctx context.Context, self member.Member) error {
	value, err := cbor.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "roster: encoding the node's own record")
	}
	w := write.Put(keyOf(self.ID), value, write.AnyVersion)
	_, err = r.table.Transact(ctx, r.token(), []write.Write{w})
	return errors.Wrap(err, "roster: writing the node's own row")
}

func (r *Roster) removeStaleRows(ctx context.Context, rows []record.Record, isAlive func(string) bool) error {
	previous := r.lastVersions
	r.lastVersions = make(map[string]int64, len(rows))
	for _, row := range rows {
		r.lastVersions[row.Key] = row.Version
		isRenewed := previous[row.Key] != row.Version
		if isRenewed || isAlive(idOfKey(row.Key)) {
			continue
		}
		remove := []write.Write{write.Remove(row.Key, row.Version)}
		if _, err := r.table.Transact(ctx, r.token(), remove); err != nil {
			return errors.Wrap(err, "roster: removing a stale row")
		}
	}
	return nil
}

// jitter returns a random time from half of the given one to one and a half of it.
func (r *Roster) jitter(millis int64) int64 {
	return millis/2 + r.random.Int64N(millis)
}

// decodeMembers decodes the rows of other nodes. It skips malformed rows and those
// with a wrong key.
func decodeMembers(rows []record.Record, self string) []member.Member {
	var all []member.Member
	for _, row := range rows {
		var m member.Member
		if cbor.Unmarshal(row.Value, &m) != nil || m.ID == self || keyOf(m.ID) != row.Key {
			continue
		}
		all = append(all, m)
	}
	return all
}

func shardOf(id string) uint64 {
	return xxhash.Sum64String(id) % shardCount
}

func shardPrefix(shard uint64) string {
	return fmt.Sprintf("%s%02x/", memberKeyPrefix, shard)
}

func keyOf(id string) string {
	return shardPrefix(shardOf(id)) + id
}

func idOfKey(key string) string {
	return key[strings.LastIndexByte(key, '/')+1:]
}
