// Command bergamotloom contains all parts in one binary: the node that runs beside
// each target, the operators' commands, the stand-ins and the benchmarks.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bergamotloom.example/verbs"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return verbs.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
