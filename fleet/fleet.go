// Package fleet runs a small fleet as separate processes: the platform's
// stand-in, and for each instance a node with a stand-in target.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/inst"
	"bergamotloom.example/layout"
	"bergamotloom.example/proc"
	"bergamotloom.example/relay"
	"bergamotloom.example/runlog"
	"bergamotloom.example/runrec"
)

const (
	startTime = 20 * time.Second
	anyPort   = ":0"
	// Instances get the addresses 127.0.1.1 and on.
	firstNet    = 1
	hostsPerNet = 250
)

// Fleet is a running fleet. Its methods are for one goroutine, but Runs.
type Fleet struct {
	binary    string
	directory string
	layout    layout.Layout
	Platform  *proc.Proc
	Instances []*inst.Instance
}

// Start starts all processes of the layout with the binary, with logs and
// records in the directory. Close must be called also after an error.
func Start(ctx context.Context, binary, directory string, l layout.Layout) (*Fleet, error) {
	f := &Fleet{binary: binary, directory: directory, layout: l}
	platform, err := f.start(ctx, "platform", nil, "standin", "platform")
	if err != nil {
		return f, err
	}
	f.Platform = platform
	for _, s := range l.Services {
		for _, centre := range l.Centres {
			for number := range s.PerCentre {
				f.add(s.Name, centre, number+1)
			}
		}
	}
	if err := f.startRelays(); err != nil {
		return f, err
	}
	return f, f.startInstances(ctx)
}

func (f *Fleet) startRelays() error {
	if !f.layout.Relayed {
		return nil
	}
	for _, in := range f.Instances {
		var err error
		if in.PeerRelay, err = relay.New(in.Host+anyPort, ""); err != nil {
			return err
		}
		if in.TargetRelay, err = relay.New(in.Host+anyPort, ""); err != nil {
			return err
		}
	}
	return nil
}

