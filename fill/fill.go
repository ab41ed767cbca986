// Package fill makes the bodies that stand-ins send. The bytes follow from an
// identity alone, so a reader can tell whether a body is whole and its own.
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

// Reader yields a number of bytes that follow from an identity. It implements
// io.Reader and never fails before its end.
type Reader struct {
	seed   uint64
	offset int64
	size   int64
}

// New returns a reader of size bytes for the identity.
func New(identity string, size int64) *Reader {
	return &Reader{seed: xxhash.Sum64String(identity), size: size}
}

// Read fills p with the next bytes.
func (r *Reader) Read(p []byte) (int, error) {
	left := r.size - r.offset
	if left <= 0 {
		return 0, io.EOF
	}
	n := int(min(left, int64(len(p))))
	for done := 0; done < n; {
		done += r.copyBlock(p[done:n])
	}
	return n, nil
}

// copyBlock copies what is left of the block at the offset, at most len(p).
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

// Verify reads the body to its end and compares it with the bytes that follow
// from the identity. It returns how many bytes came and whether all of them,
// up to size, were as expected. An error is a body that was cut.
func Verify(body io.Reader, identity string, size int64) (int64, bool, error) {
	expected := New(identity, size)
	got, want := make([]byte, chunkBytes), make([]byte, chunkBytes)
	total, own := int64(0), true
	for {
		n, err := body.Read(got)
		total += int64(n)
		own = own && same(got[:n], want[:n], expected)
		if errors.Is(err, io.EOF) {
			return total, own && total == size, nil
		}
		if err != nil {
			return total, own, errors.Wrap(err, "fill: reading the body")
		}
	}
}

func same(got, want []byte, expected *Reader) bool {
	n, err := io.ReadFull(expected, want)
	if len(got) > 0 && err != nil {
		return false
	}
	return bytes.Equal(got, want[:n])
}
