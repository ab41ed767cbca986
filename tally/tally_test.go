package tally_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bergamotloom.example/answer"
	"bergamotloom.example/tally"
)

func TestTablesAndJSONShowEveryOutcome(t *testing.T) {
	counted := tally.New()
	for i := range 1000 {
		counted.Add(answer.Outcome{Team: "Lakes", Route: "Book", Kind: answer.Served, Sends: 1, Millis: float64(i)})
	}
	refused := answer.Outcome{Team: "Docks", Route: "Book", Kind: answer.Refused, Reason: "RateExceeded", Ran: "Never"}
	counted.Add(refused.WithSends(3, 9))
	counted.Add(answer.Outcome{Team: "Docks", Route: "Guide", Kind: answer.Broken, Reason: "BodyCut", Sends: 1})
	counted.Add(answer.Outcome{Team: "Docks", Route: "Guide", Kind: answer.Wrong, Reason: "OtherBody", Sends: 1})
	out := &bytes.Buffer{}
	assert.NilError(t, counted.WriteTable(out))
	assert.NilError(t, counted.WriteJSON(out))
	golden.Assert(t, out.String(), "tally.golden")
}
