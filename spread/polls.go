package spread

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"
)

// RunPolls polls the version in the table until the context ends.
func (s *Spreader) RunPolls(ctx context.Context) {
	s.poll(ctx)
	t := time.NewTicker(pollIntervalMillis * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if s.shouldPoll() {
				s.poll(ctx)
			}
		}
	}
}

// shouldPoll reports whether this node reads the table now. A node that gets no
// messages from peers reads it each time, others at random. A missing change is
// requested from peers and isn't a reason to read the table, because thousands of
// nodes might do that at once.
func (s *Spreader) shouldPoll() bool {
	if s.clock.Since(s.gossip.LastSeenMillis()) > staleMillis/2 {
		return true
	}
	probability := float64(pollsPerSecond) * pollIntervalMillis / 1000 / float64(len(s.gossip.Members()))
	return rand.Float64() < probability
}

// poll reads the version from the table. If it's new, poll reads and publishes the
// missing changes.
func (s *Spreader) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutMillis*time.Millisecond)
	defer cancel()
	s.tableReads.Inc(1)
	version, err := s.table.Version(ctx)
	if err != nil {
		s.failedReads.Inc(1)
		return
	}
	s.tableReadAt.Store(s.clock.Now())
	if version <= s.store.Current().Version() {
		return
	}
	if !s.readChanges(ctx, version) {
		s.readWhole(ctx)
	}
	// Even if nothing could be read, the other nodes learn that there is a newer
	// version.
	s.store.Learn(version)
	s.gossip.Publish(versionKey, version, nil)
}

// readChanges reads and publishes the changes up to the version one by one, and
// reports whether the version is now in force.
func (s *Spreader) readChanges(ctx context.Context, version int64) bool {
	first := s.store.Current().Version() + 1
	if first == 1 || version-first >= maxChanges {
		return false
	}
	for v := first; v <= version; v++ {
		c, ok, err := s.table.Change(ctx, v)
		if err != nil || !ok {
			return false
		}
		encoded, err := c.Encode()
		if err != nil {
			panic("spread: encoding a change: " + err.Error())
		}
		s.gossip.PublishFor(changeKeyPrefix+strconv.FormatInt(v, 10), v, encoded, changeLifetimeMillis)
		s.apply(c)
	}
	return s.store.Current().Version() >= version
}

// readWhole reads the whole configuration, after a start or if the missing changes
// couldn't be read one by one.
func (s *Spreader) readWhole(ctx context.Context) {
	whole, err := s.table.Whole(ctx)
	if err != nil {
		s.failedReads.Inc(1)
		return
	}
	s.apply(whole)
}
