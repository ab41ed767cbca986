package envel_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/envel"
)

// Decode never panics. Whatever it accepts is within the limits and survives
// another round trip unchanged.
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
		encoded := e.Encode()
		decoded, err := envel.Decode(encoded)
		assert.NilError(t, err)
		// Compared in encoded form, because a weight may be NaN.
		assert.Equal(t, decoded.Encode(), encoded)
	})
}
