package header_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/header"
)

// Forwarded headers contain no API key, no header of the project and none of the
// connection, including those that the Connection header names.
func TestForwardDropsPrivateAndConnectionHeaders(t *testing.T) {
	names := rapid.SampledFrom([]string{
		"Authorization", "Loom-Team", "loom-envelope", "LOOM-CALL", "Connection",
		"Transfer-Encoding", "Te", "Upgrade", "X-Private", "X-Public", "Idempotency-Key",
	})
	rapid.Check(t, func(t *rapid.T) {
		from := make(http.Header)
		for _, name := range rapid.SliceOf(names).Draw(t, "names") {
			from.Add(name, "1")
		}
		from.Add("Connection", "close, x-private")
		before := from.Clone()
		to := header.Forward(from)
		for name := range to {
			assert.Assert(t, !strings.HasPrefix(name, "Loom-"), name)
		}
		for _, name := range []string{"Authorization", "Connection", "Transfer-Encoding", "Te", "Upgrade", "X-Private"} {
			assert.Equal(t, len(to.Values(name)), 0, name)
		}
		for _, name := range []string{"X-Public", "Idempotency-Key"} {
			assert.DeepEqual(t, to.Values(name), from.Values(name))
		}
		assert.DeepEqual(t, from, before)
	})
}
