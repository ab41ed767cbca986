package runlog_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/runlog"
	"bergamotloom.example/runrec"
)

func TestFileKeepsUnfinishedRuns(t *testing.T) {
	file := &bytes.Buffer{}
	l := runlog.New(file)
	first, err := l.Begin(runrec.Run{Path: "/a"})
	assert.NilError(t, err)
	_, err = l.Begin(runrec.Run{Path: "/b"})
	assert.NilError(t, err)
	assert.NilError(t, l.End(first, runrec.Served, 5, 7))
	file.WriteString(`{"Serial":3,"Pa`)

	runs, err := runlog.Read(file)
	assert.NilError(t, err)
	assert.DeepEqual(t, runs, l.Runs())
	assert.Equal(t, runs[0].Outcome, runrec.Served)
	assert.Equal(t, runs[1].Outcome, "")
}

func TestClearDropsUnfinishedRuns(t *testing.T) {
	l := runlog.New(nil)
	first, err := l.Begin(runrec.Run{})
	assert.NilError(t, err)
	l.Clear()
	second, err := l.Begin(runrec.Run{})
	assert.NilError(t, err)
	assert.NilError(t, l.End(first, runrec.Served, 0, 1))
	assert.Equal(t, second, int64(2))
	assert.Equal(t, l.Runs()[0].Outcome, "")
}
