package slope

import "bergamotloom.example/member"

const (
	// wearNodes bounds the fleets on which large faults are tried.
	wearNodes = 512
	// faultMillis bounds the wait until all know of a fault.
	faultMillis = 30_000
	stepMillis  = 1000
	foreverMs   = 1 << 40
)

// loseCentre stops one data centre for good.
func loseCentre(n, services int, seed uint64) wear {
	f := newFleet(n, services, seed)
	lost := f.choose(func(m member.Member) bool { return m.Centre == "centre-0" })
	for i, isLost := range lost {
		if isLost {
			f.net.Pause(f.ids[i], foreverMs)
		}
	}
	return f.wear("a data centre is lost", lost, func(m member.Member) bool { return !m.TakesWork() })
}

// partRegion cuts one region off for a while and lets it merge again.
func partRegion(n, services int, seed uint64) []wear {
	f := newFleet(n, services, seed)
	away := f.choose(func(m member.Member) bool { return m.Region == "region-0" })
	isAway := make(map[string]bool)
	for i, a := range away {
		isAway[f.ids[i]] = a
	}
	whole := f.net.IsPartitioned
	f.net.IsPartitioned = func(from, to string) bool { return isAway[from] != isAway[to] }
	parted := f.wear("a region is cut off", away, func(m member.Member) bool { return !m.TakesWork() })
	f.net.IsPartitioned = whole
	merged := f.wear("the region is back", away, member.Member.TakesWork)
	return []wear{parted, merged}
}

func (f *fleet) choose(isChosen func(m member.Member) bool) []bool {
	chosen := make([]bool, len(f.nodes))
	for i, g := range f.nodes {
		chosen[i] = isChosen(g.Self())
	}
	return chosen
}

// wear runs until every node that wasn't chosen sees all the chosen ones as
// wanted, and on to the end of the span.
func (f *fleet) wear(kind string, chosen []bool, isWanted func(m member.Member) bool) wear {
	w := wear{Nodes: len(f.nodes), Kind: kind}
	for _, c := range chosen {
		if c {
			w.Concerned++
		}
	}
	others := float64(w.Nodes - w.Concerned)
	begin := f.net.Clock().Now()
	most := float64(0)
	u := f.measure(func() {
		for f.net.Clock().Since(begin) < faultMillis {
			s := f.measure(func() {
				isKnown := func() bool { return w.OutMillis == 0 && f.allSee(chosen, isWanted) }
				if f.net.Run(stepMillis, isKnown) {
					w.OutMillis = f.net.Clock().Since(begin)
				}
			})
			most = max(most, s.bytes)
		}
	})
	w.BytesPerMember = u.bytes / others / float64(w.Concerned)
	w.ProcessorMillis = u.micros / 1000 / others
	w.LargestPerSecond = int64(most / others)
	return w
}

func (f *fleet) allSee(chosen []bool, isWanted func(m member.Member) bool) bool {
	for i, g := range f.nodes {
		if chosen[i] {
			continue
		}
		for j, c := range chosen {
			if !c {
				continue
			}
			if m, _ := g.Member(f.ids[j]); !isWanted(m) {
				return false
			}
		}
	}
	return true
}
