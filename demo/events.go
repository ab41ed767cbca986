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
	// withdrawBound is the promise: a withdrawn key stops within this time.
	withdrawBound = 5 * time.Second
	watchTime     = 7 * time.Second
	watchPause    = 20 * time.Millisecond
	// leaveBound is the promise: no new work after this time.
	leaveBound = 3 * time.Second
	drainBound = 20 * time.Second
	readyPause = 50 * time.Millisecond
)

// awaitReady waits until every node serves a request.
func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	for _, in := range d.fleet.Instances {
		for {
			status, err := ask(ctx, http.DefaultClient, in.Callers, "families-web")
			if err == nil && status == http.StatusOK {
				break
			}
			if !pause.For(ctx, readyPause) {
				return errors.Errorf("demo: %s isn't ready: status %d, %v", in.Name, status, err)
			}
		}
	}
	return nil
}

// ask sends one request of a team and returns the status of the answer.
func ask(ctx context.Context, client *http.Client, node, team string) (int, error) {
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

// withdraw takes the key of one team out of the folder and applies that, while
// the key is used all the time on connections that stay open.
func (d *Demo) withdraw(ctx context.Context) error {
	watched, cancel := context.WithTimeout(ctx, withdrawAfter+watchTime)
	defer cancel()
	lasts := make(chan time.Time)
	for _, in := range d.fleet.Instances {
		go func() { lasts <- lastServed(watched, in.Callers) }()
	}
	if !pause.For(ctx, withdrawAfter) {
		return ctx.Err()
	}
	if err := d.removeKey(); err != nil {
		return err
	}
	began := time.Now()
	if err := d.apply(ctx); err != nil {
		return err
	}
	worst := time.Duration(0)
	for range d.fleet.Instances {
		worst = max(worst, (<-lasts).Sub(began))
	}
	d.note(worst <= withdrawBound, "A withdrawn key stops working within 5 s, on open connections",
		"last served %.2f s after apply began", worst.Seconds())
	return nil
}

// lastServed uses the key all the time on one connection and returns when it
// last worked.
func lastServed(ctx context.Context, node string) time.Time {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	var last time.Time
	for pause.For(ctx, watchPause) {
		began := time.Now()
		status, err := ask(ctx, client, node, withdrawnTeam)
		if err == nil && status == http.StatusOK {
			last = began
		}
	}
	return last
}

// removeKey puts the hash of a new key in the place of the team's.
func (d *Demo) removeKey() error {
	path := filepath.Join(d.folder(), "10-teams.yaml")
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	old := keys.Hash(keyPrefix + withdrawnTeam)
	if !strings.Contains(string(content), old) {
		return errors.Errorf("demo: %s doesn't hold the key of %s", path, withdrawnTeam)
	}
	fresh := strings.Replace(string(content), old, keys.Hash(keys.New()), 1)
	return errors.Wrap(os.WriteFile(path, []byte(fresh), 0o600), "demo")
}

// stopNode asks one node to stop and waits for its end.
func (d *Demo) stopNode(ctx context.Context, in *inst.Instance) error {
	if !pause.For(ctx, stopAfter) {
		return ctx.Err()
	}
	d.say("Stopping the node of %s gracefully.", in.Name)
	asked := time.Now()
	in.Node.Terminate()
	bound, cancel := context.WithTimeout(ctx, drainBound)
	defer cancel()
	code, err := in.Node.Wait(bound)
	if err != nil {
		return errors.Wrapf(err, "demo: %s didn't stop", in.Name)
	}
	d.note(code == 0, "A planned stop ends by itself", "exit code %d after %.1f s", code, time.Since(asked).Seconds())
	d.checkLeft(in, asked)
	return nil
}

// checkLeft looks for new work at the target of the node that left.
func (d *Demo) checkLeft(in *inst.Instance, asked time.Time) {
	runs, err := d.fleet.Runs()
	if err != nil {
		d.note(false, "A leaving target gets no new work after 3 s", "%v", err)
		return
	}
	late := 0
	for _, r := range runs {
		if r.Target == in.TargetAddress && r.StartMillis > asked.Add(leaveBound).UnixMilli() {
			late++
		}
	}
	d.note(late == 0, "A leaving target gets no new work after 3 s", "%d runs began later", late)
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
	return line
}
