package bounds_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/bounds"
	"bergamotloom.example/level"
)

func draw(t *rapid.T, label string) bounds.Bounds {
	levels := rapid.IntRange(0, int(level.Full))
	return bounds.Bounds{
		Service:   rapid.StringMatching(`[a-z][a-z0-9_.-]{0,20}`).Draw(t, label+" service"),
		Threshold: level.Level(levels.Draw(t, label+" threshold")),
		TeamLevel: level.Level(levels.Draw(t, label+" team")),
	}
}

// Decode restores every encoded value, and Lower returns the lower bounds.
func TestBoundsEncodeAndLower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw(t, "first"), draw(t, "second")
		assert.Equal(t, bounds.Decode(a.Encode()), a)
		lower := a.Lower(b)
		assert.Assert(t, lower == a || lower == b)
		assert.Equal(t, lower.TeamLevel, min(a.TeamLevel, b.TeamLevel))
		assert.Equal(t, bounds.None().Lower(a).TeamLevel, a.TeamLevel)
	})
}

func TestMalformedBoundsRestrictNothing(t *testing.T) {
	for _, text := range []string{"", "12", "12 13", "x y z", "1 x stock"} {
		assert.Equal(t, bounds.Decode(text), bounds.None(), text)
	}
}
