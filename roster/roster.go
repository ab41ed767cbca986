// Package roster announces nodes in the platform's table and finds others
// there to join by.
//
// Each node has one small row, members/SHARD/ID, under one of shardCount
// shards. A running node never depends on it: it's read by those who join and
// by operators. So a row is renewed only once in renewMillis, and an outage of
// the table, however long, changes nothing for those who run. A row is a
// lease: in passing, the node that renews its own one removes those of its
// shard whose owner is gone and which nobody has renewed in the meantime.
//
// A joining node reads one random shard, and only in a small fleet, where a
// shard has next to no rows, it reads them all.
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
	keyPrefix  = "members/"
	shardCount = 256
	// enoughRows is how many rows of a shard are enough to join by.
	enoughRows = 4
	// renewMillis is the time between two renewals of a row, give or take
	// half of it, so that nodes that start together don't stay in step.
	renewMillis = 60 * 60 * 1000
	// retryMillis is the time after which a failed renewal is tried again,
	// give or take half of it.
	retryMillis = 2 * 60 * 1000
)

// Roster is one node's view of the rows. It isn't safe for concurrent use.
type Roster struct {
	table   table.Table
	clock   clock.Clock
	random  *rand.Rand
	token   func() string
	renewAt int64
	// seen holds the versions that the rows of the own shard had at the last
	// renewal, by their keys.
	seen map[string]int64
}

// New returns a roster over the table. Token returns a new name for each
// transaction.
func New(t table.Table, c clock.Clock, seed uint64, token func() string) *Roster {
	return &Roster{
		table:  t,
		clock:  c,
		random: rand.New(rand.NewPCG(seed, seed)),
		token:  token,
		seen:   make(map[string]int64),
	}
}

// Register writes the node's row and returns the records of others to join by.
// In this order, two nodes that join at once can't both miss the other. It's
// called again, by a node that hears from none of those it got, until it does.
func (r *Roster) Register(ctx context.Context, self member.Member) ([]member.Member, error) {
	if err := r.put(ctx, self); err != nil {
		return nil, err
	}
	r.renewAt = r.clock.Now() + r.about(renewMillis)
	rows, err := r.table.Scan(ctx, shardPrefix(r.random.Uint64N(shardCount)))
	if err != nil {
		return nil, errors.Wrap(err, "roster: reading a shard")
	}
	if len(rows) < enoughRows {
		rows, err = r.table.Scan(ctx, keyPrefix)
	}
	if err != nil {
		return nil, errors.Wrap(err, "roster: reading all rows")
	}
	return others(rows, self.ID), nil
}

// IsDue tells whether it's time to renew the row.
func (r *Roster) IsDue() bool {
	return r.clock.Now() >= r.renewAt
}

// Renew writes the node's row again and removes rows of its shard that nobody
// renewed since the last time and whose owners isAlive doesn't know. After an
// error it's due again a little later; nothing else follows from one.
func (r *Roster) Renew(ctx context.Context, self member.Member, isAlive func(id string) bool) error {
	r.renewAt = r.clock.Now() + r.about(retryMillis)
	if err := r.put(ctx, self); err != nil {
		return err
	}
	rows, err := r.table.Scan(ctx, shardPrefix(shardOf(self.ID)))
	if err != nil {
		return errors.Wrap(err, "roster: reading the own shard")
	}
	if err := r.clean(ctx, rows, isAlive); err != nil {
		return err
	}
	r.renewAt = r.clock.Now() + r.about(renewMillis)
	return nil
}

// Deregister removes the row of a node that stops.
func (r *Roster) Deregister(ctx context.Context, id string) error {
	w := write.Remove(keyOf(id), write.AnyVersion)
	_, err := r.table.Transact(ctx, r.token(), []write.Write{w})
	return errors.Wrap(err, "roster: removing the own row")
}

func (r *Roster) put(ctx context.Context, self member.Member) error {
	value, err := cbor.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "roster: encoding the own record")
	}
	w := write.Put(keyOf(self.ID), value, write.AnyVersion)
	_, err = r.table.Transact(ctx, r.token(), []write.Write{w})
	return errors.Wrap(err, "roster: writing the own row")
}

func (r *Roster) clean(ctx context.Context, rows []record.Record, isAlive func(string) bool) error {
	before := r.seen
	r.seen = make(map[string]int64, len(rows))
	for _, w := range rows {
		r.seen[w.Key] = w.Version
		isRenewed := before[w.Key] != w.Version
		if isRenewed || isAlive(idOf(w.Key)) {
			continue
		}
		remove := []write.Write{write.Remove(w.Key, w.Version)}
		if _, err := r.table.Transact(ctx, r.token(), remove); err != nil {
			return errors.Wrap(err, "roster: removing a row")
		}
	}
	return nil
}

// about returns a random time around the given one.
func (r *Roster) about(millis int64) int64 {
	return millis/2 + r.random.Int64N(millis)
}

// others decodes the rows. One that can't be decoded, or that stands under the
// wrong key, is passed over.
func others(rows []record.Record, self string) []member.Member {
	var all []member.Member
	for _, w := range rows {
		var m member.Member
		if cbor.Unmarshal(w.Value, &m) != nil || m.ID == self || keyOf(m.ID) != w.Key {
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
	return fmt.Sprintf("%s%02x/", keyPrefix, shard)
}

func keyOf(id string) string {
	return shardPrefix(shardOf(id)) + id
}

func idOf(key string) string {
	return key[strings.LastIndexByte(key, '/')+1:]
}
