// Package lines writes log lines without ever holding up the one who logs.
//
// Lines wait in a bounded ring for the duty that writes them. Beyond a number
// of lines a second they're left out, and a line tells how many were.
package lines

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bergamotloom.example/ring"
)

// requestMark is in the lines of requests, of which there may be very many.
var requestMark = []byte(`"msg":"entry: `)

const (
	// noteEvery bounds how often a line tells how many were left out.
	noteEvery = time.Second
	// ringLines is how many lines may wait.
	ringLines = 2048
	// perSecond and atOnce bound the lines of requests, which together with
	// a line's length bounds a node's logs to about 60 KB a second.
	perSecond = 150
	atOnce    = 600
)

// Lines takes whole lines, as slog's handlers write them.
type Lines struct {
	to    io.Writer
	limit *rate.Limiter
	ring  *ring.Ring[[]byte]
	mutex sync.Mutex
	left  int64
	// notedAt is used by Run only.
	notedAt time.Time
}

// New returns lines that go to the writer once Run is called.
func New(to io.Writer) *Lines {
	return &Lines{to: to, limit: rate.NewLimiter(perSecond, atOnce), ring: ring.New[[]byte](ringLines)}
}

// Write takes one line. It never waits and never fails.
func (l *Lines) Write(line []byte) (int, error) {
	many := bytes.Contains(line, requestMark) && !l.limit.Allow()
	if many || !l.ring.Put(append([]byte(nil), line...)) {
		l.mutex.Lock()
		l.left++
		l.mutex.Unlock()
	}
	return len(line), nil
}

// LeftOut returns how many lines were left out since the last call.
func (l *Lines) LeftOut() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n := l.left
	l.left = 0
	return n
}

// Run writes lines until the context ends, and then what still waits.
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
	l.note(l.LeftOut())
}

// due returns how many lines were left out, if it's time to tell.
func (l *Lines) due() int64 {
	if time.Since(l.notedAt) < noteEvery {
		return 0
	}
	n := l.LeftOut()
	if n > 0 {
		l.notedAt = time.Now()
	}
	return n
}

// write passes a line on, after the number of those left out before it.
func (l *Lines) write(line []byte) {
	l.note(l.due())
	// There's nowhere to tell that the output is closed.
	_, _ = l.to.Write(line)
}

// note tells how many lines were left out, if any were.
func (l *Lines) note(count int64) {
	if count == 0 {
		return
	}
	note, err := json.Marshal(map[string]any{"level": "WARN", "msg": "log: lines left out", "Count": count})
	if err == nil {
		_, _ = l.to.Write(append(note, '\n'))
	}
}
