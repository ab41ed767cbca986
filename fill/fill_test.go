package fill_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"bergamotloom.example/fill"
)

const size = 100_003

func TestVerifyAcceptsOnlyTheWholeOwnBody(t *testing.T) {
	body, err := io.ReadAll(iotest.HalfReader(fill.New("a", size)))
	assert.NilError(t, err)
	n, own, err := fill.Verify(iotest.HalfReader(bytes.NewReader(body)), "a", size)
	assert.NilError(t, err)
	assert.Assert(t, own)
	assert.Equal(t, n, int64(size))

	wrong := map[string][]byte{
		"short":   body[:size-1],
		"long":    append(bytes.Clone(body), 0),
		"changed": append([]byte{body[0] + 1}, body[1:]...),
	}
	for name, b := range wrong {
		_, own, err = fill.Verify(bytes.NewReader(b), "a", size)
		assert.NilError(t, err)
		assert.Assert(t, !own, name)
	}
	_, own, _ = fill.Verify(bytes.NewReader(body), "b", size)
	assert.Assert(t, !own, "another identity")
}
