package verbs

// standin groups the stand-ins for the platform and for targets.
type standin struct {
	Platform standinPlatform `cmd:"" help:"Run a stand-in for the platform's table service and object store."`
	Target   standinTarget   `cmd:"" help:"Run a stand-in target: one instance of a service."`
}

func standinVerb() Verb {
	return Verb{
		Name:    "standin",
		Help:    "Run a stand-in for tests and demonstrations.",
		Command: &standin{},
	}
}
