package lines_test

import (
	"context"
	"fmt"
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
