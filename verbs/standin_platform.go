package verbs

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
	"bergamotloom.example/faults"
	"bergamotloom.example/plat"
)

const readHeaderTimeout = 5 * time.Second

// standinPlatform serves the stand-in for the platform until a stop signal.
type standinPlatform struct {
	Listen string `default:"127.0.0.1:0" env:"LOOM_PLATFORM_LISTEN" help:"Address to listen on; port 0 selects a free port."`
}

// Run prints the address, for example "http://127.0.0.1:7070", and serves.
func (p *standinPlatform) Run(s *session) error {
	listener, err := (&net.ListenConfig{}).Listen(s.context, "tcp", p.Listen)
	if err != nil {
		return usageError{errors.Wrap(err, "listening")}
	}
	platform := plat.New(clock.New(), faults.New())
	server := &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	fmt.Fprintf(s.out, "http://%s\n", listener.Addr())
	return serveUntilDone(s.context, server, listener)
}

// serveUntilDone serves until the context ends, then closes every connection.
func serveUntilDone(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serving")
}
