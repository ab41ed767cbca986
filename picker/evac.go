package picker

// SetEvacuated sets the data centres that are under evacuation. Their instances aren't
// selected, not even if there are no others.
func (p *Picker) SetEvacuated(centres []string) {
	evacuated := make(map[string]bool, len(centres))
	for _, c := range centres {
		evacuated[c] = true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.evacuated = evacuated
}
