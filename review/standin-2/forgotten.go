package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"bergamotloom.example/platform/rows"
)

const (
	drainBound = 2 * time.Second
	stability  = 3 * time.Second
	// storeDownTime is the longest outage of the store in the site files, killDownTime the
	// longest time for which their closing faults keep processes down.
	storeDownTime = 4500 * time.Millisecond
	killDownTime  = 650 * time.Millisecond
	// leaveDelay is the time from the start of the outage to the leave request.
	leaveDelay = 300 * time.Millisecond
	// killDelay is the time from the acknowledgement to the kill of all processes.
	killDelay = time.Second
	// lateness is how late the last heartbeat before the leave request arrives.
	lateness = 2500 * time.Millisecond
	// staysTime is how long the server serves after its leave was acknowledged.
	staysTime     = 9 * time.Second
	leaveClients  = 6
	leavePause    = 25 * time.Millisecond
	leaveDeadline = 1500
	leaveWorkTime = 20 * time.Millisecond
)

// call is one request of a client.
type call struct {
	id     string
	sentAt time.Time
	status int
}

// forgottenLeave has a server leave while the store is down, and then kills all processes. One
// heartbeat that the server sent before its leave request arrives after that.
func forgottenLeave(f *fleet, trouble bool) (outcome, error) {
	f.configure(`["order","lakes.example","/order/","unsafe","1500ms","400ms",0,null,2,false,"desk"]`)
	for _, zone := range []string{"z1", "z2", "z1"} {
		if _, err := f.addMachine(zone, "desk", 89, leaveWorkTime); err != nil {
			return outcome{}, err
		}
	}
	if err := f.waitReady("/order/probe"); err != nil {
		return outcome{}, err
	}
	time.Sleep(stability)
	leaving := f.machines[0]
	ctx, stopClients := context.WithCancel(f.context)
	defer stopClients()
	var mutex sync.Mutex
	var calls []call
	var clients sync.WaitGroup
	for c := range leaveClients {
		clients.Go(func() {
			client := &http.Client{Timeout: 2 * time.Second}
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				r := sendUnsafe(client, f.machines[c%len(f.machines)], fmt.Sprintf("p%d-%d", c, i))
				mutex.Lock()
				calls = append(calls, r)
				mutex.Unlock()
				time.Sleep(leavePause)
			}
		})
	}
	time.Sleep(time.Second)
	var storeBackAt, startedAt time.Time
	if trouble {
		f.rec.line("the store is down (503)")
		f.store.SetFault(rows.Busy)
		storeBackAt = time.Now().Add(storeDownTime)
		time.AfterFunc(storeDownTime, func() {
			f.rec.line("the store is back")
			f.store.SetFault(rows.Healthy)
		})
	}
	time.Sleep(leaveDelay)
	leaving.beats()
	late := leaving.heartbeat()
	f.rec.line("%s sends heartbeat %d, which is delayed", leaving.server.ID, leaving.sequence.Load())
	lateAt := time.Now().Add(lateness)
	if err := leaving.server.Leave(); err != nil {
		return outcome{}, err
	}
	acknowledgedAt := time.Now()
	f.rec.line("the leave of %s is acknowledged", leaving.server.ID)
	if trouble {
		time.Sleep(killDelay)
		if err := f.killAll(); err != nil {
			return outcome{}, err
		}
		startedAt = time.Now()
	}
	time.Sleep(time.Until(lateAt))
	err := leaving.sendHeartbeat(late)
	f.rec.line("the delayed heartbeat arrives, error: %v", err)
	time.Sleep(time.Until(acknowledgedAt.Add(staysTime)))
	f.rec.line("%s exits", leaving.server.ID)
	leaving.server.Stop()
	time.Sleep(leavePause)
	stopClients()
	clients.Wait()
	return judgeLeave(f, calls, acknowledgedAt, later(startedAt, storeBackAt).Add(stability)), nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// killAll kills the processes of all nodes at once, and starts them again.
func (f *fleet) killAll() error {
	for _, m := range f.machines {
		f.rec.line("SIGKILL to %s", m.name)
		m.node.Kill()
	}
	time.Sleep(killDownTime)
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// judgeLeave counts the requests that reached the leaving server later than drainBound after
// the acknowledgement. In touch are all machines from inTouchAt on.
func judgeLeave(f *fleet, calls []call, acknowledgedAt, inTouchAt time.Time) outcome {
	leaving := f.machines[0]
	late, inTouch, lost := 0, 0, 0
	for _, c := range calls {
		runs, _ := leaving.server.Runs(c.id)
		f.rec.line("request %s sent=%.3f status=%d runs at the leaving server=%d", c.id, c.sentAt.Sub(f.rec.startedAt).Seconds(), c.status, runs)
		if runs == 0 || !c.sentAt.After(acknowledgedAt.Add(drainBound)) {
			continue
		}
		late++
		if c.status != http.StatusOK {
			lost++
		}
		if c.sentAt.After(inTouchAt) {
			inTouch++
		}
	}
	return outcome{inTouch, fmt.Sprintf("DRAIN: %d unsafe requests reached %s more than %v after its leave was acknowledged, %d of them sent while all machines were in touch, of %d sent; %d ended without the server's answer", late, leaving.server.ID, drainBound, inTouch, len(calls), lost)}
}

func sendUnsafe(client *http.Client, m *machine, id string) call {
	c := call{id: id, sentAt: time.Now()}
	r, err := http.NewRequestWithContext(m.fleet.context, http.MethodPost, "http://"+m.address(outboundPort)+"/order/"+id, strings.NewReader("order"))
	if err != nil {
		return c
	}
	// An order is sent once.
	r.GetBody = nil
	r.Host = "lakes.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(leaveDeadline))
	r.Header.Set("Authorization", "Bearer key-north")
	response, err := client.Do(r)
	if err != nil {
		return c
	}
	defer func() { _ = response.Body.Close() }()
	c.status = response.StatusCode
	_, _ = io.Copy(io.Discard, response.Body)
	return c
}
