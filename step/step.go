// Package step names what a node does next to find its peers in the table of nodes.
package step

// Step is a call to the store, or none. It's a value.
type Step int

// The steps: none; writing the node's row; reading a few rows from the node's own one on;
// reading the whole table.
const (
	Wait Step = iota
	Write
	ReadNear
	ReadAll
)
