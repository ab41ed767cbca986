// Package chord places nodes on a ring of hashed positions, as in the Chord
// paper, and returns a node's neighbours, its fingers, and the owners of a key.
// Unlike in the paper every node knows the whole ring, so a lookup needs no
// messages.
package chord

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

type node struct {
	position uint64
	id       string
}

// Ring is a ring of nodes, sorted by position. The zero value is an empty ring. It
// isn't safe for concurrent use.
type Ring struct {
	nodes []node
}

// Len returns the number of nodes on the ring.
func (r *Ring) Len() int {
	return len(r.nodes)
}

// Add adds a node to the ring, if it isn't there yet.
func (r *Ring) Add(id string) {
	i, found := r.find(id)
	if found {
		return
	}
	n := node{position: position(id), id: id}
	r.nodes = slices.Insert(r.nodes, i, n)
}

// Remove removes a node from the ring, if it's there.
func (r *Ring) Remove(id string) {
	i, found := r.find(id)
	if found {
		r.nodes = slices.Delete(r.nodes, i, i+1)
	}
}

// Contains reports whether the node is on the ring.
func (r *Ring) Contains(id string) bool {
	_, found := r.find(id)
	return found
}

// At returns the node at an index from 0 to Len()-1, in order of position.
func (r *Ring) At(i int) string {
	return r.nodes[i].id
}

// Successors returns up to n nodes that follow the node on the ring, nearest first,
// without the node itself. The node needn't be on the ring.
func (r *Ring) Successors(id string, n int) []string {
	i, found := r.find(id)
	if found {
		i++
	}
	return r.collect(id, i, 1, n)
}

// Predecessors returns up to n nodes that precede the node on the ring, nearest first,
// without the node itself. The node needn't be on the ring.
func (r *Ring) Predecessors(id string, n int) []string {
	i, _ := r.find(id)
	return r.collect(id, i-1, -1, n)
}

// Fingers returns the nodes about 1, 2, 4, 8 and so on nodes after the node. The
// paper uses the distance between positions instead; counting nodes makes every
// node a finger of about equally many others, however uneven the positions are.
//
// A previous finger is kept while its offset differs from the power of two by at most a
// quarter, so that few fingers change when nodes join and leave. The result is nil if
// the node isn't on the ring.
func (r *Ring) Fingers(id string, previous []string) []string {
	var fingers []string
	start, found := r.find(id)
	if !found {
		return nil
	}
	for offset := 1; offset < len(r.nodes); offset *= 2 {
		f := r.nodes[(start+offset)%len(r.nodes)].id
		if k := len(fingers); k < len(previous) && r.isNear(start, offset, previous[k]) {
			f = previous[k]
		}
		fingers = append(fingers, f)
	}
	return fingers
}

// isNear reports whether the node is about offset nodes after an index.
func (r *Ring) isNear(start, offset int, id string) bool {
	i, found := r.find(id)
	size := len(r.nodes)
	distance := (i - start + size) % size
	return found && distance >= offset-offset/4 && distance <= offset+offset/4
}

// NodesForKey returns the n nodes whose positions follow the key's: the first one is
// responsible for the key, the others replace it in this order.
func (r *Ring) NodesForKey(key string, n int) []string {
	return r.collect("", r.index(xxhash.Sum64String(key)), 1, n)
}

// collect returns up to n nodes from the index start on in steps of step, without the
// node except, "" for none.
func (r *Ring) collect(except string, start, step, n int) []string {
	size := len(r.nodes)
	var ids []string
	for i := 0; i < size && len(ids) < n; i++ {
		at := ((start+i*step)%size + size) % size
		if id := r.nodes[at].id; id != except {
			ids = append(ids, id)
		}
	}
	return ids
}

// index returns the index of the first node at or after a position.
func (r *Ring) index(at uint64) int {
	return sort.Search(len(r.nodes), func(i int) bool {
		return r.nodes[i].position >= at
	})
}

func (r *Ring) find(id string) (int, bool) {
	at := position(id)
	i := r.index(at)
	for ; i < len(r.nodes) && r.nodes[i].position == at; i++ {
		if r.nodes[i].id >= id {
			break
		}
	}
	return i, i < len(r.nodes) && r.nodes[i].id == id
}

func position(id string) uint64 {
	return xxhash.Sum64String(id)
}
