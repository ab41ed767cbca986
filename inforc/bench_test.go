package inforc_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/change"
	"bergamotloom.example/inforc"
	"bergamotloom.example/keys"
)

// fleetFiles returns a configuration of the largest intended size: 330 services
// with a file each, six routes a service, and 1,000 teams in ten files.
func fleetFiles() map[string][]byte {
	files := make(map[string][]byte)
	for f := range 10 {
		text := []byte("Teams:\n")
		for i := range 100 {
			name := fmt.Sprintf("team-%d-%d", f, i)
			text = fmt.Appendf(text, "  - Name: %s\n    Rate: 100\n    Burst: 200\n    Keys: [%s, %s]\n", name, keys.Hash(name), keys.Hash(name+"b"))
		}
		files[fmt.Sprintf("10-teams-%d.yaml", f)] = text
	}
	for s := range 330 {
		files[fmt.Sprintf("20-service-%d.yaml", s)] = serviceFile(s, 100)
	}
	return files
}

func serviceFile(s, slots int) []byte {
	text := fmt.Appendf(nil, "Services:\n  - Name: service-%d\n    Slots: %d\n    SlowStart: 5s\nRoutes:\n", s, slots)
	for r := range 6 {
		text = fmt.Appendf(text, "  - Name: route-%d-%d\n    Match: /s%d/r%d/*\n    Methods: [GET]\n    Service: service-%d\n    Rank: Normal\n    Timeout: 800ms\n    Retries: 2\n", s, r, s, r, s)
	}
	return text
}

func BenchmarkWholeVersion(b *testing.B) {
	files := fleetFiles()
	for b.Loop() {
		s := inforc.New()
		assert.NilError(b, s.Offer(change.Change{Version: 1, Whole: true, Contents: files}))
	}
}

func BenchmarkOneChange(b *testing.B) {
	s := inforc.New()
	assert.NilError(b, s.Offer(change.Change{Version: 1, Whole: true, Contents: fleetFiles()}))
	version, bytes := int64(1), 0
	for b.Loop() {
		version++
		c := change.Change{Version: version, Contents: map[string][]byte{"20-service-7.yaml": serviceFile(7, int(version))}}
		encoded, err := c.Encode()
		assert.NilError(b, err)
		bytes = len(encoded)
		assert.NilError(b, s.Offer(c))
	}
	b.ReportMetric(float64(bytes), "encoded-bytes")
}

func BenchmarkRoute(b *testing.B) {
	s := inforc.New()
	assert.NilError(b, s.Offer(change.Change{Version: 1, Whole: true, Contents: fleetFiles()}))
	c := s.Current()
	for b.Loop() {
		_, _ = c.Route("/s300/r5/some/path")
	}
}

// TestOneChangeParsesOneFile limits the allocations for a change, so that a
// node doesn't parse all files again for each one.
func TestOneChangeParsesOneFile(t *testing.T) {
	const maxAllocations = 30_000
	s := inforc.New()
	assert.NilError(t, s.Offer(change.Change{Version: 1, Whole: true, Contents: fleetFiles()}))
	version := int64(1)
	allocations := testing.AllocsPerRun(5, func() {
		version++
		c := change.Change{Version: version, Contents: map[string][]byte{"20-service-7.yaml": serviceFile(7, int(version))}}
		assert.NilError(t, s.Offer(c))
	})
	assert.Assert(t, allocations < maxAllocations, "%g allocations", allocations)
	route := testing.AllocsPerRun(100, func() { _, _ = s.Current().Route("/s300/r5/some/path") })
	assert.Equal(t, route, 0.0)
}
