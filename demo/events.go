package demo

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/header"
	"bergamotloom.example/inst"
	"bergamotloom.example/keys"
	"bergamotloom.example/pause"
)

const (
	// maxWithdrawDelay is the guaranteed time within which a withdrawn key stops
	// working.
	maxWithdrawDelay = 5 * time.Second
	// watchDuration is how long after withdrawDelay requests with the old key
	// are still sent: longer than maxWithdrawDelay, to detect a key that keeps
	// working.
	watchDuration = 7 * time.Second
	watchInterval = 20 * time.Millisecond
	// maxLeaveDelay is the guaranteed time after which a leaving target gets no
	// new requests.
	maxLeaveDelay     = 3 * time.Second
	drainTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// waitReady waits until every node serves a request.
func (d *Demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, in := range d.fleet.Instances {
		for {
			status, err := sendRequest(ctx, http.DefaultClient, in.Callers, "families-web")
			if err == nil && status == http.StatusOK {
				break
			}
			if !pause.For(ctx, readyPollInterval) {
				return errors.Errorf("demo: %s isn't ready: status %d, %v", in.Name, status, err)
			}
		}
	}
	return nil
}

// sendRequest sends one request of a team and returns the status of the response.
func sendRequest(ctx context.Context, client *http.Client, node, team string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/availability/boats", http.NoBody)
	if err != nil {
		return 0, errors.Wrap(err, "demo")
	}
	request.Header.Set(header.Authorization, header.Bearer+keyPrefix+team)
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "demo")
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.Wrap(err, "demo")
}

// withdrawKey replaces the API key of one team in the configuration and applies
// it, while requests with the old key are sent all the time on connections that
// stay open.
func (d *Demo) withdrawKey(ctx context.Context) error {
	watchContext, cancel := context.WithTimeout(ctx, withdrawDelay+watchDuration)
	defer cancel()
	lastServedTimes := make(chan time.Time)
	for _, in := range d.fleet.Instances {
		go func() { lastServedTimes <- lastServed(watchContext, in.Callers) }()
	}
	if !pause.For(ctx, withdrawDelay) {
		return ctx.Err()
	}
	if err := d.replaceKey(); err != nil {
		return err
	}
	applyStart := time.Now()
	if err := d.apply(ctx); err != nil {
		return err
	}
	latest := time.Duration(0)
	for range d.fleet.Instances {
		latest = max(latest, (<-lastServedTimes).Sub(applyStart))
	}
	d.addFinding(latest <= maxWithdrawDelay, "A withdrawn key stops working within 5 s, on open connections",
		"last served %.2f s after apply began", latest.Seconds())
	return nil
}

// lastServed sends requests with the key on one connection until ctx ends, and
// returns the start time of the last one that was served.
func lastServed(ctx context.Context, node string) time.Time {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	var last time.Time
	for pause.For(ctx, watchInterval) {
		start := time.Now()
		status, err := sendRequest(ctx, client, node, withdrawnTeam)
		if err == nil && status == http.StatusOK {
			last = start
		}
	}
	return last
}

// replaceKey replaces the hash of the team's key with that of a new key.
func (d *Demo) replaceKey() error {
	path := filepath.Join(d.configFolder(), "10-teams.yaml")
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	oldHash := keys.Hash(keyPrefix + withdrawnTeam)
	if !strings.Contains(string(content), oldHash) {
		return errors.Errorf("demo: %s doesn't hold the key of %s", path, withdrawnTeam)
	}
	newContent := strings.Replace(string(content), oldHash, keys.Hash(keys.New()), 1)
	return errors.Wrap(os.WriteFile(path, []byte(newContent), 0o600), "demo")
}

// stopNode stops one node gracefully and waits for its end.
func (d *Demo) stopNode(ctx context.Context, in *inst.Instance) error {
	if !pause.For(ctx, stopDelay) {
		return ctx.Err()
	}
	d.printf("Stopping the node of %s gracefully.", in.Name)
	stopTime := time.Now()
	in.Node.Terminate()
	drainContext, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	exitCode, err := in.Node.Wait(drainContext)
	if err != nil {
		return errors.Wrapf(err, "demo: %s didn't stop", in.Name)
	}
	d.addFinding(exitCode == 0, "A planned stop ends by itself", "exit code %d after %.1f s", exitCode, time.Since(stopTime).Seconds())
	d.checkNoLateRuns(in, stopTime)
	return nil
}

// checkNoLateRuns checks that no run began at the target of the stopped node more
// than maxLeaveDelay after the stop.
func (d *Demo) checkNoLateRuns(in *inst.Instance, stopTime time.Time) {
	runs, err := d.fleet.Runs()
	if err != nil {
		d.addFinding(false, "A leaving target gets no new work after 3 s", "%v", err)
		return
	}
	lateRuns := 0
	for _, r := range runs {
		if r.Target == in.TargetAddress && r.StartMillis > stopTime.Add(maxLeaveDelay).UnixMilli() {
			lateRuns++
		}
	}
	d.addFinding(lateRuns == 0, "A leaving target gets no new work after 3 s", "%d runs began later", lateRuns)
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
	return line
}
