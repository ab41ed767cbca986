package loader_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/keys"
	"bergamotloom.example/loader"
)

func FuzzLoad(f *testing.F) {
	f.Add([]byte("Teams:\n  - {Name: a, Rate: 1, Burst: 1, Keys: [" + keys.Hash("k") + "]}\n"))
	f.Add([]byte("Services: [{Name: s, Slots: 3, SlowStart: 5s}]\nRoutes:\n  - Name: r\n    Match: /r/*\n    Service: s\n    Rank: Normal\n    Timeout: 1s\n"))
	f.Add([]byte("Teams: &a [*a]\n<<: *a\n? [x]\n: y\n---\n!!map {}\n"))
	f.Add([]byte("Routes: [{Retries: 010, BodyLimit: 1MiB, OpenToAll: yes}]\n\"\\x"))
	f.Fuzz(func(t *testing.T, content []byte) {
		c, problems := loader.New().Load(7, map[string][]byte{"a.yaml": content})
		assert.Equal(t, c == nil, len(problems) > 0)
		if c != nil {
			assert.Equal(t, c.Version(), int64(7))
			for _, tm := range c.Teams() {
				assert.Assert(t, tm.Rate > 0 && tm.Burst >= 1 && tm.Name != "")
			}
			for _, r := range c.Routes() {
				_, ok := c.Service(r.Service)
				assert.Assert(t, ok && r.TimeoutMillis > 0 && r.Retries >= 0 && r.Retries <= 10)
			}
		}
	})
}

func TestDeepNestingIsRejected(t *testing.T) {
	for _, s := range []string{"[", "- ", "{a: ", "? ", "!a ", "&a "} {
		deep := strings.Repeat(s, loader.FileLimit/len(s))
		_, problems := loader.New().Load(1, map[string][]byte{"a.yaml": []byte(deep)})
		assert.Assert(t, len(problems) > 0, s)
	}
}

func TestProblemsNeverContainAPIKeys(t *testing.T) {
	key := keys.New()
	for _, text := range []string{
		"Teams: [{Name: a, Rate: 1, Burst: 1, Keys: [" + key + "]}]",
		"Teams: [{Name: a, Rate: 1, Burst: 1, Keys: " + key + "}]",
		"Teams: [{Name: a, Rate: 1, Burst: 1, Keys: [" + key + ", " + key + "]}]",
		"Teams: [{Name: a, Rate: 1, Burst: 1, Keys: [\"" + key + "]}]",
	} {
		_, problems := loader.New().Load(1, map[string][]byte{"a.yaml": []byte(text)})
		assert.Assert(t, len(problems) > 0)
		for _, p := range problems {
			assert.Assert(t, !strings.Contains(p.String(), key), p.String())
		}
	}
}
