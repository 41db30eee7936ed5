package config

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kinds of routes, by whether a request may be retried.
const (
	RouteSafe   = "safe"   // May run more than once.
	RouteUnsafe = "unsafe" // Runs at most once.
	RouteStream = "stream" // Answered by a stream of events; may run again only if Resumable.
)

// Route sends requests for a host and path prefix to services.
type Route struct {
	Host          string
	Prefix        string // Begins and ends with a slash; the longest match wins.
	Kind          string // RouteSafe, RouteUnsafe or RouteStream.
	Timeout       time.Duration
	TargetLatency time.Duration  // Target latency: an answer (for a stream, its first event) within it has full value.
	TargetGap     time.Duration  // The longest pause between two events of a stream that meets the target.
	MaxAttempts   int            // Maximum number of attempts for one request.
	Priority      int            // Priority; 0 is the most urgent.
	Services      map[string]int // Weights by service.
	Public        bool           // Requests need no API key.
	Resumable     bool           // An interrupted stream may be resumed on another upstream.
	// AllowedRegions are the regions where requests may be served; empty for all. See Residency.
	AllowedRegions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// Engine describes the speed of the engines of a service. All values are for one whole
// replica.
type Engine struct {
	Slots               int           // Requests that decode at the same time.
	StepTime            time.Duration // Base time of a decoding step, which yields one token for each decoding request.
	StepTimePerSequence time.Duration // Added to a step by each decoding request.
	StepTimePerContext  time.Duration // Added to a step by each 1,000 tokens of the requests' contexts.
	PrefillRate         float64       // Prompt tokens prefilled per second.
	PrefillPairsTime    time.Duration // Prefill time for a million pairs of a token and an earlier token.
	PrefillChunk        int           // Prompt tokens prefilled in one step.
	StepsPerPrefill     int           // Decoding steps for each prefill pass while requests decode.
	KVCapacity          int           // Capacity of the KV cache in tokens.
	MeanPromptTokens    int           // Mean length of a prompt in tokens.
	MeanAnswerTokens    int           // Mean length of an answer in tokens.
	Layers              int           // Layers of the model.
	Chunks              int           // Number of chunks of a version of the weights.
	ChunkBytes          int           // Size of a chunk in bytes.
}

// CallerLimits bounds the size and timing of callers' requests.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing finds the route of a request and the owner of an API key. It is built once for
// each configuration and is immutable.
type Routing struct {
	byHost      map[string][]namedRoute // Ordered by prefix length, longest first.
	owners      map[string]string       // The organisation of each API key.
	KeyRequired bool                    // Requests need an API key, except on public routes.
}

type namedRoute struct {
	name  string
	route Route
}

// NewRouting builds the lookup tables of a configuration.
func NewRouting(cfg *Config) *Routing {
	t := &Routing{byHost: map[string][]namedRoute{}, owners: map[string]string{}, KeyRequired: len(cfg.Organisations) > 0}
	for name, r := range cfg.Routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], namedRoute{name, r})
	}
	for _, rs := range t.byHost {
		slices.SortFunc(rs, func(a, b namedRoute) int {
			return cmp.Or(cmp.Compare(len(b.route.Prefix), len(a.route.Prefix)), cmp.Compare(a.name, b.name))
		})
	}
	for name, o := range cfg.Organisations {
		for _, k := range o.APIKeys {
			t.owners[k] = name
		}
	}
	return t
}

// Find returns the name and the route for a host and path.
func (t *Routing) Find(host, path string) (string, *Route, bool) {
	for i := range t.byHost[host] {
		if r := &t.byHost[host][i]; strings.HasPrefix(path, r.route.Prefix) {
			return r.name, &r.route, true
		}
	}
	return "", nil, false
}

// Owner returns the organisation that an API key belongs to.
func (t *Routing) Owner(key string) (string, bool) {
	name, ok := t.owners[key]
	return name, ok
}
