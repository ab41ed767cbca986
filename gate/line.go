package gate

import "bergamotloom.example/ticket"

// line is the queue: a binary heap of tickets by class, fair tag and deadline.
type line struct {
	heap []*ticket.Ticket
}

func newLine(slots int) line {
	return line{heap: make([]*ticket.Ticket, 0, childQueues*criticalQueues*max(slots, leastQueue))}
}

// before tells whether a ticket with this tag goes before another one.
func before(t *ticket.Ticket, tag float64, other *ticket.Ticket) bool {
	if a, b := class(t), class(other); a != b {
		return a < b
	}
	if tag != other.FinishTag {
		return tag < other.FinishTag
	}
	return t.DeadlineMillis < other.DeadlineMillis
}

func (l *line) len() int { return len(l.heap) }

func (l *line) at(i int) *ticket.Ticket { return l.heap[i] }

func (l *line) push(t *ticket.Ticket) {
	t.HeapIndex = len(l.heap)
	t.Queue()
	l.heap = append(l.heap, t)
	l.up(t.HeapIndex)
}

func (l *line) pop() *ticket.Ticket {
	t := l.heap[0]
	l.remove(t)
	return t
}

func (l *line) remove(t *ticket.Ticket) {
	i, last := t.HeapIndex, len(l.heap)-1
	l.swap(i, last)
	l.heap[last] = nil
	l.heap = l.heap[:last]
	if i < last {
		l.down(i)
		l.up(i)
	}
}

// worst returns the ticket that would go last. It's among the leaves.
func (l *line) worst() *ticket.Ticket {
	var worst *ticket.Ticket
	for _, t := range l.heap[len(l.heap)/2:] {
		if worst == nil || before(worst, worst.FinishTag, t) {
			worst = t
		}
	}
	return worst
}

func (l *line) less(i, j int) bool {
	return before(l.heap[i], l.heap[i].FinishTag, l.heap[j])
}

func (l *line) swap(i, j int) {
	l.heap[i], l.heap[j] = l.heap[j], l.heap[i]
	l.heap[i].HeapIndex = i
	l.heap[j].HeapIndex = j
}

func (l *line) up(i int) {
	for i > 0 && l.less(i, (i-1)/2) {
		l.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (l *line) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(l.heap) {
			return
		}
		if child+1 < len(l.heap) && l.less(child+1, child) {
			child++
		}
		if !l.less(child, i) {
			return
		}
		l.swap(i, child)
		i = child
	}
}
