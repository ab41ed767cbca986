// Command standin runs one case of the review: it starts the stand-ins of the platform,
// of servers and of clients, and the nodes as processes of their own.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	failing = 2
)

// cases are the cases by their names. Each returns the number of times that the rule was
// broken. Trouble is false if the disruption is left out.
var cases = map[string]func(b *bed, trouble bool) (int, error){
	"early":   early,
	"kind":    kind,
	"leftrow": leftrow,
	"leave":   leave,
	"failed":  failed,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the case of this name, whose record is written to the folder.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return failing
	}
	b, err := newBed(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failing
	}
	defer b.close()
	trouble := os.Getenv("TROUBLE") != "0"
	b.record.line("case %s, with the disruption: %t", args[0], trouble)
	violations, err := cases[args[0]](b, trouble)
	if err != nil {
		b.record.line("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failing
	}
	b.record.line("the rule was broken %d times", violations)
	fmt.Printf("%s: the rule was broken %d times\n", args[0], violations)
	if violations > 0 {
		return broken
	}
	return held
}
