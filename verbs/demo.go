package verbs

import (
	"os"

	"github.com/pkg/errors"

	"bergamotloom.example/demo"
)

type runDemo struct {
	Example string `default:"examples/prairie-paddle" help:"Folder of the configuration to show."`
	Keep    string `help:"Directory for logs and records, kept afterwards; default: one that's removed."`
}

func demoVerb() Verb {
	return Verb{
		Name:    "demo",
		Help:    "Start a small fleet, send traffic through it and check its promises.",
		Command: &runDemo{},
	}
}

// Run shows the product at work with processes of this same program, on
// loopback addresses. It fails if a promise was broken.
func (r *runDemo) Run(s *session) error {
	binary, err := program()
	if err != nil {
		return err
	}
	directory := r.Keep
	if directory == "" {
		directory, err = os.MkdirTemp("", "bergamotloom-demo-")
		if err != nil {
			return errors.Wrap(err, "making a directory")
		}
		defer func() { _ = os.RemoveAll(directory) }()
	}
	return demo.New(binary, r.Example, directory, s.out).Run(s.context)
}
