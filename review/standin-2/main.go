// Standin-2 runs the scripted cases of the second review: sidecars as separate processes,
// with stand-ins for the store, the servers and the clients in this process.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// outcome is what a case has found: how often the rule was broken, and a summary.
type outcome struct {
	broken  int
	summary string
}

// scenario is one case. With trouble false it runs without its disruption.
type scenario func(f *fleet, trouble bool) (outcome, error)

func scenarios() map[string]scenario {
	return map[string]scenario{
		"pipelined-stop":  pipelinedStop,
		"shorter-grace":   shorterGrace,
		"forgotten-leave": forgottenLeave,
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the scenario with this name and writes its record into the folder.
func run(args []string) int {
	const argCount = 3
	if len(args) != argCount {
		fmt.Fprintln(os.Stderr, "usage: standin-2 SCENARIO FOLDER BINARY")
		return exitFailed
	}
	s, ok := scenarios()[args[0]]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin-2: no scenario", args[0])
		return exitFailed
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return exitFailed
	}
	defer rec.close()
	f, err := newFleet(args[2], rec)
	if err != nil {
		return fail(rec, err)
	}
	defer f.close()
	o, err := s(f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return fail(rec, err)
	}
	rec.line("RESULT broken=%d %s", o.broken, o.summary)
	fmt.Println(o.summary)
	if o.broken > 0 {
		return exitBroken
	}
	return exitHeld
}

func fail(rec *record, err error) int {
	rec.line("RESULT the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "standin-2:", err)
	return exitFailed
}
