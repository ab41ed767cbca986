package verbs

import (
	"context"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"bergamotloom.example/clock"
	"bergamotloom.example/lines"
	"bergamotloom.example/platform"
)

type runSidecar struct {
	Settings string `help:"Path of the platform's settings file; by default the platform's environment variable names it."`
	Verbose  bool   `env:"LOOM_VERBOSE" help:"Also log the requests that were served at the first attempt."`
}

func sidecarVerb() Verb {
	return Verb{
		Name:    "sidecar",
		Help:    "Run the node beside one target on the users' platform.",
		Command: &runSidecar{},
	}
}

const (
	// goMemoryFraction is the soft limit of the Go runtime's memory, relative to
	// the memory that the process may use. The rest is for memory that the
	// runtime doesn't count, such as that held by the kernel.
	goMemoryFraction = 0.55
	// sidecarGCPercent is the growth of the heap, relative to the live heap, at
	// which garbage is collected.
	sidecarGCPercent = 100
	// maxLogWait is how long the process waits at its end until its log is written. The
	// log may not be read; the node has left 300 ms of its grace.
	maxLogWait = 150 * time.Millisecond
)

// Run serves until a stop signal and then stops within the platform's grace
// period.
func (r *runSidecar) Run(s *session) error {
	if r.Settings == "" {
		r.Settings = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(r.Settings)
	if err != nil {
		return usageError{err}
	}
	runtime.GOMAXPROCS(max(settings.Cores, 1))
	debug.SetMemoryLimit(int64(goMemoryFraction * float64(settings.MemoryBytes)))
	debug.SetGCPercent(sidecarGCPercent)
	out := lines.New(s.out)
	level := slog.LevelInfo
	if r.Verbose {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level, ReplaceAttr: shortenError}))
	logContext, stopLog := context.WithCancel(context.WithoutCancel(s.context))
	logWritten := make(chan struct{})
	go func() {
		defer close(logWritten)
		out.Run(logContext)
	}()
	err = platform.Serve(s.context, r.Settings, settings, clock.New(), log)
	stopLog()
	select {
	case <-logWritten:
	case <-time.After(maxLogWait):
	}
	return err
}
