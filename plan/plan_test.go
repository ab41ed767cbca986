package plan_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/plan"
)

const planFile = `Nodes: ["127.0.0.1:1"]
Phases:
  - {Seconds: 2, Rate: 100}
  - {Seconds: 1, Rate: 1000}
Teams:
  - {Name: Lakes, Key: k, Weight: 3}
  - {Name: Docks, Weight: 1}
Routes:
  - {Name: Book, Method: POST, Path: /book, Weight: 1}
  - {Name: Stock, Path: /stock, Weight: 1, Idempotent: true}
`

func TestArrivalsDependOnlyOnPlanAndSeed(t *testing.T) {
	p, err := plan.New("run", 1).Parse([]byte(planFile))
	assert.NilError(t, err)
	assert.NilError(t, p.Check())
	random, repeated := rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(1, 1))
	lakesCount, idempotencyKeyCount, arrivalCount, since := 0, 0, 0, time.Duration(0)
	for {
		gap, more := p.Gap(random, since)
		repeatedGap, _ := p.Gap(repeated, since)
		assert.Equal(t, gap, repeatedGap)
		if !more {
			break
		}
		since += gap
		a := p.Draw(random, int64(arrivalCount))
		assert.Equal(t, a, p.Draw(repeated, int64(arrivalCount)))
		if a.Team == "Lakes" {
			lakesCount++
		}
		if a.IdempotencyKey != "" {
			assert.Equal(t, a.Method, "POST")
			idempotencyKeyCount++
		}
		arrivalCount++
	}
	assert.Assert(t, arrivalCount > 1080 && arrivalCount < 1320, "%d arrivals", arrivalCount)
	assert.Assert(t, lakesCount > arrivalCount*70/100 && lakesCount < arrivalCount*80/100, "%d arrivals of team Lakes", lakesCount)
	assert.Assert(t, idempotencyKeyCount > arrivalCount*45/100 && idempotencyKeyCount < arrivalCount*55/100, "%d arrivals with an idempotency key", idempotencyKeyCount)
}

func TestUnknownFieldErrorNamesLineAndColumn(t *testing.T) {
	_, err := plan.New("run", 1).Parse([]byte("Nodes: []\nSpeed: 3\n"))
	assert.ErrorContains(t, err, `[2:1] unknown field "Speed"`)
}
