package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// graceBefore and graceAfter are the grace periods of the pages' deployments: that of the
	// large one, and that of all others.
	graceBefore = 10 * time.Second
	graceAfter  = 6 * time.Second
	// settleTime is the time between the change of the settings and the planned stop.
	settleTime     = 4 * time.Second
	orderWorkTime  = 800 * time.Millisecond
	orderClients   = 12
	orderDeadline  = 5000
	lateAfterStop  = 3 * time.Second
	orderReadLimit = 6 * time.Second
)

// order is one unsafe request of a client that keeps its connection.
type order struct {
	id       string
	sentAt   time.Time
	endedAt  time.Time
	answered bool
	text     string
}

// shorterGrace changes the grace period in the settings of a running node, and later stops the
// node as planned, with the new grace period.
func shorterGrace(f *fleet, trouble bool) (outcome, error) {
	f.configure(`["order","lakes.example","/order/","unsafe","5000ms","1500ms",0,null,2,false,"desk"]`)
	f.grace = graceBefore
	for _, zone := range []string{"z1", "z2"} {
		if _, err := f.addMachine(zone, "desk", 89, orderWorkTime); err != nil {
			return outcome{}, err
		}
	}
	if err := f.waitReady("/order/probe"); err != nil {
		return outcome{}, err
	}
	grace := graceBefore
	if trouble {
		grace = graceAfter
		f.grace = graceAfter
		for _, m := range f.machines {
			if err := m.writeSettings(false); err != nil {
				return outcome{}, err
			}
			f.rec.line("settings of %s now have grace=%v, SIGHUP", m.name, graceAfter)
			m.node.Hangup()
		}
	}
	time.Sleep(settleTime)
	taker := f.machines[0]
	var mutex sync.Mutex
	var orders []order
	var clients sync.WaitGroup
	for c := range orderClients {
		clients.Go(func() {
			// Clients are not in step.
			time.Sleep(time.Duration(c) * orderWorkTime / orderClients)
			client := &http.Client{Timeout: orderReadLimit}
			defer client.CloseIdleConnections()
			for i := 0; taker.node.Alive() && f.context.Err() == nil; i++ {
				o := sendOrder(client, taker, fmt.Sprintf("o%d-%d", c, i))
				mutex.Lock()
				orders = append(orders, o)
				mutex.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	stoppedAt := time.Now()
	f.rec.line("SIGTERM to %s, grace %v", taker.name, grace)
	taker.node.Terminate()
	for taker.node.Alive() && time.Since(stoppedAt) < grace {
		time.Sleep(5 * time.Millisecond)
	}
	if taker.node.Alive() {
		f.rec.line("SIGKILL to %s at the end of its grace", taker.name)
		taker.node.Kill()
	}
	clients.Wait()
	return judgeOrders(f, orders, stoppedAt), nil
}

// judgeOrders counts the requests sent later than lateAfterStop after the signal that ran and
// have no answer.
func judgeOrders(f *fleet, orders []order, stoppedAt time.Time) outcome {
	runs := f.runs()
	broken := 0
	for _, o := range orders {
		late := o.sentAt.Sub(stoppedAt) > lateAfterStop
		lost := late && !o.answered && runs[o.id] > 0 && o.endedAt.Sub(o.sentAt) < orderDeadline*time.Millisecond
		f.rec.line("request %s sent=%.3f runs=%d answered=%v lost=%v %s", o.id, o.sentAt.Sub(f.rec.startedAt).Seconds(), runs[o.id], o.answered, lost, o.text)
		if lost {
			broken++
		}
	}
	return outcome{broken, fmt.Sprintf("LOST: %d unsafe requests, sent more than %v after the signal and passed on, had no answer, of %d sent", broken, lateAfterStop, len(orders))}
}

func sendOrder(client *http.Client, m *machine, id string) order {
	o := order{id: id, sentAt: time.Now()}
	defer func() { o.endedAt = time.Now() }()
	r, err := http.NewRequestWithContext(m.fleet.context, http.MethodPost, "http://"+m.address(outboundPort)+"/order/"+id, strings.NewReader(strings.Repeat("b", 300)))
	if err != nil {
		o.text = err.Error()
		return o
	}
	// An order is sent once.
	r.GetBody = nil
	r.Host = "lakes.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(orderDeadline))
	r.Header.Set("Authorization", "Bearer key-north")
	response, err := client.Do(r)
	if err != nil {
		o.text, o.endedAt = err.Error(), time.Now()
		return o
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	o.answered, o.text, o.endedAt = err == nil, fmt.Sprintf("status=%d", response.StatusCode), time.Now()
	return o
}
