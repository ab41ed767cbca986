package forwrd

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Whatever the timing, exactly one holds: the confirmation byte is sent, or the
// attempt is known to have never run.
func TestConfirmationAndWithholdingExcludeEachOther(t *testing.T) {
	for range 2000 {
		h := newHeldBody(t.Context(), io.NopCloser(strings.NewReader("body")))
		h.release()
		var sent, withheld bool
		var goroutines sync.WaitGroup
		goroutines.Go(func() {
			n, err := h.Read(make([]byte, 1))
			sent = n == 1 && err == nil
		})
		goroutines.Go(func() { withheld = h.withhold() })
		goroutines.Wait()
		assert.Assert(t, sent != withheld, "confirmation sent: %v, withheld: %v", sent, withheld)
	}
}

func TestHeldBodyWaitsForItsAdmission(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	h := newHeldBody(ctx, io.NopCloser(strings.NewReader("body")))
	cancel()
	_, err := h.Read(make([]byte, 1))
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, h.withhold())

	h = newHeldBody(t.Context(), io.NopCloser(strings.NewReader("body")))
	h.release()
	content, err := io.ReadAll(h)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "Gbody")
	assert.Assert(t, !h.withhold())
}
