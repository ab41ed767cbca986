// Package calls holds the running calls of a node's target, by their tokens.
package calls

import (
	"sync"

	"bergamotloom.example/call"
)

// Table holds the running calls by token. It's safe for concurrent use.
type Table struct {
	mutex   sync.RWMutex
	byToken map[string]*call.Call
}

// New returns an empty table.
func New() *Table {
	return &Table{byToken: make(map[string]*call.Call)}
}

// Add adds a call that begins to run.
func (t *Table) Add(c *call.Call) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.byToken[c.Token] = c
}

// Remove removes a call that has ended. Its token isn't valid any more.
func (t *Table) Remove(c *call.Call) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.byToken, c.Token)
}

// Find returns the running call with this token.
func (t *Table) Find(token string) (*call.Call, bool) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	c, ok := t.byToken[token]
	return c, ok
}

// All returns the running calls.
func (t *Table) All() []*call.Call {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	all := make([]*call.Call, 0, len(t.byToken))
	for _, c := range t.byToken {
		all = append(all, c)
	}
	return all
}
