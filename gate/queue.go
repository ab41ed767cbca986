package gate

import "bergamotloom.example/ticket"

// ticketQueue is a binary heap of tickets by class, finish tag and deadline.
type ticketQueue struct {
	heap []*ticket.Ticket
}

// newTicketQueue preallocates the max queue length of a target whose run time
// is queueMillis, so that admission doesn't allocate.
func newTicketQueue(slots int) ticketQueue {
	return ticketQueue{heap: make([]*ticket.Ticket, 0, childQueueFactor*criticalQueueFactor*max(slots, minQueueLength))}
}

// precedes reports whether t, with the given finish tag, starts before other.
// The tag is a parameter because t may not be queued yet.
func precedes(t *ticket.Ticket, finishTag float64, other *ticket.Ticket) bool {
	if a, b := queueClass(t), queueClass(other); a != b {
		return a < b
	}
	if finishTag != other.FinishTag {
		return finishTag < other.FinishTag
	}
	return t.DeadlineMillis < other.DeadlineMillis
}

func (q *ticketQueue) len() int { return len(q.heap) }

func (q *ticketQueue) at(i int) *ticket.Ticket { return q.heap[i] }

func (q *ticketQueue) push(t *ticket.Ticket) {
	t.HeapIndex = len(q.heap)
	t.Enqueue()
	q.heap = append(q.heap, t)
	q.up(t.HeapIndex)
}

func (q *ticketQueue) pop() *ticket.Ticket {
	t := q.heap[0]
	q.remove(t)
	return t
}

func (q *ticketQueue) remove(t *ticket.Ticket) {
	i, last := t.HeapIndex, len(q.heap)-1
	q.swap(i, last)
	q.heap[last] = nil
	q.heap = q.heap[:last]
	if i < last {
		q.down(i)
		q.up(i)
	}
}

// last returns the ticket that would start last. It's among the leaves.
func (q *ticketQueue) last() *ticket.Ticket {
	var last *ticket.Ticket
	for _, t := range q.heap[len(q.heap)/2:] {
		if last == nil || precedes(last, last.FinishTag, t) {
			last = t
		}
	}
	return last
}

func (q *ticketQueue) less(i, j int) bool {
	return precedes(q.heap[i], q.heap[i].FinishTag, q.heap[j])
}

func (q *ticketQueue) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.heap[i].HeapIndex = i
	q.heap[j].HeapIndex = j
}

func (q *ticketQueue) up(i int) {
	for i > 0 && q.less(i, (i-1)/2) {
		q.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (q *ticketQueue) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.heap) {
			return
		}
		if child+1 < len(q.heap) && q.less(child+1, child) {
			child++
		}
		if !q.less(child, i) {
			return
		}
		q.swap(i, child)
		i = child
	}
}
