package verbs

import (
	"context"
	"time"

	"bergamotloom.example/clock"
	"bergamotloom.example/remote"
	"bergamotloom.example/store"
)

// platformFlags are those of every command that speaks to the platform.
type platformFlags struct {
	Platform    string        `required:"" env:"LOOM_PLATFORM" placeholder:"URL" help:"Address of the platform."`
	CallTimeout time.Duration `default:"2s" env:"LOOM_PLATFORM_TIMEOUT" help:"Longest time for one call to the platform."`
}

// open returns the configuration in the platform's table, and what ends the
// connections to it.
func (f platformFlags) open() (*store.Store, func(), error) {
	client, err := remote.New(f.Platform, f.CallTimeout)
	if err != nil {
		return nil, nil, usageError{err}
	}
	return store.New(client.Table(), clock.New()), client.Close, nil
}

// within runs work on the configuration in the table, for a time at most.
func (f platformFlags) within(s *session, limit time.Duration, work func(context.Context, *store.Store) error) error {
	configuration, done, err := f.open()
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel := context.WithTimeout(s.context, limit)
	defer cancel()
	return work(ctx, configuration)
}
