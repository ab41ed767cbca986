// Package ring is a bounded queue between background tasks. A full ring drops
// new values instead of growing, so that a slow consumer can't exhaust
// memory.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in-first-out queue of values, safe for many
// goroutines at both ends.
type Ring[T any] struct {
	values  chan T
	dropped atomic.Int64
}

// New returns an empty ring for up to capacity values.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{values: make(chan T, capacity)}
}

// Put adds a value without blocking. It returns false and counts the value as
// dropped if the ring is full.
func (r *Ring[T]) Put(v T) bool {
	select {
	case r.values <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Take waits for a value. It returns false if the context ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	var zero T
	select {
	case v := <-r.values:
		return v, true
	case <-ctx.Done():
		return zero, false
	}
}

// TakeUpTo removes and returns up to maxCount queued values, without blocking.
func (r *Ring[T]) TakeUpTo(maxCount int) []T {
	var all []T
	for len(all) < maxCount {
		select {
		case v := <-r.values:
			all = append(all, v)
		default:
			return all
		}
	}
	return all
}

// Dropped returns how many values were dropped because the ring was full.
func (r *Ring[T]) Dropped() int64 {
	return r.dropped.Load()
}

// Len returns the number of queued values.
func (r *Ring[T]) Len() int {
	return len(r.values)
}
