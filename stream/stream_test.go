package stream_test

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bergamotloom.example/stream"
)

func TestCopyFlushesUnlessBodyIsComplete(t *testing.T) {
	for _, c := range []struct {
		length  int64
		flushed bool
	}{{5, false}, {-1, true}, {9, true}} {
		w := httptest.NewRecorder()
		assert.NilError(t, stream.Copy(w, strings.NewReader("whole"), c.length))
		assert.Equal(t, w.Body.String(), "whole")
		assert.Equal(t, w.Flushed, c.flushed)
	}
}

func TestCopyReportsBodyThatEndedEarly(t *testing.T) {
	truncated := io.MultiReader(strings.NewReader("half"), failingReader{})
	assert.ErrorContains(t, stream.Copy(httptest.NewRecorder(), truncated, 10), "stream: the response ended early")
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("reset") }
