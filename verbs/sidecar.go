package verbs

import (
	"context"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"bergamotloom.example/clock"
	"bergamotloom.example/lines"
	"bergamotloom.example/platform"
)

type runSidecar struct {
	Settings string `help:"Path of the platform's settings file; left out, the platform's own variable names it."`
	Verbose  bool   `env:"LOOM_VERBOSE" help:"Also log the requests that were served at the first try."`
}

func sidecarVerb() Verb {
	return Verb{
		Name:    "sidecar",
		Help:    "Run the node beside one target on the users' platform.",
		Command: &runSidecar{},
	}
}

const (
	// heapPart of the memory that a process may use is the heap's soft limit;
	// the rest is for stacks and what the kernel holds.
	heapPart = 0.55
	// sidecarCollect lets the heap grow to that many percent of what lives
	// before it's collected.
	sidecarCollect = 100
)

// Run serves until a stop signal and then stops within the platform's grace.
func (r *runSidecar) Run(s *session) error {
	if r.Settings == "" {
		r.Settings = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(r.Settings)
	if err != nil {
		return usageError{err}
	}
	runtime.GOMAXPROCS(max(settings.Cores, 1))
	debug.SetMemoryLimit(int64(heapPart * float64(settings.MemoryBytes)))
	debug.SetGCPercent(sidecarCollect)
	out := lines.New(s.out)
	severity := slog.LevelInfo
	if r.Verbose {
		severity = slog.LevelDebug
	}
	log := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: severity, ReplaceAttr: shortenError}))
	logged, end := context.WithCancel(context.WithoutCancel(s.context))
	written := make(chan struct{})
	go func() {
		defer close(written)
		out.Run(logged)
	}()
	err = platform.Serve(s.context, r.Settings, settings, clock.New(), log)
	end()
	<-written
	return err
}
