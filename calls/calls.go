// Package calls keeps the requests that run at a node's target, by the token
// with which the target names them.
package calls

import (
	"sync"

	"bergamotloom.example/call"
)

// Table is the table of running requests. It's safe for many goroutines.
type Table struct {
	mutex sync.RWMutex
	table map[string]*call.Call
}

// New returns an empty table.
func New() *Table {
	return &Table{table: make(map[string]*call.Call)}
}

// Add enters a call that begins to run.
func (c *Table) Add(a *call.Call) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.table[a.Token] = a
}

// Remove takes a call out that has ended. Its token is worth nothing then.
func (c *Table) Remove(a *call.Call) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.table, a.Token)
}

// Find returns the running call with this token.
func (c *Table) Find(token string) (*call.Call, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	a, ok := c.table[token]
	return a, ok
}

// All returns the running calls.
func (c *Table) All() []*call.Call {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	all := make([]*call.Call, 0, len(c.table))
	for _, a := range c.table {
		all = append(all, a)
	}
	return all
}
