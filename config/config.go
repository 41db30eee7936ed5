package config

import (
	"time"
)

// Config is one valid revision, evaluated.
type Config struct {
	Halls         map[string]Hall         `yaml:"halls"`
	Models        map[string]Model        `yaml:"models"`
	Services      map[string]Service      `yaml:"services"`
	Organisations map[string]Organisation `yaml:"organisations"`
	Limits        Limits                  `yaml:"limits"`
	Weights       Weights                 `yaml:"weights"`
	// Routes, and what below is marked so, come from platforms that publish a
	// configuration of their own; operators' files do not have them.
	Routes  map[string]Route `yaml:"-"`
	Callers CallerLimits     `yaml:"-"`
}

// Hall is a place with boxes of its own.
type Hall struct {
	Region string `yaml:"region"`
}

// Model is a family of versions and adapters.
type Model struct {
	Versions map[string]Artifact `yaml:"versions"`
	Adapters map[string]Artifact `yaml:"adapters"`
}

// Artifact is a set of weights, identified by the digest of its manifest.
type Artifact struct {
	Manifest string `yaml:"manifest"` // "sha256:" and 64 hexadecimal digits.
}

// Kinds of services.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Service is what callers ask for by name.
type Service struct {
	Kind     string         `yaml:"kind"`     // KindModel or KindPlain.
	Boxes    string         `yaml:"boxes"`    // The class of boxes in the fleet list that may serve it.
	Replicas map[string]int `yaml:"replicas"` // Boxes for each hall.
	Model    string         `yaml:"model"`
	Version  string         `yaml:"version"`
	Adapters []string       `yaml:"adapters"`
	Role     string         `yaml:"role"` // What the engine is told; "serve" by default.
	// ReadyBeforeTraffic is how many replicas of a hall must have confirmed a
	// version before it takes its first request there; at least 1.
	ReadyBeforeTraffic int `yaml:"ready_before_traffic"`
	// ReloadAtMost bounds the replicas of a hall that change version at once.
	ReloadAtMost int `yaml:"reload_at_most"`
	// ChecksOrders says that the engine itself refuses a fenced order.
	ChecksOrders bool `yaml:"checks_orders"`
	// Engine is how fast its replicas work, for services that routes name.
	Engine Engine `yaml:"-"`
	// Origin is the address of the origin of its weights, and OriginRate that
	// link's bytes a second.
	Origin     string  `yaml:"-"`
	OriginRate float64 `yaml:"-"`
	MaxConns   int     `yaml:"-"` // Connections that one replica accepts.
}

// Organisation is a customer with its share and limits.
type Organisation struct {
	Weight   int      `yaml:"weight"`    // Share of a contended queue; 1 by default.
	Rate     float64  `yaml:"rate"`      // Requests a second over all gateways; 0 is no limit.
	InFlight int      `yaml:"in_flight"` // Requests at once over all gateways; 0 is no limit.
	Keys     []string `yaml:"-"`         // Who shows one of these is the organisation.
	Rank     int      `yaml:"-"`         // 0 is the most urgent; goes before the route's where Ranked.
	Ranked   bool     `yaml:"-"`
}

// Limits bounds what gateways hold.
type Limits struct {
	Queue        int           `yaml:"queue"`         // Requests waiting in a gateway.
	Deadline     time.Duration `yaml:"deadline"`      // For requests that state none.
	MaxDeadline  time.Duration `yaml:"max_deadline"`  // No request may state more.
	RetryPercent int           `yaml:"retry_percent"` // Retries for each hundred requests.
	KeyWindow    time.Duration `yaml:"key_window"`    // How long an idempotency key is remembered.
}

// Policies of weight distribution.
const (
	PolicyTime        = "time"
	PolicyOriginBytes = "origin-bytes"
)

// Weights steers the distribution of weights.
type Weights struct {
	Policy       string        `yaml:"policy"`        // PolicyTime or PolicyOriginBytes.
	Window       time.Duration `yaml:"window"`        // In it the origin's link carries OriginCopies.
	OriginCopies float64       `yaml:"origin_copies"` // Copies of a model in one window.
	UploadSlots  int           `yaml:"upload_slots"`  // Chunks that a box sends at once.
	LinkPercent  int           `yaml:"link_percent"`  // Share of a box's link while it serves traffic.
}

// Defaults for what a configuration leaves out.
const (
	defaultQueue        = 512
	defaultDeadline     = 30 * time.Second
	defaultMaxDeadline  = 2 * time.Minute
	defaultRetryPercent = 10
	defaultKeyWindow    = 3 * time.Minute
	defaultWindow       = 4 * time.Minute
	defaultOriginCopies = 4
	defaultUploadSlots  = 2
	defaultLinkPercent  = 50
)

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.Limits.Queue, defaultQueue)
	setDefault(&c.Limits.Deadline, defaultDeadline)
	setDefault(&c.Limits.MaxDeadline, defaultMaxDeadline)
	setDefault(&c.Limits.RetryPercent, defaultRetryPercent)
	setDefault(&c.Limits.KeyWindow, defaultKeyWindow)
	setDefault(&c.Weights.Policy, PolicyTime)
	setDefault(&c.Weights.Window, defaultWindow)
	setDefault(&c.Weights.OriginCopies, defaultOriginCopies)
	setDefault(&c.Weights.UploadSlots, defaultUploadSlots)
	setDefault(&c.Weights.LinkPercent, defaultLinkPercent)
	for name, s := range c.Services {
		setDefault(&s.Kind, KindModel)
		setDefault(&s.Role, "serve")
		setDefault(&s.ReadyBeforeTraffic, 1)
		setDefault(&s.ReloadAtMost, 1)
		c.Services[name] = s
	}
	for name, o := range c.Organisations {
		setDefault(&o.Weight, 1)
		c.Organisations[name] = o
	}
}

// Wanted returns the manifest digest of the version that s declares, or the
// empty string for a plain service.
func (c *Config) Wanted(s Service) string {
	return c.Models[s.Model].Versions[s.Version].Manifest
}

// AdapterDigests returns the manifest digests of the adapters of s, by name.
func (c *Config) AdapterDigests(s Service) map[string]string {
	out := map[string]string{}
	for _, a := range s.Adapters {
		out[a] = c.Models[s.Model].Adapters[a].Manifest
	}
	return out
}
