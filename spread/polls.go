package spread

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"
)

// RunPolls reads the version in the table now and then, until the context
// ends.
func (s *Spreader) RunPolls(ctx context.Context) {
	s.poll(ctx)
	t := time.NewTicker(pollMillis * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if s.drawPoll() {
				s.poll(ctx)
			}
		}
	}
}

// drawPoll tells whether this node reads the table now. A node that hears
// from no peer reads it each time. One that misses a change asks peers: if all
// of them read the table then, it would be thousands at once.
func (s *Spreader) drawPoll() bool {
	if s.clock.Since(s.gossip.LastSeenMillis()) > staleMillis/2 {
		return true
	}
	part := float64(pollsPerSecond) * pollMillis / 1000 / float64(len(s.gossip.Members()))
	return rand.Float64() < part
}

// poll reads the version, and the files if it's new, and spreads the news.
func (s *Spreader) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readMillis*time.Millisecond)
	defer cancel()
	s.polls.Inc(1)
	version, err := s.table.Version(ctx)
	if err != nil {
		s.failed.Inc(1)
		return
	}
	s.heardAt.Store(s.clock.Now())
	if version <= s.store.Current().Version() {
		return
	}
	if !s.readChanges(ctx, version) {
		s.readWhole(ctx)
	}
	// Also when nothing could be read, the others learn that there is more.
	s.store.Learn(version)
	s.gossip.Publish(versionKey, version, nil)
}

// readChanges reads the changes up to the version one by one and spreads them,
// and tells whether the version came into force that way.
func (s *Spreader) readChanges(ctx context.Context, version int64) bool {
	first := s.store.Current().Version() + 1
	if first == 1 || version-first >= changesMost {
		return false
	}
	for v := first; v <= version; v++ {
		c, ok, err := s.table.Change(ctx, v)
		if err != nil || !ok {
			return false
		}
		encoded, err := c.Encode()
		if err != nil {
			panic("spread: a change has no CBOR form: " + err.Error())
		}
		s.gossip.PublishFor(changeKeys+strconv.FormatInt(v, 10), v, encoded, changeLifeMillis)
		s.offer(c)
	}
	return s.store.Current().Version() >= version
}

// readWhole reads the whole configuration, after a start or a long gap.
func (s *Spreader) readWhole(ctx context.Context) {
	whole, err := s.table.Whole(ctx)
	if err != nil {
		s.failed.Inc(1)
		return
	}
	s.offer(whole)
}
