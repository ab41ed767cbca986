package slope

import "bergamotloom.example/member"

const (
	// maxFaultNodes is the largest fleet on which large faults are measured.
	maxFaultNodes = 512
	// faultMillis is how long a fault is measured.
	faultMillis = 30_000
	// stepMillis is the interval over which LargestPerSecond is taken.
	stepMillis = 1000
	// foreverMillis is longer than any run.
	foreverMillis = 1 << 40
)

// loseCentre measures the permanent loss of a data centre.
func loseCentre(n, services int, seed uint64) faultCost {
	f := newFleet(n, services, seed)
	lost := f.selectMembers(func(m member.Member) bool { return m.Centre == "centre-0" })
	for i, isLost := range lost {
		if isLost {
			f.net.Pause(f.ids[i], foreverMillis)
		}
	}
	return f.measureFault("a data centre is lost", lost, func(m member.Member) bool { return !m.TakesWork() })
}

// partitionRegion measures the partition of a region and its return.
func partitionRegion(n, services int, seed uint64) []faultCost {
	f := newFleet(n, services, seed)
	inRegion := f.selectMembers(func(m member.Member) bool { return m.Region == "region-0" })
	idInRegion := make(map[string]bool)
	for i, isInside := range inRegion {
		idInRegion[f.ids[i]] = isInside
	}
	previousIsCut := f.net.IsPartitioned
	f.net.IsPartitioned = func(from, to string) bool { return idInRegion[from] != idInRegion[to] }
	partitioned := f.measureFault("a region is cut off", inRegion, func(m member.Member) bool { return !m.TakesWork() })
	f.net.IsPartitioned = previousIsCut
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
	cost := faultCost{Nodes: len(f.nodes), Kind: kind}
	for _, isAffected := range affected {
		if isAffected {
			cost.Concerned++
		}
	}
	others := float64(cost.Nodes - cost.Concerned)
	startedMillis := f.net.Clock().Now()
	maxBytes := float64(0)
	total := f.measure(func() {
		for f.net.Clock().Since(startedMillis) < faultMillis {
			step := f.measure(func() {
				isKnown := func() bool { return cost.OutMillis == 0 && f.allAgree(affected, isExpected) }
				if f.net.Run(stepMillis, isKnown) {
					cost.OutMillis = f.net.Clock().Since(startedMillis)
				}
			})
			maxBytes = max(maxBytes, step.bytes)
		}
	})
	cost.BytesPerMember = total.bytes / others / float64(cost.Concerned)
	cost.ProcessorMillis = total.micros / 1000 / others
	cost.LargestPerSecond = int64(maxBytes / others)
	return cost
}

func (f *fleet) allAgree(affected []bool, isExpected func(m member.Member) bool) bool {
	for i, g := range f.nodes {
		if affected[i] {
			continue
		}
		for j, isAffected := range affected {
			if !isAffected {
				continue
			}
			if m, _ := g.Member(f.ids[j]); !isExpected(m) {
				return false
			}
		}
	}
	return true
}
