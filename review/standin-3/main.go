// Command standin-3 plays the cases of the third review: it starts nodes with the
// command of the deploy file, stands in for the platform, the servers and the clients,
// and exits with 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play runs one case. Trouble says whether to bring the disruption about. It returns what
// breaks the rule, nothing if the rule held, and an error if the case couldn't run.
type play func(b *bed, trouble bool) (broken []string, err error)

var cases = map[string]play{
	"canary":     playCanary,
	"forged":     playForged,
	"unrecorded": playUnrecorded,
	"poison":     playPoison,
	"share":      playShare,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	b, err := newBed(filepath.Join("target", "bergamotloom"), os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		return exitFailed
	}
	defer b.close()
	b.note("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](b, trouble)
	if err != nil {
		b.note("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		return exitFailed
	}
	for _, text := range broken {
		b.note("BROKEN %s", text)
	}
	b.note("broken: %d", len(broken))
	fmt.Printf("case %s, trouble %v: broken %d times\n", os.Args[1], trouble, len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
