// Package runlog records the runs of a stand-in target, in memory and if
// wanted in a file that outlives the process.
package runlog

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"bergamotloom.example/runrec"
)

const lineBytes = 1 << 20

// Log holds the runs of one target. It may be used by many goroutines.
type Log struct {
	mutex sync.Mutex
	runs  []runrec.Run
	base  int64
	copy  *json.Encoder
}

// New returns an empty log that also writes each start and each end as a JSON
// line to file, if that isn't nil.
func New(file io.Writer) *Log {
	l := &Log{}
	if file != nil {
		l.copy = json.NewEncoder(file)
	}
	return l
}

// Begin records the start of a run and returns its serial number. The line in
// the file is written before it returns.
func (l *Log) Begin(r runrec.Run) (int64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r.Serial = l.base + int64(len(l.runs)) + 1
	l.runs = append(l.runs, r)
	return r.Serial, l.write(r)
}

// End records the end of the run with this serial number.
func (l *Log) End(serial int64, outcome string, uploadBytes, endMillis int64) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	i := serial - l.base - 1
	if i < 0 {
		return nil // the log was cleared since
	}
	r := l.runs[i].WithEnd(outcome, endMillis)
	r.UploadBytes = uploadBytes
	l.runs[i] = r
	return l.write(r)
}

func (l *Log) write(r runrec.Run) error {
	if l.copy == nil {
		return nil
	}
	return errors.Wrap(l.copy.Encode(r), "runlog: writing the file")
}

// Runs returns all runs since the last Clear in the order of their starts.
func (l *Log) Runs() []runrec.Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]runrec.Run(nil), l.runs...)
}

// Clear forgets all runs. The file keeps them, and serial numbers go on.
func (l *Log) Clear() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.base += int64(len(l.runs))
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

// place names a run within the file of one target.
type place struct {
	life   int64
	serial int64
}

// Read reads JSON lines as Write or the file holds them. Of several lines of
// the same run, the last one counts. A half last line, which a
// killed process can leave, is passed over.
func Read(r io.Reader) ([]runrec.Run, error) {
	var runs []runrec.Run
	index := make(map[place]int)
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, lineBytes)
	var broken error
	for lines.Scan() {
		if broken != nil {
			return nil, errors.Wrap(broken, "runlog: reading a line")
		}
		var one runrec.Run
		if broken = json.Unmarshal(lines.Bytes(), &one); broken != nil {
			continue
		}
		at := place{one.Life, one.Serial}
		if i, ok := index[at]; ok {
			runs[i] = one
			continue
		}
		index[at] = len(runs)
		runs = append(runs, one)
	}
	return runs, errors.Wrap(lines.Err(), "runlog: reading runs")
}
