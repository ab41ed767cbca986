// Package plan describes a load to generate: the nodes that it's sent to, its
// rates, and the teams and routes of its requests.
package plan

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"bergamotloom.example/arrive"
)

const (
	defaultTimeoutMillis = 5000
	defaultMaxOpen       = 4000
)

// Plan is a load to send. It's a value: the With methods return changed
// copies. The names of its fields are those of the YAML file.
type Plan struct {
	// Nodes lists the addresses of nodes' caller ports.
	Nodes []string `yaml:"Nodes"`
	// Phases are sent one after another, each at its own rate.
	Phases []phase `yaml:"Phases"`
	Teams  []team  `yaml:"Teams"`
	Routes []route `yaml:"Routes"`
	// Seed seeds all random choices. Run is the prefix of all markers and
	// idempotency keys; it must be unique among the loads on a fleet.
	Seed uint64 `yaml:"Seed"`
	Run  string `yaml:"Run"`
	// TimeoutMillis is the timeout of each send.
	TimeoutMillis int64 `yaml:"TimeoutMillis"`
	// Resends is the maximum number of times that a request is sent again
	// when that is safe, each time after a delay of ResendMillis.
	Resends      int   `yaml:"Resends"`
	ResendMillis int64 `yaml:"ResendMillis"`
	// MaxOpen is the maximum number of requests in flight; further arrivals
	// count as unsent.
	MaxOpen int `yaml:"MaxOpen"`
}

// phase is a period with one mean rate, in requests a second.
type phase struct {
	Seconds float64 `yaml:"Seconds"`
	Rate    float64 `yaml:"Rate"`
}

// team sends a fraction of the load in proportion to its weight.
type team struct {
	Name   string  `yaml:"Name"`
	Key    string  `yaml:"Key"`
	Weight float64 `yaml:"Weight"`
}

// route receives a fraction of the load in proportion to its weight. Method
// defaults to GET. AnswerBytes is the requested size of the response body, 0 for
// the target's default, and UploadBytes the size of the request body. Requests of
// a route that isn't Idempotent carry an idempotency key.
type route struct {
	Name        string  `yaml:"Name"`
	Method      string  `yaml:"Method"`
	Path        string  `yaml:"Path"`
	Weight      float64 `yaml:"Weight"`
	AnswerBytes int64   `yaml:"AnswerBytes"`
	UploadBytes int64   `yaml:"UploadBytes"`
	Idempotent  bool    `yaml:"Idempotent"`
}

// New returns a plan without nodes, phases, teams or routes.
func New(run string, seed uint64) Plan {
	return Plan{
		Run:           run,
		Seed:          seed,
		TimeoutMillis: defaultTimeoutMillis,
		MaxOpen:       defaultMaxOpen,
	}
}

// Parse returns the plan with the fields that a YAML file sets replaced. The
// error names line and column.
func (p Plan) Parse(file []byte) (Plan, error) {
	if err := yaml.UnmarshalWithOptions(file, &p, yaml.Strict()); err != nil {
		return p, errors.Wrap(err, "plan")
	}
	return p, nil
}

// WithRun returns the plan with another run name.
func (p Plan) WithRun(name string) Plan {
	p.Run = name
	return p
}

// WithNodes returns the plan with these nodes.
func (p Plan) WithNodes(addresses ...string) Plan {
	p.Nodes = addresses
	return p
}

// WithPhase returns the plan with one more phase.
func (p Plan) WithPhase(seconds, rate float64) Plan {
	p.Phases = appended(p.Phases, phase{seconds, rate})
	return p
}

// WithTeam returns the plan with one more team.
func (p Plan) WithTeam(name, key string, weight float64) Plan {
	p.Teams = appended(p.Teams, team{name, key, weight})
	return p
}

// WithRoute returns the plan with one more route. Requests other than GET and
// HEAD get an idempotency key.
func (p Plan) WithRoute(name, method, path string, weight float64) Plan {
	idempotent := method == http.MethodGet || method == http.MethodHead
	r := route{Name: name, Method: method, Path: path, Weight: weight, Idempotent: idempotent}
	p.Routes = appended(p.Routes, r)
	return p
}

