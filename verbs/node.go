package verbs

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
	"bergamotloom.example/node"
	"bergamotloom.example/setup"
)

type runNode struct {
	Callers    string        `default:"127.0.0.1:0" env:"LOOM_CALLERS" help:"Address for callers."`
	Local      string        `default:"127.0.0.1:0" env:"LOOM_LOCAL" help:"Loopback address for the target beside this node."`
	Peers      string        `default:"127.0.0.1:0" env:"LOOM_PEERS" help:"Address for other nodes; also the ID of this node."`
	Advertise  string        `env:"LOOM_ADVERTISE" help:"Address at which peers reach this node, if it isn't --peers."`
	Operators  string        `default:"127.0.0.1:0" env:"LOOM_OPERATORS" help:"Address for health, state and metrics."`
	Platform   string        `required:"" env:"LOOM_PLATFORM" help:"Base URL of the platform's table service."`
	Secret     string        `env:"LOOM_SECRET" help:"The fleet's shared secret, at least 32 bytes. Prefer the environment or a file."`
	SecretFile string        `env:"LOOM_SECRET_FILE" help:"File with the fleet's shared secret."`
	Centre     string        `required:"" env:"LOOM_CENTRE" help:"Data centre of this instance."`
	Region     string        `default:"here" env:"LOOM_REGION" help:"Region of this instance."`
	Join       []string      `env:"LOOM_JOIN" help:"Peer addresses to contact at the start."`
	Drain      time.Duration `default:"10m" env:"LOOM_DRAIN" help:"Timeout for requests in flight at a planned stop."`
	Queue      time.Duration `default:"50ms" env:"LOOM_QUEUE" help:"Maximum queueing delay at the gate."`
	TeamsFirst bool          `env:"LOOM_TEAMS_FIRST" help:"Under overload, divide capacity among teams over all ranks below Critical together, not within each rank."`
}

func nodeVerb() Verb {
	return Verb{
		Name:    "node",
		Help:    "Run the node beside one target.",
		Command: &runNode{},
	}
}

// Run serves until a stop signal and then drains. It prints its addresses in one
// line, such as {"Callers":"127.0.0.1:7000","Local":...}.
func (r *runNode) Run(s *session) error {
	settings, err := r.settings()
	if err != nil {
		return usageError{err}
	}
	if err := settings.Check(); err != nil {
		return usageError{err}
	}
	limitMemory()
	n, err := node.New(s.context, settings, clock.New(), s.log)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(s.out, n.Addresses()); err != nil {
		return errors.Wrap(err, "printing the addresses")
	}
	return n.Run(s.context)
}

const (
	// memoryLimitBytes is the soft limit of the Go runtime's memory. Together
	// with what the runtime doesn't count, the process stays under 128 MB.
	memoryLimitBytes = 96 << 20
	// gcPercent is the growth of the heap, relative to the live heap, at which
	// garbage is collected. The heap is small, so collecting more often would
	// waste processor time.
	gcPercent = 800
)

// limitMemory configures garbage collection, unless the operator did so with GOGC
// or GOMEMLIMIT.
func limitMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}

func (r *runNode) settings() (setup.Setup, error) {
	secret, err := r.secret()
	return setup.Setup{
		Callers:     r.Callers,
		Local:       r.Local,
		Peers:       r.Peers,
		Operators:   r.Operators,
		Advertise:   r.Advertise,
		Platform:    r.Platform,
		Secret:      secret,
		Centre:      r.Centre,
		Region:      r.Region,
		Join:        r.Join,
		DrainMillis: r.Drain.Milliseconds(),
		QueueMillis: float64(r.Queue.Milliseconds()),
		TeamsFirst:  r.TeamsFirst,
	}, err
}

func (r *runNode) secret() ([]byte, error) {
	if r.SecretFile == "" {
		return []byte(r.Secret), nil
	}
	content, err := os.ReadFile(r.SecretFile)
	if err != nil {
		return nil, errors.Wrap(err, "--secret-file")
	}
	return []byte(strings.TrimSpace(string(content))), nil
}
