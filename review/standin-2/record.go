package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// record writes what was sent, answered and run, each line with the seconds since the start.
type record struct {
	mutex     sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	return &record{file: file, startedAt: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	_ = r.file.Close()
}
