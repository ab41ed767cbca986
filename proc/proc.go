// Package proc runs child processes for tests and demonstrations: it waits for
// the output line with which a child reports that it's ready, writes its log
// to a file, sends signals, and makes sure that the child ends.
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
	killTimeout = 5 * time.Second
	tailBytes   = 2000
)

// Proc is one child process. Make it with Start.
type Proc struct {
	command   *exec.Cmd
	readyLine string
	logPath   string
	ended     chan struct{}
	exitCode  int
}

// startJobs returns the channel of jobs for the one OS thread that starts all
// children.
var startJobs = sync.OnceValue(func() chan func() {
	jobs := make(chan func())
	go func() {
		// Because of Pdeathsig, the kernel kills the children when the thread
		// that started them ends. The locked thread lives as long as this
		// process.
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
})

// Start starts the binary and waits until it has written the first line of its
// standard output. It returns an error if the process or ctx ends before that;
// if ctx ends first, the process is killed.
// The rest of standard output and all of standard error are appended to the
// file at logPath. The kernel kills the child when this process ends, even if
// this process is killed.
func Start(ctx context.Context, logPath string, env []string, binary string, args ...string) (*Proc, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "proc: opening the log")
	}
	command := exec.Command(binary, args...) //nolint:noctx // ctx bounds the start, not the run
	command.Env = append(os.Environ(), env...)
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := command.StdoutPipe()
	if err != nil {
		_ = log.Close()
		return nil, errors.Wrap(err, "proc: making the pipe")
	}
	started := make(chan error)
	startJobs() <- func() { started <- command.Start() }
	if err := <-started; err != nil {
		_ = log.Close()
		return nil, errors.Wrap(err, "proc: starting")
	}
	p := &Proc{command: command, logPath: logPath, ended: make(chan struct{})}
	return p, p.waitReady(ctx, out, log)
}

// waitReady waits for the first line; further output goes into the log.
func (p *Proc) waitReady(ctx context.Context, out io.Reader, log io.WriteCloser) error {
	lines := make(chan string, 1)
	go func() {
		reader := bufio.NewReader(out)
		line, err := reader.ReadString('\n')
		if err == nil {
			lines <- strings.TrimSpace(line)
		}
		if _, err := io.Copy(log, reader); err != nil {
			// The rest is discarded, as the process would block on a full pipe
			// if the log can't be written.
			_, _ = io.Copy(io.Discard, reader)
		}
		_ = log.Close()
		_ = p.command.Wait()
		p.exitCode = p.command.ProcessState.ExitCode()
		close(p.ended)
	}()
	select {
	case p.readyLine = <-lines:
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

// ReadyLine returns the first line of standard output, with which the process
// reports that it's ready.
func (p *Proc) ReadyLine() string { return p.readyLine }

// ID returns the process ID.
func (p *Proc) ID() int { return p.command.Process.Pid }

// LogTail returns the last 2000 bytes of the process's log, or the text of the
// error if the log can't be read.
func (p *Proc) LogTail() string {
	log, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(log[max(len(log)-tailBytes, 0):])
}

// Log returns the whole log file, which may also hold output of earlier
// processes with the same file.
func (p *Proc) Log() (string, error) {
	log, err := os.ReadFile(p.logPath)
	return string(log), errors.Wrap(err, "proc: reading the log")
}

// Alive reports whether the process hasn't ended yet. It may be suspended.
func (p *Proc) Alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Suspend suspends the process with SIGSTOP until Resume.
func (p *Proc) Suspend() { p.signal(syscall.SIGSTOP) }

// Resume resumes a suspended process.
func (p *Proc) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop gracefully. It doesn't wait for the end.
func (p *Proc) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup sends SIGHUP, on which the process reloads its settings.
func (p *Proc) Hangup() { p.signal(syscall.SIGHUP) }

// Kill kills the process and waits for its end, up to 5 seconds.
func (p *Proc) Kill() {
	p.signal(syscall.SIGKILL)
	select {
	case <-p.ended:
	case <-time.After(killTimeout):
	}
}

// signal sends a signal. It has no effect on a process that was waited for, so
// it never reaches another process with the same ID.
func (p *Proc) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// Wait waits for the end of the process and returns its exit code, -1 if a
// signal ended it. It returns an error if ctx ends first.
func (p *Proc) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.ended:
		return p.exitCode, nil
	case <-ctx.Done():
		return 0, errors.Errorf("proc: %s didn't end in time", p.name())
	}
}
