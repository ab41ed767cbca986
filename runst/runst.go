// Package runst holds the run state of a request: whether it ran at its target,
// as far as the process that responds can know.
package runst

// State is the run state that is sent to a caller in the header named by Header.
type State string

// Header is the response header that carries the run state of a refusal or
// a stored response.
const Header = "Loom-Ran"

// The run states.
const (
	// Never means that no byte of the request reached a target and none will.
	Never State = "Never"
	// Maybe means that the request may have run, wholly or in part.
	Maybe State = "Maybe"
	// Once means that the request ran, and the response is its outcome.
	Once State = "Once"
)
