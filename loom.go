// Package loom is the root of bergamotloom, an overload control layer for
// service call graphs: one small process beside each target instance.
//
// The root holds only what the whole project shares by name. Every other
// package is one directory below, with one job and one exported type.
package loom

// Version is the version that the command line prints and that nodes tell
// their peers. It changes with every release.
const Version = "0.1.0"
