package config

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kinds of routes, by what of a request may be repeated.
const (
	RouteSafe   = "safe"   // May run more than once.
	RouteUnsafe = "unsafe" // Runs at most once.
	RouteStream = "stream" // Answered by events; may run again only where Resumable.
)

// Route sends the requests of a host below a path to services.
type Route struct {
	Host      string
	Prefix    string // Begins and ends with a slash; the longest that fits wins.
	Kind      string // RouteSafe, RouteUnsafe or RouteStream.
	Timeout   time.Duration
	Aim       time.Duration  // An answer (of a stream: its first event) in it earns its full worth.
	Gap       time.Duration  // The longest pause between two events that is still in time.
	Attempts  int            // Upstreams that one request may be sent to.
	Rank      int            // 0 is the most urgent.
	Services  map[string]int // Weights by service.
	Public    bool           // Needs no key.
	Resumable bool           // A cut stream may go on at another upstream.
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// Engine says how fast the engines of a service work. Times are for one whole
// replica.
type Engine struct {
	Slots       int           // Requests that write at once.
	Step        time.Duration // One token for every request that writes.
	PerSequence time.Duration // Added to a step by each of them,
	PerContext  time.Duration // and by each 1,000 tokens of their contexts.
	ReadRate    float64       // Tokens of prompts read in a second.
	PairsCost   time.Duration // For a million pairs of a token and one before it.
	Chunk       int           // Tokens of prompts read in one step.
	Stride      int           // Steps that a pass with writers plays.
	Memory      int           // Tokens of contexts that fit.
	UsualPrompt int           // Mean tokens of a prompt,
	UsualAnswer int           // and of an answer.
	Layers      int           // Of the model.
	Chunks      int           // Pieces of a version of the weights,
	ChunkBytes  int           // and the bytes of one.
}

// CallerLimits bounds what callers may send.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderWait  time.Duration
	IdleWait    time.Duration
}

// Routing finds the route of a request and the owner of a key. It is made once
// for each configuration and does not change.
type Routing struct {
	byHost map[string][]namedRoute // The longest prefix first.
	owners map[string]string       // The organisation of each key.
	Keyed  bool                    // Requests need a key.
}

type namedRoute struct {
	name  string
	route Route
}

// NewRouting prepares a configuration for look-ups.
func NewRouting(cfg *Config) *Routing {
	t := &Routing{byHost: map[string][]namedRoute{}, owners: map[string]string{}, Keyed: len(cfg.Organisations) > 0}
	for name, r := range cfg.Routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], namedRoute{name, r})
	}
	for _, rs := range t.byHost {
		slices.SortFunc(rs, func(a, b namedRoute) int {
			return cmp.Or(cmp.Compare(len(b.route.Prefix), len(a.route.Prefix)), cmp.Compare(a.name, b.name))
		})
	}
	for name, o := range cfg.Organisations {
		for _, k := range o.Keys {
			t.owners[k] = name
		}
	}
	return t
}

// Find returns the route of a host and path, and its name.
func (t *Routing) Find(host, path string) (string, *Route, bool) {
	for i := range t.byHost[host] {
		if r := &t.byHost[host][i]; strings.HasPrefix(path, r.route.Prefix) {
			return r.name, &r.route, true
		}
	}
	return "", nil, false
}

// Owner returns the organisation that holds a key.
func (t *Routing) Owner(key string) (string, bool) {
	name, ok := t.owners[key]
	return name, ok
}
