// Package chord places nodes on a ring of hashed positions, as the Chord
// paper does, and tells a node's neighbours, its fingers, and the home of a
// key. Unlike in the paper every node knows the whole ring, so a look-up
// takes no messages.
package chord

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

type place struct {
	position uint64
	id       string
}

// Ring holds the places of nodes. The zero value is an empty ring. It isn't
// safe for concurrent use.
type Ring struct {
	places []place
}

// Len returns the number of nodes on the ring.
func (r *Ring) Len() int {
	return len(r.places)
}

// Add puts a node on the ring, if it isn't there yet.
func (r *Ring) Add(id string) {
	i, found := r.find(id)
	if found {
		return
	}
	p := place{position: position(id), id: id}
	r.places = slices.Insert(r.places, i, p)
}

// Remove takes a node off the ring.
func (r *Ring) Remove(id string) {
	i, found := r.find(id)
	if found {
		r.places = slices.Delete(r.places, i, i+1)
	}
}

// Contains tells whether the node is on the ring.
func (r *Ring) Contains(id string) bool {
	_, found := r.find(id)
	return found
}

// At returns the node at an index from 0 to Len()-1, in the ring's order.
func (r *Ring) At(i int) string {
	return r.places[i].id
}

// Successors returns up to n nodes that follow the node, nearest first, without
// the node itself, which needn't be on the ring.
func (r *Ring) Successors(id string, n int) []string {
	i, found := r.find(id)
	if found {
		i++
	}
	return r.collect(id, i, 1, n)
}

// Predecessors returns up to n nodes that go before the node, nearest first.
func (r *Ring) Predecessors(id string, n int) []string {
	i, _ := r.find(id)
	return r.collect(id, i-1, -1, n)
}

// Fingers returns the nodes that are about 1, 2, 4, 8 and so on places after
// the node. The paper measures by distance instead; by places every node is a
// finger of about equally many others, whatever the gaps between positions.
//
// An old finger is kept while it's within a quarter of its place, so that few
// fingers move when nodes come and go.
func (r *Ring) Fingers(id string, old []string) []string {
	var fingers []string
	at, found := r.find(id)
	if !found {
		return nil
	}
	for step := 1; step < len(r.places); step *= 2 {
		f := r.places[(at+step)%len(r.places)].id
		if k := len(fingers); k < len(old) && r.isNear(at, step, old[k]) {
			f = old[k]
		}
		fingers = append(fingers, f)
	}
	return fingers
}

// isNear tells whether the node is about so many places after an index.
func (r *Ring) isNear(from, step int, id string) bool {
	i, found := r.find(id)
	size := len(r.places)
	places := (i - from + size) % size
	return found && places >= step-step/4 && places <= step+step/4
}

// Owners returns the n nodes whose positions follow the key's: the first one is
// the key's home, the others take over from it in this order.
func (r *Ring) Owners(key string, n int) []string {
	return r.collect("", r.index(xxhash.Sum64String(key)), 1, n)
}

func (r *Ring) collect(except string, from, step, n int) []string {
	size := len(r.places)
	var ids []string
	for i := 0; i < size && len(ids) < n; i++ {
		at := ((from+i*step)%size + size) % size
		if id := r.places[at].id; id != except {
			ids = append(ids, id)
		}
	}
	return ids
}

// index returns the index of the first place at or after a position.
func (r *Ring) index(at uint64) int {
	return sort.Search(len(r.places), func(i int) bool {
		return r.places[i].position >= at
	})
}

func (r *Ring) find(id string) (int, bool) {
	at := position(id)
	i := r.index(at)
	for ; i < len(r.places) && r.places[i].position == at; i++ {
		if r.places[i].id >= id {
			break
		}
	}
	return i, i < len(r.places) && r.places[i].id == id
}

func position(id string) uint64 {
	return xxhash.Sum64String(id)
}
