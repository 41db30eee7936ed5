package settings

import (
	"fmt"
	"slices"
	"time"

	"github.com/poststand/poststand/internal/strict"
)

// DirectCommon holds the settings that Relay and Stager share.
type DirectCommon struct {
	Cluster string   `yaml:"cluster"` // Peers of other clusters are refused.
	Box     string   `yaml:"box"`
	Hall    string   `yaml:"hall"`
	Listen  string   `yaml:"listen"` // IP and port for other processes of the system.
	Admin   string   `yaml:"admin"`  // IP and port for metrics and status; not served if empty.
	Store   string   `yaml:"store"`  // IP and port of the platform's service.
	Join    []string `yaml:"join"`   // Gateways to contact before any other is known.
}

// Relay holds the settings of a gateway that sends requests directly to upstreams.
type Relay struct {
	DirectCommon `yaml:",inline"`
	HTTP         string `yaml:"http"`  // IP and port for callers.
	Ready        string `yaml:"ready"` // IP and port of the load balancer's readiness check.
	// AgentPort is the port of the agents' listen addresses, at the IPs of their replicas. Without
	// it agents are not queried for the load of their replicas.
	AgentPort int `yaml:"agent_port"`
	// FirstStart reports that no gateway of the system has run before, so that none can have made
	// retries.
	FirstStart      bool `yaml:"first_start"`
	RelayReloadable `yaml:",inline"`
}

// RelayReloadable holds the settings of a gateway that may change while it runs.
type RelayReloadable struct {
	// GracePeriod is the time from the signal to stop until the process is killed.
	GracePeriod time.Duration `yaml:"grace_for"`
	// VersionWithin is the time from when a target version is set until no request may
	// start on an older one.
	VersionWithin time.Duration `yaml:"version_within"`
	// ApplyWithin is the time from when the platform stores a configuration until it is in
	// force; 2 s by default.
	ApplyWithin time.Duration `yaml:"apply_within"`
	// DrainWithin is the time from when the platform lists an upstream as leaving until
	// no request may be sent to it. Zero, the default, means immediately.
	DrainWithin time.Duration `yaml:"drain_within"`
	// Regions maps halls to their regions. Requests that are restricted to regions are not sent
	// to halls that are missing here.
	Regions map[string]string `yaml:"regions"`
	// RetryRatio, RetryWindow and RetrySlack are the retry budget of a service over all
	// gateways: in any RetryWindow it allows RetryRatio of the service's requests plus
	// RetrySlack.
	RetryRatio  float64       `yaml:"retry_ratio"`
	RetryWindow time.Duration `yaml:"retry_window"`
	RetrySlack  int           `yaml:"retry_slack"`
}

// Stager holds the settings of an agent that stages weights for its replica.
type Stager struct {
	DirectCommon     `yaml:",inline"`
	StagerReloadable `yaml:",inline"`
	Replica          string `yaml:"replica"` // IP and port of the replica on this box.
	Service          string `yaml:"service"` // The service that the replica belongs to.
	Memory           int64  `yaml:"memory"`  // Bytes of weights kept; 64 MiB by default.
}

// StagerReloadable holds the settings of an agent that may change while it runs.
type StagerReloadable struct {
	// VersionWithin is the time from when a target version is set until no request may
	// start on an older one.
	VersionWithin time.Duration `yaml:"version_within"`
	Link          float64       `yaml:"link"` // Megabits per second of the box's link, which the replica shares.
}

const (
	defaultStagerMemory = 64 << 20
	defaultApplyWithin  = 2 * time.Second
	maxPort             = 1<<16 - 1
)

// LoadRelay reads the settings of a gateway, or returns every problem in them.
func LoadRelay(file string) (*Relay, error) {
	r := &Relay{}
	d, err := decodeFile(file, r)
	if err != nil {
		return nil, err
	}
	setDefault(&r.ApplyWithin, defaultApplyWithin)
	checkDirectCommon(d, &r.DirectCommon)
	checkAddr(d, "http", r.HTTP)
	checkAddr(d, "ready", r.Ready)
	if r.AgentPort < 0 || r.AgentPort > maxPort {
		d.Report("agent_port", fmt.Sprintf("want a port from 1 to %d, or none, not %d", maxPort, r.AgentPort))
	}
	for key, v := range map[string]time.Duration{
		"grace_for": r.GracePeriod, "version_within": r.VersionWithin, "retry_window": r.RetryWindow,
		"apply_within": r.ApplyWithin,
	} {
		checkPositive(d, key, int64(v))
	}
	if r.DrainWithin < 0 {
		d.Report("drain_within", "must not be negative")
	}
	if r.RetryRatio < 0 || r.RetrySlack < 0 {
		d.Report("retry_ratio", "retry_ratio and retry_slack must not be negative")
	}
	return r, problemsError(d)
}

// LoadStager reads the settings of an agent, or returns every problem in them.
func LoadStager(file string) (*Stager, error) {
	s := &Stager{}
	d, err := decodeFile(file, s)
	if err != nil {
		return nil, err
	}
	setDefault(&s.Memory, defaultStagerMemory)
	checkDirectCommon(d, &s.DirectCommon)
	checkAddr(d, "replica", s.Replica)
	checkPositive(d, "memory", s.Memory)
	checkPositive(d, "version_within", int64(s.VersionWithin))
	if s.Link <= 0 {
		d.Report("link", "must be greater than 0")
	}
	if s.Service == "" {
		d.Report("service", "must be set")
	}
	if len(s.Join) == 0 {
		d.Report("join", "must list at least one gateway")
	}
	return s, problemsError(d)
}

func checkDirectCommon(d *strict.Document, o *DirectCommon) {
	checkIdentity(d, o.Cluster, o.Box, o.Hall)
	checkAddr(d, "listen", o.Listen)
	checkAddr(d, "store", o.Store)
	if o.Admin != "" {
		checkAddr(d, "admin", o.Admin)
	}
	checkJoin(d, o.Join)
}

// CanReload reports whether r and other differ at most in the settings that may change while
// the process runs.
func (r *Relay) CanReload(other *Relay) bool {
	return r.DirectCommon.equal(&other.DirectCommon) && r.HTTP == other.HTTP && r.Ready == other.Ready && r.AgentPort == other.AgentPort
}

// CanReload reports whether s and other differ at most in the settings that may change while
// the process runs.
func (s *Stager) CanReload(other *Stager) bool {
	return s.DirectCommon.equal(&other.DirectCommon) && s.Replica == other.Replica && s.Service == other.Service && s.Memory == other.Memory
}

func (o *DirectCommon) equal(other *DirectCommon) bool {
	return o.Cluster == other.Cluster && o.Box == other.Box && o.Hall == other.Hall && o.Listen == other.Listen &&
		o.Admin == other.Admin && o.Store == other.Store && slices.Equal(o.Join, other.Join)
}
