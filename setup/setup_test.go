package setup_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bergamotloom.example/secret"
	"bergamotloom.example/setup"
)

func validSetup() setup.Setup {
	return setup.Setup{
		Callers:     "127.0.0.1:0",
		Local:       "127.0.0.1:0",
		Peers:       "127.0.0.1:0",
		Operators:   "127.0.0.1:0",
		Platform:    "http://127.0.0.1:7070",
		Secret:      []byte(strings.Repeat("s", secret.MinBytes)),
		Centre:      "c1",
		Region:      "lakes",
		DrainMillis: 1,
	}
}

// Each error names the setting, its value and what is allowed.
func TestCheckNamesTheInvalidSetting(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *setup.Setup)
	}{
		{"Callers", func(s *setup.Setup) { s.Callers = "localhost:0" }},
		{"Local", func(s *setup.Setup) { s.Local = "0.0.0.0:0" }},
		{"LocalIPv6", func(s *setup.Setup) { s.Local = "[::]:0" }},
		{"Peers", func(s *setup.Setup) { s.Peers = "" }},
		{"Operators", func(s *setup.Setup) { s.Operators = "127.0.0.1" }},
		{"Advertise", func(s *setup.Setup) { s.Advertise = "node:1" }},
		{"Join", func(s *setup.Setup) { s.Join = []string{"127.0.0.1:1", "peer"} }},
		{"Platform", func(s *setup.Setup) { s.Platform = "ftp://store" }},
		{"NoPlatform", func(s *setup.Setup) { s.Platform = "" }},
		{"Secret", func(s *setup.Setup) { s.Secret = s.Secret[1:] }},
		{"Centre", func(s *setup.Setup) { s.Centre = "" }},
		{"Region", func(s *setup.Setup) { s.Region = "" }},
		{"Drain", func(s *setup.Setup) { s.DrainMillis = 0 }},
		{"Queue", func(s *setup.Setup) { s.QueueMillis = -1 }},
	}
	assert.NilError(t, validSetup().Check())
	var out strings.Builder
	for _, c := range cases {
		s := validSetup()
		c.change(&s)
		fmt.Fprintf(&out, "%s: %v\n", c.name, s.Check())
	}
	golden.Assert(t, out.String(), "check.golden")
}
