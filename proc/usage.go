package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	millisPerTick = 10 // a tick is 1/100 s in /proc on Linux
	// Places in /proc/PID/stat, counted from the field behind the name.
	userPlace   = 11
	systemPlace = 12
	kilobyte    = 1 << 10
)

// CPUMillis returns the processor time that the process with this id has used,
// in milliseconds, to the nearest tick of the kernel.
func CPUMillis(id int) (int64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return 0, errors.Wrap(err, "proc: reading the processor time")
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemPlace {
		return 0, errors.Errorf("proc: the stat of process %d is too short", id)
	}
	ticks := int64(0)
	for _, f := range fields[userPlace : systemPlace+1] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "proc: reading the processor time")
		}
		ticks += n
	}
	return ticks * millisPerTick, nil
}

// PeakMemoryBytes returns the most memory that the process with this id has held at
// once, in bytes.
func PeakMemoryBytes(id int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, errors.Wrap(err, "proc: reading the memory")
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kilobytes, err := strconv.ParseInt(number, 10, 64)
	return kilobytes * kilobyte, errors.Wrap(err, "proc: reading the memory")
}
