package trip_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/grade"
	"bergamotloom.example/trip"
)

func TestEncodedTripsDecodeUnchanged(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		text := rapid.String()
		want := trip.Trip{
			Root:            text.Draw(r, "root"),
			Grade:           grade.Grade(rapid.IntRange(0, grade.Count-1).Draw(r, "grade")),
			Service:         text.Draw(r, "service"),
			Team:            text.Draw(r, "team"),
			Origin:          text.Draw(r, "origin"),
			LeftMillis:      float64(rapid.IntRange(-1000, 100_000).Draw(r, "left")) / 2,
			ObjectiveMillis: float64(rapid.IntRange(-1000, 100_000).Draw(r, "objective")) / 2,
			Idempotent:      rapid.Bool().Draw(r, "idempotent"),
			Call:            rapid.Bool().Draw(r, "call"),
			Retry:           rapid.Bool().Draw(r, "retry"),
		}
		if rapid.Bool().Draw(r, "limited") {
			want = want.WithRateLimit(rapid.Uint32().Draw(r, "target"), float64(rapid.IntRange(1, 1_000_000).Draw(r, "rate"))/8, float64(rapid.IntRange(0, 100_000).Draw(r, "age")))
		}
		got, err := trip.Decode(want.Encode())
		if err != nil || got != want {
			r.Fatalf("%+v was decoded as %+v, %v", want, got, err)
		}
	})
}

func TestMalformedHeadersAreRejected(t *testing.T) {
	for _, value := range []string{"", "a", "a,1,b,c,d,e,f,g", "a,9,s,t,o,1,1,", "a,-1,s,t,o,1,1,", "a,x,s,t,o,1,1,", "%zz,1,s,t,o,1,1,", "a,1,s,t,o,NaN,1,,f", "a,1,s,t,o,1,Inf,,f", "a,1,s,t,o,1,1,i;5,f", "a,1,s,t,o,1,1,i;x;1;1,f", "a,1,s,t,o,1,1,i;NaN;1;1,f", "a,1,s,t,o,1,1,i;5;-1;1,f"} {
		_, err := trip.Decode(value)
		assert.Assert(t, err != nil, value)
	}
}

// Older builds look for the letters of the flags in the whole field.
func TestRateLimitDoesNotChangeTheFlagsForOlderBuilds(t *testing.T) {
	for _, retry := range []bool{false, true} {
		fields := strings.Split(trip.Trip{Idempotent: true, Retry: retry}.WithRateLimit(1<<32-1, 55.2, 1200).Encode(), ",")
		assert.Equal(t, len(fields), 9)
		assert.Assert(t, strings.Contains(fields[7], "i") && !strings.Contains(fields[7], "c"))
		assert.Equal(t, strings.Contains(fields[7], "r"), retry)
	}
}
