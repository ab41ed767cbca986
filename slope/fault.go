package slope

import "bergamotloom.example/member"

const (
	// maxFaultNodes is the largest fleet on which large faults are measured.
	maxFaultNodes = 512
	// faultMillis is how long a fault is measured.
	faultMillis   = 30_000
	stepMillis    = 1000
	foreverMillis = 1 << 40
)

// loseCentre measures the permanent loss of a data centre.
func loseCentre(n, services int, seed uint64) faultCost {
	f := newFleet(n, services, seed)
	lost := f.selectMembers(func(m member.Member) bool { return m.Centre == "centre-0" })
	for i, isLost := range lost {
		if isLost {
			f.net.Stop(f.ids[i], foreverMillis)
		}
	}
	return f.measureFault("a data centre is lost", lost, func(m member.Member) bool { return !m.TakesWork() })
}

// partitionRegion measures the partition of a region and its return.
func partitionRegion(n, services int, seed uint64) []faultCost {
	f := newFleet(n, services, seed)
	inRegion := f.selectMembers(func(m member.Member) bool { return m.Region == "region-0" })
	idInRegion := make(map[string]bool)
	for i, a := range inRegion {
		idInRegion[f.ids[i]] = a
	}
	previousIsCut := f.net.IsCut
	f.net.IsCut = func(from, to string) bool { return idInRegion[from] != idInRegion[to] }
	partitioned := f.measureFault("a region is cut off", inRegion, func(m member.Member) bool { return !m.TakesWork() })
	f.net.IsCut = previousIsCut
	merged := f.measureFault("the region is back", inRegion, member.Member.TakesWork)
	return []faultCost{partitioned, merged}
}

func (f *fleet) selectMembers(isSelected func(m member.Member) bool) []bool {
	selected := make([]bool, len(f.nodes))
	for i, g := range f.nodes {
		selected[i] = isSelected(g.Self())
	}
	return selected
}

// measureFault measures for faultMillis, and notes when every node that isn't
// affected sees all affected ones in the expected state.
func (f *fleet) measureFault(kind string, affected []bool, isExpected func(m member.Member) bool) faultCost {
	w := faultCost{Nodes: len(f.nodes), Kind: kind}
	for _, c := range affected {
		if c {
			w.Concerned++
		}
	}
	others := float64(w.Nodes - w.Concerned)
	startedMillis := f.net.Clock().Now()
	maxBytes := float64(0)
	u := f.measure(func() {
		for f.net.Clock().Since(startedMillis) < faultMillis {
			s := f.measure(func() {
				isKnown := func() bool { return w.OutMillis == 0 && f.allAgree(affected, isExpected) }
				if f.net.Run(stepMillis, isKnown) {
					w.OutMillis = f.net.Clock().Since(startedMillis)
				}
			})
			maxBytes = max(maxBytes, s.bytes)
		}
	})
	w.BytesPerMember = u.bytes / others / float64(w.Concerned)
	w.ProcessorMillis = u.micros / 1000 / others
	w.LargestPerSecond = int64(maxBytes / others)
	return w
}

func (f *fleet) allAgree(affected []bool, isExpected func(m member.Member) bool) bool {
	for i, g := range f.nodes {
		if affected[i] {
			continue
		}
		for j, c := range affected {
			if !c {
				continue
			}
			if m, _ := g.Member(f.ids[j]); !isExpected(m) {
				return false
			}
		}
	}
	return true
}
