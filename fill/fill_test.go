package fill_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"bergamotloom.example/fill"
)

const sizeBytes = 100_003

func TestVerifyAcceptsOnlyCompleteMatchingBody(t *testing.T) {
	body, err := io.ReadAll(iotest.HalfReader(fill.New("a", sizeBytes)))
	assert.NilError(t, err)
	n, matches, err := fill.Verify(iotest.HalfReader(bytes.NewReader(body)), "a", sizeBytes)
	assert.NilError(t, err)
	assert.Assert(t, matches)
	assert.Equal(t, n, int64(sizeBytes))

	wrong := map[string][]byte{
		"short":   body[:sizeBytes-1],
		"long":    append(bytes.Clone(body), 0),
		"changed": append([]byte{body[0] + 1}, body[1:]...),
	}
	for name, b := range wrong {
		_, matches, err = fill.Verify(bytes.NewReader(b), "a", sizeBytes)
		assert.NilError(t, err)
		assert.Assert(t, !matches, name)
	}
	_, matches, _ = fill.Verify(bytes.NewReader(body), "b", sizeBytes)
	assert.Assert(t, !matches, "another identity")
}
