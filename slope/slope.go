// Package slope measures what membership costs a node, with the real protocol
// in one process on a virtual clock: at a few sizes of the fleet, so that the
// figures at a size that one machine can't hold follow from the slopes.
package slope

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const (
	startMillis = 1_000_000
	warmMillis  = 8_000
	spanMillis  = 10_000

	smallValue = 100
	largeValue = 1000
	changes    = 20
	percent    = 100
)

// Report is the outcome of all measurements. Rates and costs are those of one
// node.
type Report struct {
	Seed uint64
	// Idle is the cost while nothing changes, by the size of the fleet.
	Idle []idle
	// Events is the cost that one change adds at every node.
	Events []event
	// Joins is what a new node takes from a peer.
	Joins []join
	// Wear is what large faults cost the nodes that live on.
	Wear []wear
	// Transport is the cost of a message on the way to the peer.
	Transport transport
}

type idle struct {
	Nodes             int
	MessagesPerSecond float64
	BytesPerSecond    float64
	ProcessorPercent  float64
}

type event struct {
	Nodes           int
	Kind            string
	Messages        float64
	Bytes           float64
	ProcessorMicros float64
}

type join struct {
	Nodes           int
	Services        int
	Millis          int64
	BytesReceived   int64
	BytesSent       int64
	ProcessorMillis float64
	HeapBytes       int64
}

type wear struct {
	Nodes int
	Kind  string
	// Concerned is how many members went or came back, OutMillis how long it
	// took until all that live on knew.
	Concerned        int
	OutMillis        int64
	BytesPerMember   float64
	ProcessorMillis  float64
	LargestPerSecond int64
}

// Measure runs all measurements. Sizes are the numbers of nodes in the fleets,
// joinSizes those that a new node meets.
func Measure(sizes, joinSizes []int, services int, seed uint64) (Report, error) {
	r := Report{Seed: seed}
	for _, n := range sizes {
		f := newFleet(n, services, seed)
		r.Idle = append(r.Idle, f.idle())
		r.Events = append(r.Events, f.events()...)
	}
	for _, n := range joinSizes {
		r.Joins = append(r.Joins, joinFleet(n, services, seed))
	}
	for _, n := range sizes {
		if n <= wearNodes {
			r.Wear = append(r.Wear, loseCentre(n, services, seed))
			r.Wear = append(r.Wear, partRegion(n, services, seed)...)
		}
	}
	var err error
	r.Transport, err = measureTransport()
	return r, err
}

// Write prints the report as tables.
func (r Report) Write(out io.Writer) error {
	fmt.Fprintf(out, "Seed %d; everything is counted per node, bytes are those of the messages.\n", r.Seed)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(cells string, values ...any) { fmt.Fprintf(t, cells+"\t\n", values...) }
	row("\nIdle: nodes\tmessages/s\tbytes/s\t%% of a core")
	for _, i := range r.Idle {
		row("%d\t%.2f\t%.0f\t%.3f", i.Nodes, i.MessagesPerSecond, i.BytesPerSecond, i.ProcessorPercent)
	}
	row("\nOne change: nodes\tkind\tmessages\tbytes\tprocessor us")
	for _, e := range r.Events {
		row("%d\t%s\t%.1f\t%.0f\t%.0f", e.Nodes, e.Kind, e.Messages, e.Bytes, e.ProcessorMicros)
	}
	row("\nJoin: members\tservices\tms\tbytes in\tbytes out\tprocessor ms\theap bytes")
	for _, j := range r.Joins {
		row("%d\t%d\t%d\t%d\t%d\t%.0f\t%d", j.Nodes, j.Services, j.Millis, j.BytesReceived,
			j.BytesSent, j.ProcessorMillis, j.HeapBytes)
	}
	row("\nWear: nodes\tkind\tconcerned\tms until known\tbytes/member\tprocessor ms\tmost bytes in 1 s")
	for _, w := range r.Wear {
		row("%d\t%s\t%d\t%d\t%.0f\t%.1f\t%d", w.Nodes, w.Kind, w.Concerned, w.OutMillis,
			w.BytesPerMember, w.ProcessorMillis, w.LargestPerSecond)
	}
	row("\nTransport:\tbytes/message\tprocessor us\tbytes/connection\tprocessor us")
	p := r.Transport
	row("\t%.0f\t%.0f\t%.0f\t%.0f", p.BytesPerMessage, p.MicrosPerMessage,
		p.BytesPerConnection, p.MicrosPerConnection)
	return t.Flush()
}