// startInstances starts one node and then all others at once, which join it.
func (f *Fleet) startInstances(ctx context.Context) error {
	failed := make([]error, len(f.Instances))
	var done sync.WaitGroup
	for i, in := range f.Instances {
		if i == 0 {
			failed[i] = f.startBoth(ctx, in)
			continue
		}
		done.Go(func() { failed[i] = f.startBoth(ctx, in) })
	}
	done.Wait()
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startBoth(ctx context.Context, in *inst.Instance) error {
	if err := f.StartNode(ctx, in); err != nil {
		return err
	}
	return f.StartTarget(ctx, in)
}

func (f *Fleet) add(service, centre string, number int) {
	place := len(f.Instances)
	name := fmt.Sprintf("%s-%s-%d", service, centre, number)
	f.Instances = append(f.Instances, &inst.Instance{
		Name:    name,
		Service: service,
		Centre:  centre,
		Host:    fmt.Sprintf("127.0.%d.%d", firstNet+place/hostsPerNet, 1+place%hostsPerNet),
		Record:  filepath.Join(f.directory, name+".runs"),
	})
}

func (f *Fleet) start(ctx context.Context, name string, env []string, args ...string) (*proc.Proc, error) {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	p, err := proc.Start(ctx, filepath.Join(f.directory, name+".log"), env, f.binary, args...)
	return p, errors.Wrapf(err, "fleet: %s", name)
}

// ports is the line that a node prints when it's ready.
type ports struct {
	Callers   string
	Local     string
	Peers     string
	Operators string
}

// StartNode starts the instance's node, on the addresses that an earlier life
// of it had.
func (f *Fleet) StartNode(ctx context.Context, in *inst.Instance) error {
	args := []string{
		"node",
		"--callers", orAny(in.Callers, in.Host),
		"--local", orAny(in.Local, in.Host),
		"--peers", orAny(in.Peers, in.Host),
		"--operators", orAny(in.Operators, in.Host),
		"--platform", f.Platform.FirstLine(),
		"--centre", in.Centre,
		"--region", f.layout.Region,
	}
	if in.PeerRelay != nil {
		args = append(args, "--advertise", in.PeerRelay.Address())
	}
	if join := f.joinAddresses(in); len(join) > 0 {
		args = append(args, "--join", strings.Join(join, ","))
	}
	node, err := f.start(ctx, in.Name+".node", []string{"LOOM_SECRET=" + f.layout.Secret}, append(args, f.layout.NodeArgs...)...)
	if err != nil {
		return err
	}
	in.Node = node
	if in.Callers != "" {
		return nil // the addresses are those of its earlier life
	}
	var p ports
	if err := json.Unmarshal([]byte(node.FirstLine()), &p); err != nil {
		return errors.Wrapf(err, "fleet: reading the addresses of %s", in.Name)
	}
	in.Callers, in.Local, in.Peers, in.Operators = p.Callers, p.Local, p.Peers, p.Operators
	if in.PeerRelay != nil {
		in.PeerRelay.SetTarget(in.Peers)
	}
	return nil
}

func orAny(address, host string) string {
	if address != "" {
		return address
	}
	return host + anyPort
}

// joinAddresses names the first node, which was started before all others, or
// for that one the second, if it's back after an end.
func (f *Fleet) joinAddresses(in *inst.Instance) []string {
	for _, other := range f.Instances[:min(2, len(f.Instances))] {
		if other != in && other.Peers != "" {
			return []string{other.AdvertisedAddress()}
		}
	}
	return nil
}

// StartTarget starts the instance's target, on the address that an earlier
// life of it had.
func (f *Fleet) StartTarget(ctx context.Context, in *inst.Instance) error {
	args := []string{
		"standin", "target",
		"--listen", orAny(in.TargetAddress, in.Host),
		"--node", in.Local,
		"--service", in.Service,
		"--record", in.Record,
	}
	if in.TargetRelay != nil {
		args = append(args, "--announce", in.TargetRelay.Address())
	}
	for _, s := range f.layout.Services {
		if s.Name == in.Service {
			args = append(args, s.TargetArgs...)
		}
	}
	target, err := f.start(ctx, in.Name+".target", nil, args...)
	if err != nil {
		return err
	}
	in.Target = target
	in.TargetAddress = target.FirstLine()
	if in.TargetRelay != nil {
		in.TargetRelay.SetTarget(in.TargetAddress)
	}
	return nil
}

// Close ends all processes that the fleet started.
func (f *Fleet) Close() {
	for _, in := range f.Instances {
		end(in.Target)
		end(in.Node)
		closeRelay(in.PeerRelay)
		closeRelay(in.TargetRelay)
	}
	end(f.Platform)
}

func end(p *proc.Proc) {
	if p != nil {
		p.Kill()
	}
}

func closeRelay(r *relay.Relay) {
	if r != nil {
		r.Close()
	}
}

// InstancesOf returns the instances of one service.
func (f *Fleet) InstancesOf(service string) []*inst.Instance {
	var found []*inst.Instance
	for _, in := range f.Instances {
		if in.Service == service {
			found = append(found, in)
		}
	}
	return found
}

// CallerAddresses returns the addresses of all nodes' caller ports.
func (f *Fleet) CallerAddresses() []string {
	addresses := make([]string, 0, len(f.Instances))
	for _, in := range f.Instances {
		addresses = append(addresses, in.Callers)
	}
	return addresses
}

// Runs returns what all targets recorded since the start of the fleet, also
// those that were killed since.
func (f *Fleet) Runs() ([]runrec.Run, error) {
	var all []runrec.Run
	for _, in := range f.Instances {
		runs, err := readRuns(in.Record)
		if err != nil {
			return nil, errors.Wrapf(err, "fleet: runs of %s", in.Name)
		}
		all = append(all, runs...)
	}
	return all, nil
}

func readRuns(path string) ([]runrec.Run, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "opening the record")
	}
	defer func() { _ = file.Close() }()
	return runlog.Read(file)
}

// RunCommand runs one command of the binary against the fleet's platform and returns
// what it wrote and its exit code.
func (f *Fleet) RunCommand(ctx context.Context, args ...string) (string, int, error) {
	return proc.Run(ctx, f.binary, args...)
}
