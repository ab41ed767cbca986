package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// servesOn is how long after its leave a server goes on serving: the bound drain and
	// a little longer.
	servesOn = drainTime + 3*time.Second
	// leaveDelay is the time from the heartbeat after the node's restart to the leave.
	leaveDelay = 100 * time.Millisecond
	// calm is the time in which the sending machine is in touch before the leave.
	calm = 4 * time.Second
	// workTime is the run time of a request.
	workTime = 20 * time.Millisecond
	// gentlePause is the time between two requests of a client.
	gentlePause = 15 * time.Millisecond
)

// leave takes a server away soon after its node was killed and is back. The server
// announces that with its leave request only, serves on, and exits. It had been restarted
// under its ID before, as planned. Another machine sends requests all the while.
func leave(b *bed, trouble bool) (int, error) {
	b.configure([]string{"desk", "shop"}, routeRow{"order", "/order/", "unsafe", "desk", time.Second, 2})
	var acknowledgedAt atomic.Int64
	late := 0
	var mutex sync.Mutex
	serveRun := func(s *server, c net.Conn, r *http.Request) bool {
		id := r.Header.Get(names.RequestID)
		if at := acknowledgedAt.Load(); at != 0 && s.id == "i-0" {
			since := time.Since(time.UnixMilli(at))
			s.record.line("server %s: %s arrives %v after the acknowledgement", s.id, id, since)
			if since > drainTime {
				mutex.Lock()
				late++
				mutex.Unlock()
			}
		}
		time.Sleep(workTime)
		return serveShort(s, c, r)
	}
	// The first two machines have servers of the called service, the third sends.
	var servers []*server
	for i, service := range []string{"desk", "desk", "shop"} {
		n, err := b.addNode(service)
		if err != nil {
			return 0, err
		}
		s, err := startServer(n, fmt.Sprintf("i-%d", i), service, serveRun)
		if err != nil {
			return 0, err
		}
		s.startBeats()
		servers = append(servers, s)
	}
	sender := b.nodes[2]
	if err := sender.waitServing("/order/0"); err != nil {
		return 0, err
	}
	restarted, err := servers[0].restart(serveRun)
	if err != nil {
		return 0, err
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { b.sendOrders(sender, done) })
	time.Sleep(calm)
	restarted.stopBeats()
	if trouble {
		b.nodes[0].kill()
		time.Sleep(downTime)
		if err := b.nodes[0].start(); err != nil {
			return 0, err
		}
	}
	b.record.line("server i-0: heartbeat, acknowledged: %t", restarted.beat())
	time.Sleep(leaveDelay)
	acknowledged := restarted.leave()
	acknowledgedAt.Store(time.Now().UnixMilli())
	b.record.line("server i-0: leaves, acknowledged: %t", acknowledged)
	time.Sleep(servesOn)
	restarted.exit()
	time.Sleep(time.Second)
	close(done)
	group.Wait()
	for _, s := range servers[1:] {
		s.exit()
	}
	if !acknowledged {
		return 0, fmt.Errorf("the leave wasn't acknowledged")
	}
	mutex.Lock()
	defer mutex.Unlock()
	return late, nil
}

// sendOrders sends requests to the node until done is closed.
func (b *bed) sendOrders(n *node, done <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(gentlePause):
		}
		id := fmt.Sprintf("or%04d", i)
		b.record.line("client: %s got %v", id, request(n, http.MethodPost, "/order/"+id, id, time.Second, "Content-Length: 0\r\n", nil))
	}
}
