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
	centreCount        = 8
	regionCount        = 3
	peerPort           = 7400
	callerPort         = 7300
	slots              = 64
	garbageCollections = 2
)

// fleet is a number of nodes on a virtual network, with a count of what they sent.
type fleet struct {
	net      *vnet.Net
	nodes    []*gossip.Gossip
	ids      []string
	messages int64
	bytes    int64
}

func memberRecord(i, services int) member.Member {
	// The addresses are 10.x.y.z, with 250 values each for y and z.
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

// newFleet returns n nodes that know each other and have settled.
func newFleet(n, services int, seed uint64) *fleet {
	f := &fleet{net: vnet.New(startMillis, seed)}
	f.net.OnSend = func(_, _ string, message []byte) {
		f.messages++
		f.bytes += int64(len(message))
	}
	records := make([]member.Member, n)
	for i := range n {
		records[i] = memberRecord(i, services)
		f.add(records[i], seed)
	}
	for _, g := range f.nodes {
		for _, m := range records {
			g.Learn(m)
		}
	}
	f.net.Run(settleMillis, nil)
	return f
}

func (f *fleet) add(m member.Member, seed uint64) *gossip.Gossip {
	g := gossip.New(m, f.net.Clock(), seed+uint64(len(f.nodes)), f.net.Sender(m.ID))
	f.nodes = append(f.nodes, g)
	f.ids = append(f.ids, m.ID)
	f.net.Add(m.ID, g)
	return g
}

// usage is what the whole fleet sent and its processor time, in microseconds.
type usage struct {
	messages, bytes float64
	micros          float64
}

// measure runs the work and returns its usage.
func (f *fleet) measure(work func()) usage {
	messages, bytes, micros := f.messages, f.bytes, processorMicros()
	work()
	return usage{
		messages: float64(f.messages - messages),
		bytes:    float64(f.bytes - bytes),
		micros:   float64(processorMicros() - micros),
	}
}

// processorMicros returns the processor time of the whole process in microseconds.
// That includes the virtual network and the garbage collector, so it's more than
// the protocol takes.
func processorMicros() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("slope: reading the processor time: " + err.Error())
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / 1000
}

// heapBytes returns the size of the live heap in bytes. The second collection frees
// what finalizers and pools held during the first.
func heapBytes() int64 {
	for range garbageCollections {
		runtime.GC()
	}
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// measureIdle measures the cost while nothing changes.
func (f *fleet) measureIdle() idleCost {
	n := float64(len(f.nodes))
	seconds := float64(measureMillis) / 1000
	u := f.measure(func() { f.net.Run(measureMillis, nil) })
	return idleCost{
		Nodes:             len(f.nodes),
		MessagesPerSecond: u.messages / n / seconds,
		BytesPerSecond:    u.bytes / n / seconds,
		ProcessorPercent:  percent * u.micros / 1e6 / n / seconds,
	}
}

// measureChanges measures what each kind of change adds to the idle cost.
func (f *fleet) measureChanges() []changeCost {
	idleUsage := f.measure(func() { f.net.Run(measureMillis, nil) })
	version := int64(0)
	publishFact := func(size int) func(g *gossip.Gossip) {
		return func(g *gossip.Gossip) {
			version++
			g.Publish("config", version, make([]byte, size))
		}
	}
	update := func(g *gossip.Gossip) {
		g.Update(func(m member.Member) member.Member { return m })
	}
	return []changeCost{
		f.measureChange(fmt.Sprintf("fact of %d bytes", smallFactBytes), idleUsage, publishFact(smallFactBytes)),
		f.measureChange(fmt.Sprintf("fact of %d bytes", largeFactBytes), idleUsage, publishFact(largeFactBytes)),
		f.measureChange("member", idleUsage, update),
	}
}

func (f *fleet) measureChange(kind string, idleUsage usage, change func(g *gossip.Gossip)) changeCost {
	u := f.measure(func() {
		for i := range changeCount {
			// The factor spreads the changes over the fleet.
			change(f.nodes[i*7%len(f.nodes)])
			f.net.Run(measureMillis/changeCount, nil)
		}
	})
	nodeChanges := float64(len(f.nodes) * changeCount)
	f.net.Run(settleMillis, nil)
	return changeCost{
		Nodes:           len(f.nodes),
		Kind:            kind,
		Messages:        (u.messages - idleUsage.messages) / nodeChanges,
		Bytes:           (u.bytes - idleUsage.bytes) / nodeChanges,
		ProcessorMicros: (u.micros - idleUsage.micros) / nodeChanges,
	}
}

// measureJoin measures the join of a node through a peer that knows n members. Only
// these two nodes run.
func measureJoin(n, services int, seed uint64) joinCost {
	f := &fleet{net: vnet.New(startMillis, seed)}
	peer := f.add(memberRecord(0, services), seed)
	for i := 1; i < n; i++ {
		peer.Learn(memberRecord(i, services))
	}
	f.net.Run(500, nil)
	receivedBytes, sentBytes := int64(0), int64(0)
	self := memberRecord(n, services)
	f.net.OnSend = func(_, to string, message []byte) {
		if to == self.ID {
			receivedBytes += int64(len(message))
		} else {
			sentBytes += int64(len(message))
		}
	}
	heapBefore := heapBytes()
	startedMillis := f.net.Clock().Now()
	g := f.add(self, seed)
	u := f.measure(func() {
		g.Join(f.ids[0])
		f.net.Run(measureMillis, g.Synced)
	})
	j := joinCost{
		Nodes:           n,
		Services:        services,
		Millis:          f.net.Clock().Since(startedMillis),
		BytesReceived:   receivedBytes,
		BytesSent:       sentBytes,
		ProcessorMillis: u.micros / 1000,
		HeapBytes:       heapBytes() - heapBefore,
	}
	runtime.KeepAlive(peer)
	runtime.KeepAlive(g)
	return j
}
