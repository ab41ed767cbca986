package envel_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/envel"
)

// Decode takes any text without a panic, and what it accepts keeps the bounds
// and comes through another encoding unchanged.
func FuzzDecode(f *testing.F) {
	f.Add("")
	f.Add("not base64!")
	f.Add("oA")
	f.Add(envel.Envelope{Request: "r", Depth: 1, TimeoutMillis: 1}.Encode())
	f.Add(envel.Envelope{Request: "r", Depth: envel.MaxDepth + 1, TimeoutMillis: 1}.Encode())
	f.Add(envel.Envelope{Request: "r", Depth: 1, TimeoutMillis: 1, Allowance: envel.MaxAllowance + 1}.Encode())
	f.Fuzz(func(t *testing.T, value string) {
		e, err := envel.Decode(value)
		if err != nil {
			return
		}
		assert.Assert(t, e.Depth >= 1 && e.Depth <= envel.MaxDepth)
		assert.Assert(t, e.Allowance >= 0 && e.Allowance <= envel.MaxAllowance)
		assert.Assert(t, e.TimeoutMillis > 0)
		text := e.Encode()
		again, err := envel.Decode(text)
		assert.NilError(t, err)
		// Compared as text, because a weight may be NaN.
		assert.Equal(t, again.Encode(), text)
	})
}
