package conns

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// headReader fails once a head takes more than maxHeadBytes. Beyond a head it
// reads without a limit.
type headReader struct {
	source io.Reader
	inHead bool
	// left is how many more bytes of the head may be read.
	left int
	// failed says that the source has failed or ended.
	failed bool
	// received counts all bytes that were read.
	received *atomic.Int64
}

func (r *headReader) beginHead() { r.inHead, r.left = true, maxHeadBytes }

func (r *headReader) endHead() { r.inHead = false }

func (r *headReader) Read(b []byte) (int, error) {
	if r.inHead && r.left <= 0 {
		return 0, errors.Errorf("the head of the answer is longer than %d bytes", maxHeadBytes)
	}
	n, err := r.source.Read(b)
	r.left -= n
	r.failed = r.failed || err != nil
	r.received.Add(int64(n))
	return n, err
}
