// Package runlog records the runs of a stand-in target, in memory and optionally
// in a file that outlives the process.
package runlog

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"bergamotloom.example/runrec"
)

const maxLineBytes = 1 << 20

// Log holds the runs of one target. It may be used by many goroutines.
type Log struct {
	mutex sync.Mutex
	runs  []runrec.Run
	// baseSerial is the serial number before that of runs[0].
	baseSerial int64
	file       *json.Encoder
}

// New returns an empty log that also writes each start and each end as a JSON
// line to file, if that isn't nil.
func New(file io.Writer) *Log {
	l := &Log{}
	if file != nil {
		l.file = json.NewEncoder(file)
	}
	return l
}

// Begin records the start of a run and returns its serial number. The line in
// the file is written before it returns.
func (l *Log) Begin(r runrec.Run) (int64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r.Serial = l.baseSerial + int64(len(l.runs)) + 1
	l.runs = append(l.runs, r)
	return r.Serial, l.write(r)
}

// End records the end of the run with this serial number.
func (l *Log) End(serial int64, outcome string, uploadBytes, endMillis int64) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	i := serial - l.baseSerial - 1
	if i < 0 {
		return nil // Clear has dropped the run
	}
	r := l.runs[i].WithEnd(outcome, endMillis)
	r.UploadBytes = uploadBytes
	l.runs[i] = r
	return l.write(r)
}

func (l *Log) write(r runrec.Run) error {
	if l.file == nil {
		return nil
	}
	return errors.Wrap(l.file.Encode(r), "runlog: writing a run to the file")
}

// Runs returns all runs since the last Clear in the order of their starts.
func (l *Log) Runs() []runrec.Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]runrec.Run(nil), l.runs...)
}

// Clear drops all runs from memory. The file keeps them, and serial numbers
// continue.
func (l *Log) Clear() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.baseSerial += int64(len(l.runs))
	l.runs = nil
}

// Write writes all runs as JSON lines.
func (l *Log) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for _, r := range l.Runs() {
		if err := encoder.Encode(r); err != nil {
			return errors.Wrap(err, "runlog: writing the runs")
		}
	}
	return nil
}

// runKey identifies a run within the file of one target.
type runKey struct {
	incarnation int64
	serial      int64
}

// Read decodes JSON lines that Write or a log's file holds. Of several lines of
// one run, the last counts. A malformed last line, which a killed process can
// leave, is skipped.
func Read(r io.Reader) ([]runrec.Run, error) {
	var runs []runrec.Run
	index := make(map[runKey]int)
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var malformed error
	for lines.Scan() {
		if malformed != nil {
			return nil, errors.Wrap(malformed, "runlog: decoding a line")
		}
		var run runrec.Run
		if malformed = json.Unmarshal(lines.Bytes(), &run); malformed != nil {
			continue
		}
		key := runKey{run.Life, run.Serial}
		if i, ok := index[key]; ok {
			runs[i] = run
			continue
		}
		index[key] = len(runs)
		runs = append(runs, run)
	}
	return runs, errors.Wrap(lines.Err(), "runlog: reading runs")
}
