// Package runst says whether a request ran at its target, as far as the
// process that answers for it can know.
package runst

// State is the run state told to a caller in the header named by Header.
type State string

// Header is the response header that carries the run state of a refusal.
const Header = "Loom-Ran"

// The run states.
const (
	// Never means that no byte of the request reached a target and none will.
	Never State = "Never"
	// Maybe means that the request may have run, wholly or in part.
	Maybe State = "Maybe"
	// Once means that the request ran, and its outcome is the one answered.
	Once State = "Once"
)
