// Package fill generates the bodies that stand-ins send. The bytes depend only
// on a marker, so that a receiver can verify that a body is complete and
// belongs to its request.
package fill

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	blockBytes = 8
	chunkBytes = 32 << 10
)

// Reader generates a number of bytes from a marker. It implements io.Reader
// and returns no error except io.EOF at its end.
type Reader struct {
	seed   uint64
	offset int64
	size   int64
}

// New returns a reader of size bytes for the marker.
func New(marker string, size int64) *Reader {
	return &Reader{seed: xxhash.Sum64String(marker), size: size}
}

// Read fills p with the next bytes.
func (r *Reader) Read(p []byte) (int, error) {
	remaining := r.size - r.offset
	if remaining <= 0 {
		return 0, io.EOF
	}
	n := int(min(remaining, int64(len(p))))
	for done := 0; done < n; {
		done += r.copyBlock(p[done:n])
	}
	return n, nil
}

// copyBlock copies the rest of the block at the offset, at most len(p) bytes.
func (r *Reader) copyBlock(p []byte) int {
	var block [blockBytes]byte
	binary.LittleEndian.PutUint64(block[:], mix(r.seed, uint64(r.offset/blockBytes)))
	n := copy(p, block[r.offset%blockBytes:])
	r.offset += int64(n)
	return n
}

// mix is the splitmix64 generator at a position of its sequence.
func mix(seed, position uint64) uint64 {
	z := seed + (position+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Verify reads the body to its end and compares it with the size bytes generated
// from the marker. It returns the number of bytes read and whether they are
// exactly the expected ones. It returns an error if the body ended early.
func Verify(body io.Reader, marker string, size int64) (int64, bool, error) {
	expected := New(marker, size)
	got, want := make([]byte, chunkBytes), make([]byte, chunkBytes)
	total, matches := int64(0), true
	for {
		n, err := body.Read(got)
		total += int64(n)
		matches = matches && matchesNext(got[:n], want[:n], expected)
		if errors.Is(err, io.EOF) {
			return total, matches && total == size, nil
		}
		if err != nil {
			return total, matches, errors.Wrap(err, "fill: reading the body")
		}
	}
}

// matchesNext tells whether got continues the expected bytes; want is a buffer of
// the same length. ReadFull returns an error if got is longer than the rest.
func matchesNext(got, want []byte, expected *Reader) bool {
	n, err := io.ReadFull(expected, want)
	if len(got) > 0 && err != nil {
		return false
	}
	return bytes.Equal(got, want[:n])
}
