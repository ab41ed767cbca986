package inforc_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/change"
	"bergamotloom.example/inforc"
)

// serviceFor returns a file with a service whose slots are the version.
func serviceFor(version int64) []byte {
	return fmt.Appendf(nil, "Services: [{Name: s%d, Slots: %d}]\n", version%3, version)
}

// drawChanges generates a sequence of changes to three files, some of them
// removals.
func drawChanges(t *rapid.T) []change.Change {
	var changes []change.Change
	for v := int64(1); v <= 30; v++ {
		name := fmt.Sprintf("f%d.yaml", v%3)
		c := change.Change{Version: v, Contents: map[string][]byte{name: serviceFor(v)}}
		if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
			c = change.Change{Version: v, Removed: []string{name}}
		}
		changes = append(changes, c)
	}
	return changes
}

// filesAfter returns the files after the first n changes.
func filesAfter(changes []change.Change, n int64) map[string][]byte {
	files := make(map[string][]byte)
	for _, c := range changes[:n] {
		files = c.Apply(files)
	}
	return files
}

func TestChangesInAnyOrderConvergeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := drawChanges(t)
		s := inforc.New()
		for range 60 {
			before := s.Current().Version()
			v := rapid.Int64Range(1, 30).Draw(t, "version")
			switch rapid.IntRange(0, 4).Draw(t, "way") {
			case 0:
				s.Learn(v)
			case 1:
				assert.NilError(t, s.Offer(change.Change{Version: v, Whole: true, Contents: filesAfter(changes, v)}))
			default:
				encoded, err := changes[v-1].Encode()
				assert.NilError(t, err)
				c, err := change.Decode(encoded)
				assert.NilError(t, err)
				assert.NilError(t, s.Offer(c))
			}
			now := s.Current().Version()
			assert.Assert(t, now >= before)
			assert.DeepEqual(t, s.Whole().Apply(nil), filesAfter(changes, now))
		}
		for first, last, ok := s.Missing(); ok; first, last, ok = s.Missing() {
			for v := first; v <= last; v++ {
				assert.NilError(t, s.Offer(changes[v-1]))
			}
		}
		n := s.Current().Version()
		assert.DeepEqual(t, s.Whole().Apply(nil), filesAfter(changes, n))
		assert.Equal(t, len(s.Current().Services()), len(filesAfter(changes, n)))
	})
}

func TestInvalidChangeKeepsTheVersionInForce(t *testing.T) {
	s := inforc.New()
	assert.NilError(t, s.Offer(change.Change{Version: 1, Contents: map[string][]byte{"a.yaml": serviceFor(1)}}))
	err := s.Offer(change.Change{Version: 2, Contents: map[string][]byte{"a.yaml": []byte("Later: []")}})
	assert.ErrorContains(t, err, "version 2 can't be loaded: a.yaml:1:1: unknown area")
	assert.Equal(t, s.Current().Version(), int64(1))
	first, last, ok := s.Missing()
	assert.Assert(t, ok && first == 2 && last == 2)
}

func TestLatestChangesAreKeptForPeers(t *testing.T) {
	s := inforc.New()
	for v := int64(1); v <= 100; v++ {
		assert.NilError(t, s.Offer(change.Change{Version: v, Contents: map[string][]byte{"a.yaml": serviceFor(v)}}))
	}
	_, ok := s.Change(100)
	assert.Assert(t, ok)
	_, ok = s.Change(30)
	assert.Assert(t, !ok)
}
