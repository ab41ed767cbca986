package lines_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/lines"
)

// blockedWriter blocks until it's released.
type blockedWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	text    strings.Builder
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.text.Write(b)
}

func TestWriteNeverBlocksAndDroppedLinesAreReported(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	l := lines.New(out)
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx)
	}()
	const requests = 5000
	for i := range requests {
		_, err := fmt.Fprintf(l, `{"msg":"entry: request ended","ID":"%d"}`+"\n", i)
		assert.NilError(t, err)
	}
	_, err := fmt.Fprintln(l, `{"msg":"gate: target leaves"}`)
	assert.NilError(t, err)
	close(out.release)
	end()
	<-ended
	text := out.text.String()
	assert.Assert(t, strings.Contains(text, "gate: target leaves"), "lines of requests displaced those of other parts")
	assert.Assert(t, strings.Contains(text, "lines left out"))
	assert.Assert(t, strings.Count(text, "request ended") < 1000)
}

// Long lines fill the memory while the output is blocked.
func TestLongLinesFillTheMemory(t *testing.T) {
	l := lines.New(&blockedWriter{release: make(chan struct{})})
	line := []byte(`{"msg":"` + strings.Repeat("x", 64<<10) + `"}` + "\n")
	const count = 2000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range count {
		_, err := l.Write(line)
		assert.NilError(t, err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Check(t, after.HeapAlloc < before.HeapAlloc+8<<20, "%d KB are kept", (after.HeapAlloc-before.HeapAlloc)>>10)
	assert.Check(t, l.TakeDropped() > 0)
}
