package slope

import (
	"fmt"
	"runtime"
	"syscall"

	"bergamotloom.example/gossip"
	"bergamotloom.example/member"
	"bergamotloom.example/vnet"
)

const (
	centreCount = 8
	regionCount = 3
	peerPort    = 7400
	callerPort  = 7300
	slots       = 64
	heapSettles = 2
)

// fleet is a number of nodes on a virtual net, and what they have sent.
type fleet struct {
	net      *vnet.Net
	nodes    []*gossip.Gossip
	ids      []string
	messages int64
	bytes    int64
}

func record(i, services int) member.Member {
	host := fmt.Sprintf("10.%d.%d.%d", 1+i/62500, i/250%250, i%250)
	m := member.Member{
		ID:          fmt.Sprintf("%s:%d", host, peerPort),
		Incarnation: startMillis,
		Serial:      1,
		Centre:      fmt.Sprint("centre-", i%centreCount),
		Region:      fmt.Sprint("region-", i%centreCount%regionCount),
		Callers:     fmt.Sprintf("%s:%d", host, callerPort),
	}
	return m.WithTarget(fmt.Sprint("service-", i%services), slots)
}

// newFleet returns n nodes that know each other and have come to rest.
func newFleet(n, services int, seed uint64) *fleet {
	f := &fleet{net: vnet.New(startMillis, seed)}
	f.net.Overhear = func(_, _ string, message []byte) {
		f.messages++
		f.bytes += int64(len(message))
	}
	records := make([]member.Member, n)
	for i := range n {
		records[i] = record(i, services)
		f.add(records[i], seed)
	}
	for _, g := range f.nodes {
		for _, m := range records {
			g.Learn(m)
		}
	}
	f.net.Run(warmMillis, nil)
	return f
}

func (f *fleet) add(m member.Member, seed uint64) *gossip.Gossip {
	g := gossip.New(m, f.net.Clock(), seed+uint64(len(f.nodes)), f.net.Sender(m.ID))
	f.nodes = append(f.nodes, g)
	f.ids = append(f.ids, m.ID)
	f.net.Add(m.ID, g)
	return g
}

// usage is what the whole fleet used in a span of time.
type usage struct {
	messages, bytes float64
	micros          float64
}

// measure runs the work and returns what it used.
func (f *fleet) measure(work func()) usage {
	messages, bytes, micros := f.messages, f.bytes, processorMicros()
	work()
	return usage{
		messages: float64(f.messages - messages),
		bytes:    float64(f.bytes - bytes),
		micros:   float64(processorMicros() - micros),
	}
}

// processorMicros returns the processor time of the whole process. It counts
// the virtual net and the collector too, so it's more than the protocol takes.
func processorMicros() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("slope: the system doesn't tell the processor time: " + err.Error())
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / 1000
}

// heapBytes returns the size of what is in use after a collection.
func heapBytes() int64 {
	for range heapSettles {
		runtime.GC()
	}
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// idle measures the rates while nothing changes.
func (f *fleet) idle() idle {
	n := float64(len(f.nodes))
	seconds := float64(spanMillis) / 1000
	u := f.measure(func() { f.net.Run(spanMillis, nil) })
	return idle{
		Nodes:             len(f.nodes),
		MessagesPerSecond: u.messages / n / seconds,
		BytesPerSecond:    u.bytes / n / seconds,
		ProcessorPercent:  percent * u.micros / 1e6 / n / seconds,
	}
}

// events measures what changes of each kind add to that.
func (f *fleet) events() []event {
	rest := f.measure(func() { f.net.Run(spanMillis, nil) })
	version := int64(0)
	fact := func(size int) func(g *gossip.Gossip) {
		return func(g *gossip.Gossip) {
			version++
			g.Publish("config", version, make([]byte, size))
		}
	}
	update := func(g *gossip.Gossip) {
		g.Update(func(m member.Member) member.Member { return m })
	}
	return []event{
		f.event(fmt.Sprintf("fact of %d bytes", smallValue), rest, fact(smallValue)),
		f.event(fmt.Sprintf("fact of %d bytes", largeValue), rest, fact(largeValue)),
		f.event("member", rest, update),
	}
}

func (f *fleet) event(kind string, rest usage, change func(g *gossip.Gossip)) event {
	u := f.measure(func() {
		for i := range changes {
			change(f.nodes[i*7%len(f.nodes)])
			f.net.Run(spanMillis/changes, nil)
		}
	})
	share := float64(len(f.nodes) * changes)
	f.net.Run(warmMillis, nil)
	return event{
		Nodes:           len(f.nodes),
		Kind:            kind,
		Messages:        (u.messages - rest.messages) / share,
		Bytes:           (u.bytes - rest.bytes) / share,
		ProcessorMicros: (u.micros - rest.micros) / share,
	}
}

// joinFleet lets a node join by a peer that knows n members. Only these two
// run.
func joinFleet(n, services int, seed uint64) join {
	f := &fleet{net: vnet.New(startMillis, seed)}
	peer := f.add(record(0, services), seed)
	for i := 1; i < n; i++ {
		peer.Learn(record(i, services))
	}
	f.net.Run(500, nil)
	in, out := int64(0), int64(0)
	self := record(n, services)
	f.net.Overhear = func(_, to string, message []byte) {
		if to == self.ID {
			in += int64(len(message))
		} else {
			out += int64(len(message))
		}
	}
	heap := heapBytes()
	begin := f.net.Clock().Now()
	g := f.add(self, seed)
	u := f.measure(func() {
		g.Join(f.ids[0])
		f.net.Run(spanMillis, g.Synced)
	})
	j := join{
		Nodes:           n,
		Services:        services,
		Millis:          f.net.Clock().Since(begin),
		BytesReceived:   in,
		BytesSent:       out,
		ProcessorMillis: u.micros / 1000,
		HeapBytes:       heapBytes() - heap,
	}
	runtime.KeepAlive(peer)
	runtime.KeepAlive(g)
	return j
}
