// Package slope measures what membership costs a node. It runs the real protocol
// in one process on a virtual clock, at several sizes of the fleet, so that the
// cost at a size that one machine can't run can be extrapolated.
package slope

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const (
	startMillis   = 1_000_000
	settleMillis  = 8_000
	measureMillis = 10_000

	smallFactBytes = 100
	largeFactBytes = 1000
	changeCount    = 20
	percent        = 100
)

// Report holds the results of all measurements. Rates and costs are per node, but
// for those of Transport.
type Report struct {
	Seed uint64
	// Idle is the cost while nothing changes, for each size of the fleet.
	Idle []idleCost
	// Events is the cost that one change adds at each node.
	Events []changeCost
	// Joins is the cost of a join, for each number of members.
	Joins []joinCost
	// Wear is the cost of large faults, per node that they don't affect.
	Wear []faultCost
	// Transport is the cost of a message to a peer, and of a connection.
	Transport transport
}

type idleCost struct {
	Nodes             int
	MessagesPerSecond float64
	BytesPerSecond    float64
	ProcessorPercent  float64
}

type changeCost struct {
	Nodes           int
	Kind            string
	Messages        float64
	Bytes           float64
	ProcessorMicros float64
}

type joinCost struct {
	Nodes           int
	Services        int
	Millis          int64
	BytesReceived   int64
	BytesSent       int64
	ProcessorMillis float64
	HeapBytes       int64
}

type faultCost struct {
	Nodes int
	Kind  string
	// Concerned is how many members left or came back.
	Concerned int
	// OutMillis is how long it took until all other nodes knew, or 0 if that took
	// longer than faultMillis.
	OutMillis int64
	// BytesPerMember is what an unaffected node sent for each affected member.
	BytesPerMember float64
	// ProcessorMillis is the processor time of an unaffected node.
	ProcessorMillis float64
	// LargestPerSecond is the most bytes that an unaffected node sent in a step of
	// stepMillis.
	LargestPerSecond int64
}

// Measure runs all measurements. Sizes are the numbers of nodes in the fleets,
// joinSizes the numbers of members that a joining node learns. Measuring
// the transport opens connections over loopback, whose failure is an error.
func Measure(sizes, joinSizes []int, services int, seed uint64) (Report, error) {
	r := Report{Seed: seed}
	for _, n := range sizes {
		f := newFleet(n, services, seed)
		r.Idle = append(r.Idle, f.measureIdle())
		r.Events = append(r.Events, f.measureChanges()...)
	}
	for _, n := range joinSizes {
		r.Joins = append(r.Joins, measureJoin(n, services, seed))
	}
	for _, n := range sizes {
		if n <= maxFaultNodes {
			r.Wear = append(r.Wear, loseCentre(n, services, seed))
			r.Wear = append(r.Wear, partitionRegion(n, services, seed)...)
		}
	}
	var err error
	r.Transport, err = measureTransport()
	return r, err
}

// Write prints the report as tables. It returns an error of the writer.
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
