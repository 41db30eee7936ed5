package config

import (
	"time"
)

// Config is one valid revision, merged and with defaults filled in.
type Config struct {
	Halls         map[string]Hall         `yaml:"halls"`
	Models        map[string]Model        `yaml:"models"`
	Services      map[string]Service      `yaml:"services"`
	Organisations map[string]Organisation `yaml:"organisations"`
	Limits        Limits                  `yaml:"limits"`
	Weights       Weights                 `yaml:"weights"`
	// Routes and the other fields tagged yaml:"-" come from platforms that publish their
	// own configuration; operators' files cannot set them.
	Routes  map[string]Route `yaml:"-"`
	Callers CallerLimits     `yaml:"-"`
}

// Hall is a site with its own boxes.
type Hall struct {
	Region string `yaml:"region"`
}

// Model has versions of its weights, and adapters.
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

// Service is a model or plain service that callers request by name.
type Service struct {
	Kind     string         `yaml:"kind"`     // KindModel or KindPlain.
	Boxes    string         `yaml:"boxes"`    // The class of boxes in the fleet list that may serve it.
	Replicas map[string]int `yaml:"replicas"` // Number of replicas in each hall.
	Model    string         `yaml:"model"`
	Version  string         `yaml:"version"`
	Adapters []string       `yaml:"adapters"`
	Role     string         `yaml:"role"` // The role that the engine is ordered to take; "serve" by default.
	// ReadyBeforeTraffic is how many replicas of a hall must have confirmed a version
	// before the version gets its first request there; at least 1.
	ReadyBeforeTraffic int `yaml:"ready_before_traffic"`
	// ReloadAtMost bounds how many replicas of a hall change version at the same time.
	ReloadAtMost int `yaml:"reload_at_most"`
	// ChecksOrders reports that the engine itself refuses a fenced order.
	ChecksOrders bool `yaml:"checks_orders"`
	// Engine describes the speed of the service's replicas, for services that routes send
	// requests to.
	Engine Engine `yaml:"-"`
	// Origin is the address of the origin of the service's weights, and OriginRate the
	// rate of its link in bytes per second.
	Origin     string  `yaml:"-"`
	OriginRate float64 `yaml:"-"`
	MaxConns   int     `yaml:"-"` // Maximum number of connections to one replica.
	// ColdRate is how many requests per second a replica bears from all gateways together while
	// it is cold, for ColdFor after a start; 0 if it bears as many as ever.
	ColdRate float64       `yaml:"-"`
	ColdFor  time.Duration `yaml:"-"`
}

// Organisation is a customer with its share and limits.
type Organisation struct {
	Weight      int      `yaml:"weight"`    // Share of a contended queue; 1 by default.
	Rate        float64  `yaml:"rate"`      // Requests per second over all gateways; 0 is no limit.
	InFlight    int      `yaml:"in_flight"` // Concurrent requests over all gateways; 0 is no limit.
	APIKeys     []string `yaml:"-"`         // API keys that identify the organisation's requests.
	Priority    int      `yaml:"-"`         // Priority; 0 is the most urgent. Overrides the route's if HasPriority is set.
	HasPriority bool     `yaml:"-"`
	// AllowedRegions are the regions where its requests may be served; empty for all. See
	// Residency.
	AllowedRegions []string `yaml:"-"`
}

// Limits bounds the queues, deadlines and retries of gateways.
type Limits struct {
	Queue        int           `yaml:"queue"`         // Requests waiting in a gateway.
	Deadline     time.Duration `yaml:"deadline"`      // For requests without a timeout of their own.
	MaxDeadline  time.Duration `yaml:"max_deadline"`  // The longest timeout that a request may set.
	RetryPercent int           `yaml:"retry_percent"` // Retries per hundred requests.
	KeyWindow    time.Duration `yaml:"key_window"`    // How long an idempotency key is remembered.
}

// Policies of weight distribution.
const (
	PolicyTime        = "time"
	PolicyOriginBytes = "origin-bytes"
)

// Weights configures the distribution of weights.
type Weights struct {
	Policy       string        `yaml:"policy"`        // PolicyTime or PolicyOriginBytes.
	Window       time.Duration `yaml:"window"`        // The time in which the origin's link carries OriginCopies.
	OriginCopies float64       `yaml:"origin_copies"` // Copies of a model that the origin sends within Window.
	UploadSlots  int           `yaml:"upload_slots"`  // Concurrent chunk uploads of a box.
	LinkPercent  int           `yaml:"link_percent"`  // Share of a box's link for weights while it serves traffic.
}

// Defaults for settings that a configuration omits.
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

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
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

// VersionDigest returns the manifest digest of the version that s declares, or the empty string
// for a plain service.
func (c *Config) VersionDigest(s Service) string {
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
