// Package intake reads the bodies of requests, within a bound on the memory that they take
// together.
package intake

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/body"
	"bergamotloom.example/duplex"
	"bergamotloom.example/heads"
	"bergamotloom.example/output"
	"bergamotloom.example/reason"
)

const (
	// startBytes of a request's body are read before it's forwarded, so that a slow
	// sender doesn't occupy a slot of a target.
	startBytes = 256 << 10
	// uncountedBytes of a body don't count towards the bound, so that short bodies are
	// read also while long ones take all of it. The number of connections bounds them.
	uncountedBytes = 4 << 10
)

// errFull says that the bodies of other requests take all the memory that bodies may take.
var errFull = errors.New("intake: bodies of other requests take all the memory for them")

// Intake reads bodies. It's safe for concurrent use.
type Intake struct {
	maxBytes int64
	held     atomic.Int64
}

// New returns an intake that keeps up to maxBytes of bodies in memory.
func New(maxBytes int64) *Intake {
	return &Intake{maxBytes: maxBytes}
}

// HeldBytes returns how much memory bodies take, without those that don't count.
func (i *Intake) HeldBytes() int64 {
	return i.held.Load()
}

// Read reads the start of a request's body; the body must be released. It fails if the
// body can't be read, if that takes longer than leftMillis, as its sender may have
// stalled, or if too many bodies are held already. Refuse gives the refusal for its error.
func (i *Intake) Read(w http.ResponseWriter, r *http.Request, leftMillis float64) (body.Body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return body.Body{}, nil
	}
	duplex.Track(r)
	c := http.NewResponseController(w)
	// An error says that reading can't be limited.
	_ = c.SetReadDeadline(time.Now().Add(time.Duration(leftMillis * float64(time.Millisecond))))
	s := &share{intake: i}
	b, err := s.read(r)
	if err != nil {
		s.release()
		return body.Body{}, err
	}
	// The server goes on reading, to notice that the sender has gone, and would take a
	// passed deadline for that.
	_ = c.SetReadDeadline(time.Time{})
	return b.WithRelease(s.release), nil
}

// Refuse returns the refusal of a request whose body couldn't be read.
func Refuse(err error) output.Output {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return output.Refused(reason.DeadlineExceeded, "the body wasn't complete in time")
	case errors.Is(err, errFull):
		return output.Refused(reason.Overloaded, err.Error())
	default:
		return output.Refused(reason.BadRequest, "the body broke off")
	}
}

// share is the part of the memory that one body takes.
type share struct {
	intake *Intake
	// bytes is the length of what is held, counted the part that counts.
	bytes   int64
	counted int64
}

// grow takes n more bytes, and reports whether the bound allows that.
func (s *share) grow(n int64) bool {
	s.bytes += n
	more := max(s.bytes-uncountedBytes, 0) - s.counted
	if s.intake.held.Add(more) > s.intake.maxBytes && more > 0 {
		s.intake.held.Add(-more)
		return false
	}
	s.counted += more
	return true
}

func (s *share) release() {
	s.intake.held.Add(-s.counted)
	s.counted = 0
}

func (s *share) read(r *http.Request) (body.Body, error) {
	if r.ContentLength > 0 {
		return s.readKnown(r)
	}
	start, err := io.ReadAll(io.LimitReader(&reader{r.Body, s}, startBytes))
	switch {
	case err != nil:
		return body.Body{}, err
	case len(start) < startBytes:
		return body.Body{Start: start, Length: int64(len(start))}, nil
	}
	return body.Body{
		Start:     heads.EncodeChunk(start),
		WriteRest: func(w io.Writer) error { return heads.CopyChunks(w, r.Body) },
		Length:    -1,
	}, nil
}

// readKnown reads the start of a body whose length is known.
func (s *share) readKnown(r *http.Request) (body.Body, error) {
	length := min(r.ContentLength, startBytes)
	if !s.grow(length) {
		return body.Body{}, errFull
	}
	b := body.Body{Start: make([]byte, length), Length: r.ContentLength}
	if _, err := io.ReadFull(r.Body, b.Start); err != nil || r.ContentLength <= startBytes {
		return b, err
	}
	rest := r.ContentLength - length
	b.WriteRest = func(w io.Writer) error {
		copied, err := io.Copy(w, r.Body)
		if err == nil && copied != rest {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	return b, nil
}

// reader counts what is read from a body of unknown length.
type reader struct {
	source io.Reader
	share  *share
}

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if !r.share.grow(int64(n)) {
		return 0, errFull
	}
	return n, err
}
