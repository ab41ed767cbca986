package verbs

import (
	"context"
	"time"

	"bergamotloom.example/clock"
	"bergamotloom.example/remote"
	"bergamotloom.example/store"
)

// platformFlags are the flags of every command that calls the platform's
// table service.
type platformFlags struct {
	Platform    string        `required:"" env:"LOOM_PLATFORM" placeholder:"URL" help:"Address of the platform."`
	CallTimeout time.Duration `default:"2s" env:"LOOM_PLATFORM_TIMEOUT" help:"Timeout of one call to the platform."`
}

// open returns the configuration in the platform's table, and the function that
// closes the connections to it.
func (f platformFlags) open() (*store.Store, func(), error) {
	client, err := remote.New(f.Platform, f.CallTimeout)
	if err != nil {
		return nil, nil, usageError{err}
	}
	return store.New(client.Table(), clock.New()), client.Close, nil
}

// within runs work on the configuration in the table, with a timeout.
func (f platformFlags) within(s *session, timeout time.Duration, work func(context.Context, *store.Store) error) error {
	configuration, closeClient, err := f.open()
	if err != nil {
		return err
	}
	defer closeClient()
	ctx, cancel := context.WithTimeout(s.context, timeout)
	defer cancel()
	return work(ctx, configuration)
}
