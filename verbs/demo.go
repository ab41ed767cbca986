package verbs

import (
	"os"

	"github.com/pkg/errors"

	"bergamotloom.example/demo"
)

type runDemo struct {
	Example string `default:"examples/prairie-paddle" help:"Folder of the configuration to demonstrate."`
	Keep    string `help:"Directory for logs and records, kept afterwards; by default a temporary one that is removed."`
}

func demoVerb() Verb {
	return Verb{
		Name:    "demo",
		Help:    "Start a small fleet, send traffic through it and check its promises.",
		Command: &runDemo{},
	}
}

// Run starts a fleet as processes of this program on loopback addresses and sends
// traffic through it. It returns an error if a promise was broken.
func (r *runDemo) Run(s *session) error {
	binary, err := program()
	if err != nil {
		return err
	}
	directory := r.Keep
	if directory == "" {
		directory, err = os.MkdirTemp("", "bergamotloom-demo-")
		if err != nil {
			return errors.Wrap(err, "creating a directory")
		}
		defer func() { _ = os.RemoveAll(directory) }()
	}
	return demo.New(binary, r.Example, directory, s.out).Run(s.context)
}
