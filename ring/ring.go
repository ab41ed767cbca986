// Package ring is a bounded queue that joins two duties. A full ring refuses
// new values instead of growing, so that a slow duty never takes all memory.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in-first-out queue of values, safe for many
// goroutines at both ends.
type Ring[T any] struct {
	slots   chan T
	dropped atomic.Int64
}

// New returns an empty ring for up to size values.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, size)}
}

// Put adds a value and never waits. It returns false and counts the value as
// dropped if the ring is full.
func (r *Ring[T]) Put(v T) bool {
	select {
	case r.slots <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Take waits for a value. It returns false if the context ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	var none T
	select {
	case v := <-r.slots:
		return v, true
	case <-ctx.Done():
		return none, false
	}
}

// Drain returns what waits at present, up to most values, without waiting.
func (r *Ring[T]) Drain(most int) []T {
	var all []T
	for len(all) < most {
		select {
		case v := <-r.slots:
			all = append(all, v)
		default:
			return all
		}
	}
	return all
}

// Dropped returns how many values a full ring has refused.
func (r *Ring[T]) Dropped() int64 {
	return r.dropped.Load()
}

// Len returns how many values wait.
func (r *Ring[T]) Len() int {
	return len(r.slots)
}