// WithResends returns the plan with another maximum number of resends and the
// delay before each.
func (p Plan) WithResends(count int, delayMillis int64) Plan {
	p.Resends, p.ResendMillis = count, delayMillis
	return p
}

// WithTimeout returns the plan with another timeout for each send.
func (p Plan) WithTimeout(millis int64) Plan {
	p.TimeoutMillis = millis
	return p
}

// appended returns a new slice, so that plans never share one.
func appended[T any](all []T, item T) []T {
	return append(append(make([]T, 0, len(all)+1), all...), item)
}

// Check returns an error that names the first invalid field of the plan.
func (p Plan) Check() error {
	switch {
	case len(p.Nodes) == 0:
		return errors.New("plan: Nodes is empty: name at least one address")
	case len(p.Phases) == 0:
		return errors.New("plan: Phases is empty: name at least one")
	case len(p.Teams) == 0:
		return errors.New("plan: Teams is empty: name at least one")
	case len(p.Routes) == 0:
		return errors.New("plan: Routes is empty: name at least one")
	case p.Run == "":
		return errors.New("plan: Run is empty")
	case p.TimeoutMillis < 1:
		return errors.Errorf("plan: TimeoutMillis is %d: must be 1 or more", p.TimeoutMillis)
	case p.Resends < 0:
		return errors.Errorf("plan: Resends is %d: must be 0 or more", p.Resends)
	case p.MaxOpen < 1:
		return errors.Errorf("plan: MaxOpen is %d: must be 1 or more", p.MaxOpen)
	}
	return p.checkParts()
}

func (p Plan) checkParts() error {
	for _, f := range p.Phases {
		if f.Seconds <= 0 || f.Rate <= 0 {
			return errors.Errorf("plan: phase of %v seconds at rate %v: both must be above 0", f.Seconds, f.Rate)
		}
	}
	for _, t := range p.Teams {
		if t.Weight <= 0 {
			return errors.Errorf("plan: team %q has weight %v: must be above 0", t.Name, t.Weight)
		}
	}
	for _, r := range p.Routes {
		if r.Weight <= 0 || r.Path == "" || r.Path[0] != '/' {
			return errors.Errorf("plan: route %q needs a weight above 0 and a path from /", r.Name)
		}
	}
	return nil
}

// Gap draws the time to the next arrival of a Poisson process, at the rate of
// the phase that the given time since the start falls in. It returns false when
// all phases are over.
func (p Plan) Gap(random *rand.Rand, since time.Duration) (time.Duration, bool) {
	end := time.Duration(0)
	for _, f := range p.Phases {
		end += seconds(f.Seconds)
		if since < end {
			return seconds(random.ExpFloat64() / f.Rate), true
		}
	}
	return 0, false
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// Draw returns the arrival with this number, with a random team and route.
func (p Plan) Draw(random *rand.Rand, number int64) arrive.Arrival {
	t := pick(random, p.Teams, func(t team) float64 { return t.Weight })
	r := pick(random, p.Routes, func(r route) float64 { return r.Weight })
	a := arrive.Arrival{
		Number:      number,
		Marker:      p.Run + "-" + strconv.FormatInt(number, 10),
		Team:        t.Name,
		Key:         t.Key,
		Route:       r.Name,
		Method:      r.Method,
		Path:        r.Path,
		AnswerBytes: r.AnswerBytes,
		UploadBytes: r.UploadBytes,
	}
	if a.Method == "" {
		a.Method = http.MethodGet
	}
	if !r.Idempotent {
		a.IdempotencyKey = a.Marker
	}
	return a
}

// pick returns a random item, with probabilities in proportion to the weights.
func pick[T any](random *rand.Rand, items []T, weight func(T) float64) T {
	total := 0.0
	for _, p := range items {
		total += weight(p)
	}
	draw := random.Float64() * total
	for _, p := range items {
		draw -= weight(p)
		if draw < 0 {
			return p
		}
	}
	return items[len(items)-1]
}
