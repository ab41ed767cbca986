package verbs

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
	"bergamotloom.example/load"
	"bergamotloom.example/plan"
	"bergamotloom.example/sender"
)

// runNameBase is the number base of generated run names.
const runNameBase = 36

type loadCommand struct {
	Plan         string   `type:"existingfile" help:"YAML file with the plan; flags add to it."`
	Node         []string `env:"LOOM_NODES" placeholder:"ADDRESS" help:"Caller ports of nodes to send to in turn."`
	Rate         float64  `default:"100" help:"Mean arrivals a second, if the plan has no phases."`
	Seconds      float64  `default:"10" help:"Duration in seconds, if the plan has no phases."`
	Seed         uint64   `default:"1" help:"Seed of all random draws."`
	Name         string   `help:"Prefix of markers and idempotency keys; a new one if empty."`
	Team         []string `sep:"none" placeholder:"NAME=KEY[:WEIGHT]" help:"Team that sends requests; KEY may be empty."`
	Route        []string `sep:"none" placeholder:"[METHOD ]PATH[:WEIGHT]" help:"Route to send requests to, such as 'POST /book:2'."`
	Timeout      int64    `default:"5000" help:"Timeout of each attempt, in milliseconds."`
	Resends      int      `help:"How often a request that wasn't served is sent again."`
	ResendMillis int64    `default:"100" help:"Delay before each resend, in milliseconds."`
	JSON         bool     `name:"json" help:"Print JSON instead of tables."`
}

func loadVerb() Verb {
	return Verb{
		Name:    "load",
		Help:    "Send an open-loop load to nodes and check the responses.",
		Command: &loadCommand{},
	}
}

// Run sends the load and prints the outcomes. It returns an error if a response
// was wrong.
func (l *loadCommand) Run(s *session) error {
	p, err := l.plan()
	if err != nil {
		return usageError{err}
	}
	requestSender := sender.New(p.TimeoutMillis)
	defer requestSender.Close()
	tally := load.New(p, clock.New(), requestSender).Run(s.context)
	if l.JSON {
		err = tally.WriteJSON(s.out)
	} else {
		err = tally.WriteTable(s.out)
	}
	if err != nil {
		return err
	}
	if wrong := tally.All().Wrong; wrong > 0 {
		return errors.Errorf("%d responses were wrong", wrong)
	}
	return nil
}

// plan returns the plan of the file, extended by the flags.
func (l *loadCommand) plan() (plan.Plan, error) {
	p := plan.New(l.runName(), l.Seed).WithTimeout(l.Timeout).WithResends(l.Resends, l.ResendMillis)
	if l.Plan != "" {
		file, err := os.ReadFile(l.Plan)
		if err != nil {
			return p, errors.Wrap(err, "reading the plan")
		}
		if p, err = p.Parse(file); err != nil {
			return p, err
		}
	}
	if len(l.Node) > 0 {
		p = p.WithNodes(l.Node...)
	}
	if len(p.Phases) == 0 {
		p = p.WithPhase(l.Seconds, l.Rate)
	}
	p, err := l.withTeams(p)
	if err != nil {
		return p, err
	}
	p, err = l.withRoutes(p)
	if err != nil {
		return p, err
	}
	return p, p.Check()
}

// runName returns the given name, or a unique one made from the current time.
func (l *loadCommand) runName() string {
	if l.Name != "" {
		return l.Name
	}
	return strconv.FormatInt(time.Now().UnixMicro(), runNameBase)
}

func (l *loadCommand) withTeams(p plan.Plan) (plan.Plan, error) {
	for _, flag := range l.Team {
		name, rest, ok := strings.Cut(flag, "=")
		if !ok || name == "" {
			return p, errors.New("--team must have the form NAME=KEY or NAME=KEY:WEIGHT")
		}
		key, weight, err := cutWeight(rest)
		if err != nil {
			return p, errors.Wrapf(err, "--team %s", name)
		}
		p = p.WithTeam(name, key, weight)
	}
	return p, nil
}

func (l *loadCommand) withRoutes(p plan.Plan) (plan.Plan, error) {
	for _, flag := range l.Route {
		name, weight, err := cutWeight(flag)
		if err != nil {
			return p, errors.Wrapf(err, "--route %q", flag)
		}
		method, path, ok := strings.Cut(name, " ")
		if !ok {
			method, path = "GET", name
		}
		p = p.WithRoute(name, method, path, weight)
	}
	return p, nil
}

// cutWeight splits "value:weight"; the weight is 1 if there is none.
func cutWeight(flag string) (string, float64, error) {
	value, number, ok := strings.Cut(flag, ":")
	if !ok {
		return value, 1, nil
	}
	weight, err := strconv.ParseFloat(number, 64)
	return value, weight, errors.Wrap(err, "parsing the weight")
}
