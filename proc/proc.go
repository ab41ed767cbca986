// Package proc runs one child process for tests and demonstrations: it waits
// for the line that says that the child is ready, keeps its log, sends it
// signals, and ends it for certain.
package proc

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	killWait  = 5 * time.Second
	tailBytes = 2000
)

// Proc is one child process. Make it with Start.
type Proc struct {
	command *exec.Cmd
	line    string
	logPath string
	ended   chan struct{}
	code    int
}

// starts carries the starts to the one thread that makes all children.
var starts = sync.OnceValue(func() chan func() {
	jobs := make(chan func())
	go func() {
		// The kernel kills the children when the thread that started them
		// ends, so that thread is kept for as long as the process lives.
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
})

// Start starts the binary, with its standard error and what follows the first
// line of its standard output in the file at logPath, and waits for its first line on standard output until ctx ends. The child is
// killed when this process ends, however it ends.
func Start(ctx context.Context, logPath string, env []string, binary string, args ...string) (*Proc, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "proc: opening the log")
	}
	command := exec.Command(binary, args...) //nolint:noctx // ctx bounds the start, not the life
	command.Env = append(os.Environ(), env...)
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := command.StdoutPipe()
	if err != nil {
		_ = log.Close()
		return nil, errors.Wrap(err, "proc: making the pipe")
	}
	started := make(chan error)
	starts() <- func() { started <- command.Start() }
	if err := <-started; err != nil {
		_ = log.Close()
		return nil, errors.Wrap(err, "proc: starting")
	}
	p := &Proc{command: command, logPath: logPath, ended: make(chan struct{})}
	return p, p.waitReady(ctx, out, log)
}

// waitReady reads the first line; further output goes into the log.
func (p *Proc) waitReady(ctx context.Context, out io.Reader, log io.WriteCloser) error {
	lines := make(chan string, 1)
	go func() {
		reader := bufio.NewReader(out)
		line, err := reader.ReadString('\n')
		if err == nil {
			lines <- strings.TrimSpace(line)
		}
		if _, err := io.Copy(log, reader); err != nil {
			// The process must not wait for a log that can't be written.
			_, _ = io.Copy(io.Discard, reader)
		}
		_ = log.Close()
		_ = p.command.Wait()
		p.code = p.command.ProcessState.ExitCode()
		close(p.ended)
	}()
	select {
	case p.line = <-lines:
		return nil
	case <-p.ended:
		return errors.Errorf("proc: %s ended before it was ready:\n%s", p.name(), p.LogTail())
	case <-ctx.Done():
		p.Kill()
		return errors.Errorf("proc: %s wasn't ready in time:\n%s", p.name(), p.LogTail())
	}
}

func (p *Proc) name() string {
	return strings.Join(p.command.Args, " ")
}

// FirstLine returns the first line that the process wrote.
func (p *Proc) FirstLine() string { return p.line }

// ID returns the process id.
func (p *Proc) ID() int { return p.command.Process.Pid }

// LogTail returns the end of the process's log.
func (p *Proc) LogTail() string {
	log, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(log[max(len(log)-tailBytes, 0):])
}

// Log returns the whole log of the process, and of earlier ones that had the
// same file.
func (p *Proc) Log() (string, error) {
	log, err := os.ReadFile(p.logPath)
	return string(log), errors.Wrap(err, "proc: reading the log")
}

// Alive tells whether the process still runs, frozen or not.
func (p *Proc) Alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Suspend stops the process in its tracks, Thaw lets it go on.
func (p *Proc) Suspend() { p.signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Proc) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop gracefully. It doesn't wait.
func (p *Proc) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup tells the process to read its settings again.
func (p *Proc) Hangup() { p.signal(syscall.SIGHUP) }

// Kill ends the process at once and waits until it's gone.
func (p *Proc) Kill() {
	p.signal(syscall.SIGKILL)
	select {
	case <-p.ended:
	case <-time.After(killWait):
	}
}

// signal does nothing to a process that was waited for, so that it never
// reaches another one with the same id.
func (p *Proc) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// Wait waits for the end of the process and returns its exit code, -1 if a
// signal ended it. It fails if ctx ends first.
func (p *Proc) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.ended:
		return p.code, nil
	case <-ctx.Done():
		return 0, errors.Errorf("proc: %s didn't end in time", p.name())
	}
}
