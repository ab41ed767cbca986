package proc_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bergamotloom.example/proc"
)

const panicVariable = "PROC_TEST_PANIC"

func start(t *testing.T, script string) (*proc.Proc, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	p, err := proc.Start(ctx, filepath.Join(t.TempDir(), "log"), []string{"GIVEN=value"}, "/bin/sh", "-c", script)
	if err == nil {
		t.Cleanup(p.Kill)
	}
	return p, err
}

func TestProcessIsReadyAfterItsFirstLine(t *testing.T) {
	p, err := start(t, "echo $GIVEN; echo problem >&2; trap 'exit 7' TERM; while :; do sleep 0.01; done")
	assert.NilError(t, err)
	assert.Equal(t, p.ReadyLine(), "value")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.LogTail() != "problem\n" {
			return poll.Continue("log is %q", p.LogTail())
		}
		return poll.Success()
	})
	p.Suspend()
	p.Terminate()
	shortContext, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = p.Wait(shortContext)
	assert.ErrorContains(t, err, "didn't end in time")
	p.Resume()
	code, err := p.Wait(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, code, 7)
}

func TestStartErrorContainsTheLogOfTheProcess(t *testing.T) {
	_, err := start(t, "echo no luck >&2")
	assert.ErrorContains(t, err, "no luck")
	_, err = start(t, "exec sleep 60")
	assert.ErrorContains(t, err, "wasn't ready in time")
}

func TestCPUTimeAndPeakMemoryOfAProcess(t *testing.T) {
	p, err := start(t, "echo; while :; do :; done")
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		millis, err := proc.CPUMillis(p.ID())
		if err != nil || millis < 50 {
			return poll.Continue("used %d ms, %v", millis, err)
		}
		return poll.Success()
	})
	peak, err := proc.PeakMemoryBytes(p.ID())
	assert.NilError(t, err)
	assert.Assert(t, peak > 100<<10 && peak < 100<<20, "%d bytes", peak)
}

// The test runs itself in another process, which panics with a child running.
func TestChildrenEndWhenTheParentPanics(t *testing.T) {
	if os.Getenv(panicVariable) != "" {
		p, err := start(t, "echo; exec sleep 60")
		assert.NilError(t, err)
		fmt.Printf("child %d\n", p.ID())
		go func() { panic("on purpose") }()
		time.Sleep(time.Minute)
	}
	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run", t.Name())
	command.Env = append(os.Environ(), panicVariable+"=1")
	out, err := command.CombinedOutput()
	assert.ErrorContains(t, err, "exit status 2")
	_, rest, _ := strings.Cut(string(out), "child ")
	number, _, _ := strings.Cut(rest, "\n")
	id, err := strconv.Atoi(number)
	assert.NilError(t, err, string(out))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if syscall.Kill(id, 0) == nil && !isZombie(id) {
			return poll.Continue("child %d is still alive", id)
		}
		return poll.Success()
	})
}

func isZombie(id int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	return err == nil && strings.Contains(string(stat), ") Z ")
}
