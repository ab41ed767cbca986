package forwrd

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Whatever the moment, either the confirmation leaves or the attempt is known
// to have never run, and never both.
func TestConfirmationAndSealExcludeEachOther(t *testing.T) {
	for range 2000 {
		h := newHeldBody(t.Context(), io.NopCloser(strings.NewReader("body")))
		h.release()
		var left, kept bool
		var both sync.WaitGroup
		both.Go(func() {
			n, err := h.Read(make([]byte, 1))
			left = n == 1 && err == nil
		})
		both.Go(func() { kept = h.seal() })
		both.Wait()
		assert.Assert(t, left != kept, "left %v, sealed %v", left, kept)
	}
}

func TestHeldBodyWaitsForItsAdmission(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	h := newHeldBody(ctx, io.NopCloser(strings.NewReader("body")))
	cancel()
	_, err := h.Read(make([]byte, 1))
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, h.seal())

	h = newHeldBody(t.Context(), io.NopCloser(strings.NewReader("body")))
	h.release()
	all, err := io.ReadAll(h)
	assert.NilError(t, err)
	assert.Equal(t, string(all), "Gbody")
	assert.Assert(t, !h.seal())
}
