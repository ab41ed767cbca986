package sidecr

import "github.com/rcrowley/go-metrics"

// maxEvacuationsMillis is how long after its start a gate stays closed at most while the
// node can't learn which data centres are under evacuation.
const maxEvacuationsMillis = 5000

// evacuationsUnknown reports whether the node has just started and has to learn the
// evacuations first: its target may be in a data centre that was evacuated before.
func (n *Sidecar) evacuationsUnknown() bool {
	return n.params.EvacuationMillis > 0 && !n.evac.Known() && n.clock.Since(n.startedMillis) < maxEvacuationsMillis
}

// applyEvacuations puts a change of the evacuated data centres in force at this node and
// tells the peers.
func (n *Sidecar) applyEvacuations() {
	n.evacuateMutex.Lock()
	// What is read here is in force before another goroutine reads it again.
	n.picker.SetEvacuated(n.evac.Centres())
	n.gate.SetEvacuated(n.evac.Evacuated(n.params.Centre))
	n.evacuateMutex.Unlock()
	n.mesh.Broadcast()
}

// storeBoundMillis returns the time within which changes in the store must be known.
func (n *Sidecar) storeBoundMillis() int64 {
	if n.params.EvacuationMillis > 0 {
		return min(n.params.ApplyMillis, n.params.EvacuationMillis)
	}
	return n.params.ApplyMillis
}

func (n *Sidecar) updateEvacuationGauges() {
	own := int64(0)
	if n.evac.Evacuated(n.params.Centre) {
		own = 1
	}
	changes, ignored := n.evac.Counts()
	for name, value := range map[string]int64{
		"evac.centres": int64(len(n.evac.Centres())),
		"evac.own":     own,
		"evac.changes": changes,
		"evac.ignored": ignored,
	} {
		metrics.GetOrRegisterGauge(name, n.registry).Update(value)
	}
}
