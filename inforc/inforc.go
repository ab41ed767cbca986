// Package inforc keeps the configuration that is in force at a node.
//
// A node starts with the empty version 0. It offers the whole configuration
// that it reads from the table or a peer, and after that every change that
// reaches it, in any order and any number of times. Versions only grow: what
// isn't newer is ignored, and a change that is ahead of a gap waits. Missing
// names the gap, which the node fills from the table or a peer.
//
// While Missing names versions, or Current is version 0, the node knows that
// it isn't up to date.
package inforc

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"bergamotloom.example/change"
	"bergamotloom.example/config"
	"bergamotloom.example/loader"
)

const (
	// maxPending is how far ahead of the version in force a change may wait.
	maxPending = 256
	// maxRecent is how many of the latest changes are kept for peers.
	maxRecent = 64
)

// Store holds the version in force and the changes that wait for earlier ones.
// It's safe for many goroutines at once; Current never waits.
type Store struct {
	current atomic.Pointer[config.Config]

	mutex   sync.Mutex
	loader  *loader.Loader
	files   map[string][]byte
	pending map[int64]change.Change
	recent  map[int64]change.Change
	highest int64
}

// New returns a store with the empty version 0.
func New() *Store {
	s := &Store{
		loader:  loader.New(),
		files:   make(map[string][]byte),
		pending: make(map[int64]change.Change),
		recent:  make(map[int64]change.Change),
	}
	s.current.Store(config.New(0, nil, nil, nil))
	return s
}

// Current returns the configuration in force; it's never nil.
func (s *Store) Current() *config.Config {
	return s.current.Load()
}

// Offer takes a change that was accepted: a single one or a whole version. It
// comes into force at once if nothing before it is missing. An error means
// that an accepted change can't be loaded, which a node of an older release
// may meet; the version in force stays.
func (s *Store) Offer(c change.Change) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	inForce := s.Current().Version()
	if c.Version <= inForce {
		return nil
	}
	s.highest = max(s.highest, c.Version)
	if c.Whole {
		if err := s.install(c); err != nil {
			return err
		}
		return s.installPending()
	}
	if c.Version <= inForce+maxPending {
		s.pending[c.Version] = c
	}
	return s.installPending()
}

// Learn notes that a version was accepted, as a peer or the table says, whose
// change hasn't come yet.
func (s *Store) Learn(version int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.highest = max(s.highest, version)
}

// Missing returns the first gap: the versions from first to last are known to
// be accepted, but their changes haven't come. It returns false without a gap.
func (s *Store) Missing() (first, last int64, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first, last = s.Current().Version()+1, s.highest
	for v := range s.pending {
		last = min(last, v-1)
	}
	return first, last, first <= last
}

// Change returns one of the latest changes, for a peer that misses it.
func (s *Store) Change(version int64) (change.Change, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c, ok := s.recent[version]
	return c, ok
}

// Whole returns the version in force with all its files, for a peer that
// misses more than Change can give. Version 0 has nothing to give.
func (s *Store) Whole() change.Change {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return change.Change{
		Version:  s.Current().Version(),
		Whole:    true,
		Contents: maps.Clone(s.files),
	}
}

// installPending brings waiting changes into force as long as the next one is
// there.
func (s *Store) installPending() error {
	for {
		next, ok := s.pending[s.Current().Version()+1]
		if !ok {
			return nil
		}
		if err := s.install(next); err != nil {
			return err
		}
	}
}

// install brings a change into force and forgets what it supersedes.
func (s *Store) install(c change.Change) error {
	delete(s.pending, c.Version)
	files := c.Apply(s.files)
	loaded, problems := s.loader.Load(c.Version, files)
	if len(problems) > 0 {
		return errors.Errorf("configuration: version %d can't be loaded: %s", c.Version, problems[0])
	}
	s.files = files
	s.current.Store(loaded)
	maps.DeleteFunc(s.pending, func(v int64, _ change.Change) bool { return v <= c.Version })
	if !c.Whole {
		s.recent[c.Version] = c
	}
	maps.DeleteFunc(s.recent, func(v int64, _ change.Change) bool { return v <= c.Version-maxRecent })
	return nil
}
