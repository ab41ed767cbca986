// Package demo runs a demonstration of the product: it starts a small fleet as
// separate processes, applies an example configuration, sends traffic,
// withdraws an API key, stops a node gracefully, and then checks with the run
// records of the targets that every guarantee was kept.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/answer"
	"bergamotloom.example/clock"
	"bergamotloom.example/fleet"
	"bergamotloom.example/inst"
	"bergamotloom.example/layout"
	"bergamotloom.example/load"
	"bergamotloom.example/plan"
	"bergamotloom.example/sender"
	"bergamotloom.example/tally"
)

const (
	// loadSeconds is how long traffic is sent. It covers the withdrawal of the
	// key and the stop of the node.
	loadSeconds       = 16
	loadRatePerSecond = 250
	// withdrawDelay and stopDelay are the times from the start of the traffic to
	// the withdrawal of the key and to the stop of the node.
	withdrawDelay = 3 * time.Second
	stopDelay     = 8 * time.Second

	timeoutMillis = 5000
	readyTimeout  = 20 * time.Second

	// withdrawnTeam is the team whose API key is withdrawn.
	withdrawnTeam = "lake-kiosks"
	keyPrefix     = "demo-key-"
)

// Demo is one run of the demonstration.
type Demo struct {
	binary    string
	example   string
	directory string
	out       io.Writer
	fleet     *fleet.Fleet
	plan      plan.Plan
	findings  []finding
	responses *responses
}

// finding is one guarantee and the result of its check.
type finding struct {
	guarantee string
	result    string
	kept      bool
}

// New returns a demonstration that runs commands of the binary, uses the
// configuration in the example folder, keeps its files in the directory, and
// prints to out.
func New(binary, example, directory string, out io.Writer) *Demo {
	return &Demo{binary: binary, example: example, directory: directory, out: out, responses: newResponses()}
}

// Run runs the demonstration. It returns an error if a step fails or a guarantee
// wasn't kept.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.fleet.Close()
	totals, err := d.runTraffic(ctx)
	if err != nil {
		return err
	}
	return d.check(totals)
}

// start starts the fleet and waits until the example configuration is in force.
func (d *Demo) start(ctx context.Context) error {
	d.printf("Starting the platform's stand-in, four services in three data centres, and a node beside each target.")
	f, err := fleet.Start(ctx, d.binary, d.directory, exampleLayout())
	d.fleet = f
	if err != nil {
		return err
	}
	if err := copyFolder(d.example, d.configFolder()); err != nil {
		return err
	}
	if err := d.apply(ctx); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

// exampleLayout is the fleet of the example company, Prairie Paddle, with one
// target for each service in each data centre. A reservation calls the services
// that hold a boat and make a quote; the quote calls for the state of the
// waiver.
func exampleLayout() layout.Layout {
	return layout.New("north", "south", "west").
		WithService("availability", 1, "--slots=100", "--work-millis=4", "--key-mark="+keyPrefix).
		WithService("booking", 1, "--slots=60", "--work-millis=6", "--key-mark="+keyPrefix,
			"--call=/reservations=POST /internal/holds,/internal/quotes/boat").
		WithService("payment", 1, "--slots=20", "--work-millis=8", "--key-mark="+keyPrefix,
			"--call=/internal/quotes/boat=/internal/waiver-state/family").
		WithService("documents", 1, "--slots=40", "--work-millis=5", "--key-mark="+keyPrefix)
}

// runTraffic sends the load, and withdraws a key and stops a node meanwhile.
func (d *Demo) runTraffic(ctx context.Context) (*tally.Tally, error) {
	d.printf("Sending %d requests a second of six teams for %d s.", loadRatePerSecond, loadSeconds)
	stoppedInstance := d.fleet.InstancesOf("booking")[0]
	d.plan = d.examplePlan(stoppedInstance)
	s := sender.New(timeoutMillis)
	defer s.Close()
	generator := load.New(d.plan, clock.New(), s).Watch(d.responses.add)
	var wait sync.WaitGroup
	var withdrawErr, stopErr error
	wait.Go(func() { withdrawErr = d.withdrawKey(ctx) })
	wait.Go(func() { stopErr = d.stopNode(ctx, stoppedInstance) })
	totals := generator.Run(ctx)
	wait.Wait()
	if withdrawErr != nil {
		return nil, withdrawErr
	}
	return totals, stopErr
}

// examplePlan returns the traffic: requests of all teams except the one whose key
// is withdrawn, to all nodes except the one that stops.
func (d *Demo) examplePlan(stoppedInstance *inst.Instance) plan.Plan {
	var nodes []string
	for _, in := range d.fleet.Instances {
		if in != stoppedInstance {
			nodes = append(nodes, in.Callers)
		}
	}
	p := plan.New("demo", 1).WithNodes(nodes...).WithTimeout(timeoutMillis).WithPhase(loadSeconds, loadRatePerSecond)
	weights := []struct {
		team   string
		weight float64
	}{
		{"families-web", 6},
		{"families-app", 5},
		{"booking-systems", 4},
		{"dock-attendants", 2},
		{"school-groups", 1},
		{"resort-partners", 1},
	}
	for _, w := range weights {
		p = p.WithTeam(w.team, keyPrefix+w.team, w.weight)
	}
	return p.
		WithRoute("availability", "GET", "/availability/boats", 8).
		WithRoute("reserve", "POST", "/reservations", 4).
		WithRoute("pay", "POST", "/payments", 2).
		WithRoute("waivers", "GET", "/waivers/form", 2).
		WithRoute("safety-guides", "GET", "/guides/lake", 1)
}

func (d *Demo) configFolder() string {
	return filepath.Join(d.directory, "config")
}

// apply puts the configuration folder in force on all nodes.
func (d *Demo) apply(ctx context.Context) error {
	args := []string{"apply", d.configFolder(), "--platform", d.fleet.Platform.ReadyLine(), "--who", "demo"}
	for _, in := range d.fleet.Instances {
		args = append(args, "--nodes", in.Operators)
	}
	out, exitCode, err := d.fleet.RunCommand(ctx, args...)
	if err != nil {
		return err
	}
	if exitCode != 0 {
		return errors.Errorf("demo: apply ended with %d: %s", exitCode, out)
	}
	d.printf("apply: %s", firstLine(out))
	return nil
}

func (d *Demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, format+"\n", args...)
}

// addFinding records whether a guarantee was kept, and the result of its check.
func (d *Demo) addFinding(kept bool, guarantee, format string, args ...any) {
	d.findings = append(d.findings, finding{guarantee, fmt.Sprintf(format, args...), kept})
}

// copyFolder copies a folder.
func copyFolder(from, to string) error {
	return errors.Wrap(os.CopyFS(to, os.DirFS(from)), "demo: copying the example")
}

// responses holds the last response to each request, by marker.
type responses struct {
	mutex sync.Mutex
	all   map[string]answer.Outcome
}

func newResponses() *responses {
	return &responses{all: make(map[string]answer.Outcome)}
}

func (r *responses) add(got answer.Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.all[got.Marker] = got
}
