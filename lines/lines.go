// Package lines writes log lines without ever blocking the goroutine that logs.
//
// Lines wait in a ring buffer of limited size for the background task that
// writes them. Lines are dropped while the buffer is full, and those of
// requests also beyond a rate limit; a log line tells how many were dropped.
package lines

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bergamotloom.example/ring"
)

// requestPattern occurs in the lines of requests. There may be very many of
// these, so they're rate-limited.
var requestPattern = []byte(`"msg":"entry: `)

const (
	// reportInterval is the min time between two lines that report dropped
	// lines.
	reportInterval = time.Second
	// ringLines and maxWaitingBytes bound the waiting lines: their number and their
	// length in total.
	ringLines       = 2048
	maxWaitingBytes = 4 << 20
	// linesPerSecond and burstLines limit the lines of requests. Together with
	// the length of a line that limits a node's logs to about 60 KB a second.
	linesPerSecond = 150
	burstLines     = 600
)

// Lines is an io.Writer; each call of Write must pass one whole line, as slog's
// handlers do.
type Lines struct {
	to    io.Writer
	limit *rate.Limiter
	ring  *ring.Ring[[]byte]
	// waitingBytes is the length in total of the lines in the ring.
	waitingBytes atomic.Int64
	mutex        sync.Mutex
	dropped      int64
	// reportedAt is only used by Run.
	reportedAt time.Time
}

// New returns a buffer of lines, which Run writes to the writer.
func New(to io.Writer) *Lines {
	return &Lines{to: to, limit: rate.NewLimiter(linesPerSecond, burstLines), ring: ring.New[[]byte](ringLines)}
}

// Write queues or drops one line. It never blocks and never fails.
func (l *Lines) Write(line []byte) (int, error) {
	overRate := bytes.Contains(line, requestPattern) && !l.limit.Allow()
	if overRate || !l.put(line) {
		l.mutex.Lock()
		l.dropped++
		l.mutex.Unlock()
	}
	return len(line), nil
}

// put puts a copy of the line into the ring, and reports whether there is room for it.
func (l *Lines) put(line []byte) bool {
	size := int64(len(line))
	if l.waitingBytes.Add(size) <= maxWaitingBytes && l.ring.Put(append([]byte(nil), line...)) {
		return true
	}
	l.waitingBytes.Add(-size)
	return false
}

// TakeDropped returns the number of lines dropped since the last call.
func (l *Lines) TakeDropped() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n := l.dropped
	l.dropped = 0
	return n
}

// Run writes lines until the context ends, and then those that still wait.
func (l *Lines) Run(ctx context.Context) {
	for {
		line, ok := l.ring.Take(ctx)
		if !ok {
			break
		}
		l.write(line)
	}
	for _, line := range l.ring.TakeUpTo(ringLines) {
		l.write(line)
	}
	l.report(l.TakeDropped())
}

// takeUnreported returns the number of dropped lines and resets it, if the next
// report is due.
func (l *Lines) takeUnreported() int64 {
	if time.Since(l.reportedAt) < reportInterval {
		return 0
	}
	n := l.TakeDropped()
	if n > 0 {
		l.reportedAt = time.Now()
	}
	return n
}

// write writes a line, after a report of the lines dropped before it.
func (l *Lines) write(line []byte) {
	l.waitingBytes.Add(-int64(len(line)))
	l.report(l.takeUnreported())
	// A write error can't be reported, as this is the output of the log.
	_, _ = l.to.Write(line)
}

// report writes a line with the number of dropped lines, if there are any.
func (l *Lines) report(count int64) {
	if count == 0 {
		return
	}
	line, err := json.Marshal(map[string]any{"level": "WARN", "msg": "log: lines left out", "Count": count})
	if err == nil {
		_, _ = l.to.Write(append(line, '\n'))
	}
}
