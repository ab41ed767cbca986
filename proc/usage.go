package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	millisPerTick = 10 // a clock tick is 1/100 s in /proc on Linux
	// Indexes of the user and system time in /proc/PID/stat, counted from the
	// field after the command name.
	userTimeIndex    = 11
	systemTimeIndex  = 12
	bytesPerKilobyte = 1 << 10
)

// CPUMillis returns the user and system time that the process with this ID has
// used, in milliseconds, at the resolution of the kernel's clock tick of 10 ms.
// It returns an error if the process doesn't exist.
func CPUMillis(id int) (int64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return 0, errors.Wrap(err, "proc: reading the processor time")
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTimeIndex {
		return 0, errors.Errorf("proc: /proc/%d/stat has too few fields", id)
	}
	ticks := int64(0)
	for _, f := range fields[userTimeIndex : systemTimeIndex+1] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "proc: reading the processor time")
		}
		ticks += n
	}
	return ticks * millisPerTick, nil
}

// PeakMemoryBytes returns the peak resident memory of the process with this ID,
// in bytes. It returns an error if the process doesn't exist.
func PeakMemoryBytes(id int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, errors.Wrap(err, "proc: reading the peak memory")
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kilobytes, err := strconv.ParseInt(number, 10, 64)
	return kilobytes * bytesPerKilobyte, errors.Wrap(err, "proc: reading the peak memory")
}
