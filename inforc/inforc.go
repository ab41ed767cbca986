// Package inforc keeps the configuration that is in force at a node.
//
// A node starts with the empty version 0. It offers the whole configuration
// that it reads from the table or a peer, and after that every change that it
// receives, in any order and any number of times. Versions only increase: a
// change that isn't newer is ignored, and one that follows a gap waits. Missing
// returns the gap, which the node fills from the table or a peer.
//
// While Missing returns a gap, or Current is version 0, the node isn't up to
// date.
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
	// maxPending is how many versions a waiting change may be ahead of the
	// version in force. Later ones are dropped, and Missing returns their
	// versions.
	maxPending = 256
	// maxRecent is the number of latest changes that are kept for peers.
	maxRecent = 64
)

// Store holds the version in force and the changes that wait for earlier ones.
// It's safe for many goroutines; Current never blocks.
type Store struct {
	current atomic.Pointer[config.Config]

	mutex   sync.Mutex
	loader  *loader.Loader
	files   map[string][]byte
	pending map[int64]change.Change
	recent  map[int64]change.Change
	// highest is the highest version known to be accepted.
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

// Offer adds an accepted change: a single one or a whole version. It comes into
// force at once if no earlier change is missing. An error means that an
// accepted change can't be loaded, which may happen at a node of an older
// release; the version in force stays.
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

// Learn records that a version was accepted, according to a peer or the table,
// although its change hasn't been received yet.
func (s *Store) Learn(version int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.highest = max(s.highest, version)
}

// Missing returns the first gap: the versions from first to last are known to
// be accepted, but their changes haven't been received. It returns false if
// there's no gap.
func (s *Store) Missing() (first, last int64, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first, last = s.Current().Version()+1, s.highest
	for v := range s.pending {
		last = min(last, v-1)
	}
	return first, last, first <= last
}

// Change returns one of the latest changes, for a peer that hasn't received it.
func (s *Store) Change(version int64) (change.Change, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c, ok := s.recent[version]
	return c, ok
}

// Whole returns the version in force with all its files, for a peer that has
// missed changes which Change no longer returns. Version 0 has no files.
func (s *Store) Whole() change.Change {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return change.Change{
		Version:  s.Current().Version(),
		Whole:    true,
		Contents: maps.Clone(s.files),
	}
}

// installPending brings waiting changes into force until the next one is
// missing.
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

// install brings a change into force and drops the changes that it supersedes.
// On an error it drops the change, and Missing returns its version again.
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
