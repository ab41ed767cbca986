package named_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"bergamotloom.example/advice"
	"bergamotloom.example/clock"
	"bergamotloom.example/named"
)

// Each case of the golden file lists what happens to a target's limit, with its
// time in milliseconds, and the limit in force after it.
func TestLimitInForce(t *testing.T) {
	limit := func(rate float64) advice.Advice { return advice.Advice{Limited: true, RateLimit: rate} }
	none, malformed := advice.Advice{}, advice.Advice{Malformed: true}
	type step struct {
		at   float64
		what string
		do   func(n *named.Named)
	}
	heard := func(at float64, a advice.Advice, sentAt float64, ran bool) step {
		return step{at, fmt.Sprintf("response %+v, sent at %.0f, ran %v", a, sentAt, ran), func(n *named.Named) { n.Heard(a, sentAt, ran) }}
	}
	learned := func(at, rate, age float64) step {
		return step{at, fmt.Sprintf("a peer knows %v, %.0f ms old", rate, age), func(n *named.Named) { n.Learn(rate, age) }}
	}
	sent := func(at float64) step { return step{at, "request sent", (*named.Named).Sent} }
	tick := func(at float64) step { return step{at, "tick", (*named.Named).Expire} }
	reset := func(at float64) step { return step{at, "new incarnation", (*named.Named).Reset} }
	cases := []struct {
		name  string
		known bool
		steps []step
	}{
		{"named, raised, lowered, ended", true, []step{heard(10, limit(50), 0, true), heard(20, limit(80), 0, true), heard(30, limit(9.5), 0, true), heard(50, none, 40, true)}},
		{"a response to an earlier request doesn't end it", true, []step{heard(10, limit(50), 0, true), heard(11, none, 5, true), heard(30, none, 12, true)}},
		{"neither does a refusal or a malformed value", true, []step{heard(10, limit(50), 0, false), heard(30, none, 20, false), heard(40, malformed, 35, true)}},
		{"a limit of zero leaves room to learn of its end", true, []step{heard(10, limit(0), 0, true)}},
		{"it isn't kept without a response that names it", true, []step{heard(10, limit(50), 0, true), tick(10_010), tick(10_011), sent(10_020), heard(10_040, limit(50), 10_020, true)}},
		{"after a start the first response tells", false, []step{sent(10), heard(30, none, 10, true)}},
		{"after a start a peer's word holds until a response", false, []step{learned(10, 50, 300), sent(12), learned(14, 70, 100), heard(30, limit(60), 12, true), learned(40, 70, 0)}},
		{"a peer's word doesn't outlast the target's", false, []step{learned(10, 50, 300), sent(12), heard(30, none, 12, true)}},
		{"an old word of a peer is ignored", false, []step{learned(10, 50, 10_001)}},
		{"a malformed value tells that there is no limit to follow", false, []step{sent(10), heard(30, malformed, 10, true)}},
		{"a target that never responds", false, []step{sent(10), tick(3010), tick(3011)}},
		{"a new incarnation has named none", true, []step{heard(10, limit(50), 0, true), reset(20)}},
	}
	var lines []string
	for _, c := range cases {
		virtual, advance := clock.NewManual(0)
		n := named.New(virtual, c.known)
		lines = append(lines, c.name)
		for _, s := range c.steps {
			advance(s.at - virtual.Fine())
			s.do(n)
			rate, limited := n.Rate()
			source, age := n.Age()
			_, bounded := n.MaxRunning()
			if !limited {
				rate = 0
			}
			lines = append(lines, fmt.Sprintf("  %6.0f %s -> rate %v %s %.0f ms old, few at once %v", s.at, s.what, rate, source, age, bounded))
		}
	}
	golden.Assert(t, strings.Join(lines, "\n")+"\n", "limit.golden")
}
