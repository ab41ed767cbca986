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
	startTimeout = 20 * time.Second
	anyPort      = ":0"
	// Instances get the loopback addresses from 127.0.1.1 on.
	firstSubnet    = 1
	hostsPerSubnet = 250
)

// Fleet is a running fleet. Only Runs is safe for concurrent use.
type Fleet struct {
	binary    string
	directory string
	layout    layout.Layout
	Platform  *proc.Proc
	Instances []*inst.Instance
}

// Start starts all processes of the layout with the binary. Logs and run
// records are written to the directory. The returned fleet is valid also with
// an error, and Close must be called in either case.
func Start(ctx context.Context, binary, directory string, l layout.Layout) (*Fleet, error) {
	f := &Fleet{binary: binary, directory: directory, layout: l}
	platform, err := f.start(ctx, "platform", nil, "standin", "platform")
	if err != nil {
		return f, err
	}
	f.Platform = platform
	for _, s := range l.Services {
		for _, centre := range l.Centres {
			for number := range s.InstancesPerCentre {
				f.addInstance(s.Name, centre, number+1)
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

// startInstances starts the first instance, and then all others in parallel,
// which join its node.
func (f *Fleet) startInstances(ctx context.Context) error {
	startErrors := make([]error, len(f.Instances))
	var wait sync.WaitGroup
	for i, in := range f.Instances {
		if i == 0 {
			startErrors[i] = f.startInstance(ctx, in)
			continue
		}
		wait.Go(func() { startErrors[i] = f.startInstance(ctx, in) })
	}
	wait.Wait()
	for _, err := range startErrors {
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startInstance(ctx context.Context, in *inst.Instance) error {
	if err := f.StartNode(ctx, in); err != nil {
		return err
	}
	return f.StartTarget(ctx, in)
}

func (f *Fleet) addInstance(service, centre string, number int) {
	index := len(f.Instances)
	name := fmt.Sprintf("%s-%s-%d", service, centre, number)
	f.Instances = append(f.Instances, &inst.Instance{
		Name:       name,
		Service:    service,
		Centre:     centre,
		Host:       fmt.Sprintf("127.0.%d.%d", firstSubnet+index/hostsPerSubnet, 1+index%hostsPerSubnet),
		RecordPath: filepath.Join(f.directory, name+".runs"),
	})
}

func (f *Fleet) start(ctx context.Context, name string, env []string, args ...string) (*proc.Proc, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	p, err := proc.Start(ctx, filepath.Join(f.directory, name+".log"), env, f.binary, args...)
	return p, errors.Wrapf(err, "fleet: %s", name)
}

// ports is the JSON line that a node prints when it's ready: the addresses of
// its ports.
type ports struct {
	Callers   string
	Local     string
	Peers     string
	Operators string
}

// StartNode starts the instance's node, on the addresses of its previous
// incarnation if there was one.
func (f *Fleet) StartNode(ctx context.Context, in *inst.Instance) error {
	args := []string{
		"node",
		"--callers", orAnyPort(in.Callers, in.Host),
		"--local", orAnyPort(in.Local, in.Host),
		"--peers", orAnyPort(in.Peers, in.Host),
		"--operators", orAnyPort(in.Operators, in.Host),
		"--platform", f.Platform.ReadyLine(),
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
		return nil // the addresses are those of the previous incarnation
	}
	var p ports
	if err := json.Unmarshal([]byte(node.ReadyLine()), &p); err != nil {
		return errors.Wrapf(err, "fleet: reading the addresses of %s", in.Name)
	}
	in.Callers, in.Local, in.Peers, in.Operators = p.Callers, p.Local, p.Peers, p.Operators
	if in.PeerRelay != nil {
		in.PeerRelay.SetServer(in.Peers)
	}
	return nil
}

func orAnyPort(address, host string) string {
	if address != "" {
		return address
	}
	return host + anyPort
}

// joinAddresses returns the address of the first node, which is started before
// all others. If the first node itself is restarted, it joins the second one.
func (f *Fleet) joinAddresses(in *inst.Instance) []string {
	for _, other := range f.Instances[:min(2, len(f.Instances))] {
		if other != in && other.Peers != "" {
			return []string{other.AdvertisedAddress()}
		}
	}
	return nil
}

// StartTarget starts the instance's target, on the address of its previous
// incarnation if there was one.
func (f *Fleet) StartTarget(ctx context.Context, in *inst.Instance) error {
	args := []string{
		"standin", "target",
		"--listen", orAnyPort(in.TargetAddress, in.Host),
		"--node", in.Local,
		"--service", in.Service,
		"--record", in.RecordPath,
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
	in.TargetAddress = target.ReadyLine()
	if in.TargetRelay != nil {
		in.TargetRelay.SetServer(in.TargetAddress)
	}
	return nil
}

// Close kills all processes that the fleet started, and closes its relays.
func (f *Fleet) Close() {
	for _, in := range f.Instances {
		kill(in.Target)
		kill(in.Node)
		closeRelay(in.PeerRelay)
		closeRelay(in.TargetRelay)
	}
	kill(f.Platform)
}

func kill(p *proc.Proc) {
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

// CallerAddresses returns the addresses of the caller ports of all nodes.
func (f *Fleet) CallerAddresses() []string {
	addresses := make([]string, 0, len(f.Instances))
	for _, in := range f.Instances {
		addresses = append(addresses, in.Callers)
	}
	return addresses
}

// Runs returns the runs that all targets recorded since the start of the fleet,
// including targets that were killed.
func (f *Fleet) Runs() ([]runrec.Run, error) {
	var all []runrec.Run
	for _, in := range f.Instances {
		runs, err := readRuns(in.RecordPath)
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
		return nil, errors.Wrap(err, "opening the record of runs")
	}
	defer func() { _ = file.Close() }()
	return runlog.Read(file)
}

// RunCommand runs the binary with the arguments to its end and returns its
// combined output and its exit code.
func (f *Fleet) RunCommand(ctx context.Context, args ...string) (string, int, error) {
	return proc.Run(ctx, f.binary, args...)
}
