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

// stuck is an output that takes nothing until it's released.
type stuck struct {
	release chan struct{}
	mutex   sync.Mutex
	text    strings.Builder
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.text.Write(b)
}

func TestLoggingNeverWaitsAndTellsWhatWasLeftOut(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
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
	assert.Assert(t, strings.Contains(text, "gate: target leaves"), "lines of other parts aren't crowded out")
	assert.Assert(t, strings.Contains(text, "lines left out"))
	assert.Assert(t, strings.Count(text, "request ended") < 1000)
}
