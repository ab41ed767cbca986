// Package demo shows the product at work in one go: it starts a small fleet as
// processes of its own, puts an example configuration in force, sends traffic,
// withdraws a key, stops a node gracefully, and then checks by the targets' own
// records that no promise was broken.
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
	// loadSeconds is how long traffic is sent, at loadRate requests a second.
	loadSeconds = 16
	loadRate    = 250
	// withdrawAfter and stopAfter are when the key is withdrawn and the node
	// is stopped, after the start of the traffic.
	withdrawAfter = 3 * time.Second
	stopAfter     = 8 * time.Second

	timeoutMillis = 5000
	readyBound    = 20 * time.Second

	// withdrawnTeam is the team whose key is withdrawn.
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
	answers   *answers
}

// finding is one promise and what was found of it.
type finding struct {
	promise string
	found   string
	kept    bool
}

// New returns a demonstration that starts the binary's commands with the
// example folder, and keeps its files in the directory.
func New(binary, example, directory string, out io.Writer) *Demo {
	return &Demo{binary: binary, example: example, directory: directory, out: out, answers: newAnswers()}
}

// Run shows everything and returns an error if a promise was broken.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.fleet.Close()
	totals, err := d.traffic(ctx)
	if err != nil {
		return err
	}
	return d.judge(totals)
}

// start brings the fleet up with the example configuration in force.
func (d *Demo) start(ctx context.Context) error {
	d.say("Starting the platform's stand-in, four services in three data centres, and a node beside each target.")
	f, err := fleet.Start(ctx, d.binary, d.directory, paddleLayout())
	d.fleet = f
	if err != nil {
		return err
	}
	if err := copyFolder(d.example, d.folder()); err != nil {
		return err
	}
	if err := d.apply(ctx); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// paddleLayout is Prairie Paddle's fleet, with one target for each service in
// each data centre. Reservations hold a boat and ask for a quote; the quote
// asks for the waiver's state.
func paddleLayout() layout.Layout {
	return layout.New("north", "south", "west").
		WithService("availability", 1, "--slots=100", "--work-millis=4", "--key-mark="+keyPrefix).
		WithService("booking", 1, "--slots=60", "--work-millis=6", "--key-mark="+keyPrefix,
			"--call=/reservations=POST /internal/holds,/internal/quotes/boat").
		WithService("payment", 1, "--slots=20", "--work-millis=8", "--key-mark="+keyPrefix,
			"--call=/internal/quotes/boat=/internal/waiver-state/family").
		WithService("documents", 1, "--slots=40", "--work-millis=5", "--key-mark="+keyPrefix)
}

// traffic sends the load, withdraws a key and stops a node meanwhile.
func (d *Demo) traffic(ctx context.Context) (*tally.Tally, error) {
	d.say("Sending %d requests a second of six teams for %d s.", loadRate, loadSeconds)
	stopped := d.fleet.InstancesOf("booking")[0]
	d.plan = d.paddlePlan(stopped)
	s := sender.New(timeoutMillis)
	defer s.Close()
	l := load.New(d.plan, clock.New(), s).Watch(d.answers.add)
	var work sync.WaitGroup
	var withdrawErr, stopErr error
	work.Go(func() { withdrawErr = d.withdraw(ctx) })
	work.Go(func() { stopErr = d.stopNode(ctx, stopped) })
	totals := l.Run(ctx)
	work.Wait()
	if withdrawErr != nil {
		return nil, withdrawErr
	}
	return totals, stopErr
}

// paddlePlan is the traffic: all teams but the one whose key is withdrawn, at
// all nodes but the one that stops.
func (d *Demo) paddlePlan(stopped *inst.Instance) plan.Plan {
	var nodes []string
	for _, in := range d.fleet.Instances {
		if in != stopped {
			nodes = append(nodes, in.Callers)
		}
	}
	p := plan.New("demo", 1).WithNodes(nodes...).WithTimeout(timeoutMillis).WithPhase(loadSeconds, loadRate)
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

func (d *Demo) folder() string {
	return filepath.Join(d.directory, "config")
}

// apply puts the folder in force at all nodes.
func (d *Demo) apply(ctx context.Context) error {
	args := []string{"apply", d.folder(), "--platform", d.fleet.Platform.FirstLine(), "--who", "demo"}
	for _, in := range d.fleet.Instances {
		args = append(args, "--nodes", in.Operators)
	}
	out, code, err := d.fleet.RunCommand(ctx, args...)
	if err != nil {
		return err
	}
	if code != 0 {
		return errors.Errorf("demo: apply ended with %d: %s", code, out)
	}
	d.say("apply: %s", firstLine(out))
	return nil
}

func (d *Demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, format+"\n", args...)
}

func (d *Demo) note(kept bool, promise, format string, args ...any) {
	d.findings = append(d.findings, finding{promise, fmt.Sprintf(format, args...), kept})
}

// copyFolder copies a folder of small files.
func copyFolder(from, to string) error {
	return errors.Wrap(os.CopyFS(to, os.DirFS(from)), "demo: copying the example")
}

// answers keeps what callers were told of each request.
type answers struct {
	mutex sync.Mutex
	all   map[string]answer.Answer
}

func newAnswers() *answers {
	return &answers{all: make(map[string]answer.Answer)}
}

func (a *answers) add(got answer.Answer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.all[got.Marker] = got
}
