package verbs

func standinVerb() Verb {
	return Verb{
		Name:    "standin",
		Help:    "Stand in for the platform or a target in tests and demos.",
		Command: &standin{},
	}
}

// standin groups the processes that take the place of real ones in tests.
type standin struct {
	Platform standinPlatform `cmd:"" help:"Stand in for the table service and the object store."`
	Target   standinTarget   `cmd:"" help:"Stand in for a target: one instance of a service."`
}
