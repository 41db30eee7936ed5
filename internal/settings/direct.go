package settings

import (
	"slices"
	"time"

	"github.com/poststand/poststand/internal/strict"
)

// Own is what a process of a fleet without disks is told of itself.
type Own struct {
	Cluster string   `yaml:"cluster"` // Peers of other clusters are refused.
	Box     string   `yaml:"box"`
	Hall    string   `yaml:"hall"`
	Listen  string   `yaml:"listen"` // IP and port for other processes of the system.
	Admin   string   `yaml:"admin"`  // IP and port for metrics and status; none if empty.
	Store   string   `yaml:"store"`  // IP and port of the platform's service.
	Join    []string `yaml:"join"`   // Gateways to ask before any is known.
}

// Relay is the settings of a gateway that sends requests straight to upstreams.
type Relay struct {
	Own         `yaml:",inline"`
	HTTP        string `yaml:"http"`  // IP and port for callers.
	Ready       string `yaml:"ready"` // IP and port where the balancer asks.
	RelayBounds `yaml:",inline"`
}

// RelayBounds is what of a gateway's settings may change while it runs.
type RelayBounds struct {
	// GraceFor is the time from the signal to stop until the process is killed.
	GraceFor time.Duration `yaml:"grace_for"`
	// VersionWithin is the time from the naming of a version until no request may
	// begin on an older one.
	VersionWithin time.Duration `yaml:"version_within"`
	// ApplyWithin is the time from when the platform has a configuration until it is in
	// force; 2 s by default.
	ApplyWithin time.Duration `yaml:"apply_within"`
	// DrainWithin is the time from when the platform says that an upstream leaves
	// until no request may reach it. Zero, the default, is at once.
	DrainWithin time.Duration `yaml:"drain_within"`
	// Retries, of a service and over all gateways, in any RetryWindow: RetryRatio
	// of its requests and RetrySlack.
	RetryRatio  float64       `yaml:"retry_ratio"`
	RetryWindow time.Duration `yaml:"retry_window"`
	RetrySlack  int           `yaml:"retry_slack"`
}

// Stager is the settings of an agent that stages weights for its replica.
type Stager struct {
	Own          `yaml:",inline"`
	StagerBounds `yaml:",inline"`
	Replica      string `yaml:"replica"` // IP and port of the replica on this box.
	Service      string `yaml:"service"` // That the replica belongs to.
	Memory       int64  `yaml:"memory"`  // Bytes of weights kept; 64 MiB by default.
}

// StagerBounds is what of an agent's settings may change while it runs.
type StagerBounds struct {
	// VersionWithin is the time from the naming of a version until no request may
	// begin on an older one.
	VersionWithin time.Duration `yaml:"version_within"`
	Link          float64       `yaml:"link"` // Megabits a second of the box's link, which the replica shares.
}

const (
	defaultStagerMemory = 64 << 20
	defaultApplyWithin  = 2 * time.Second
)

// LoadRelay reads the settings of a gateway, or returns every fault in them.
func LoadRelay(file string) (*Relay, error) {
	r := &Relay{}
	d, err := read(file, r)
	if err != nil {
		return nil, err
	}
	setDefault(&r.ApplyWithin, defaultApplyWithin)
	checkOwn(d, &r.Own)
	checkAddr(d, "http", r.HTTP)
	checkAddr(d, "ready", r.Ready)
	for key, v := range map[string]time.Duration{
		"grace_for": r.GraceFor, "version_within": r.VersionWithin, "retry_window": r.RetryWindow,
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
	return r, problems(d)
}

// LoadStager reads the settings of an agent, or returns every fault in them.
func LoadStager(file string) (*Stager, error) {
	s := &Stager{}
	d, err := read(file, s)
	if err != nil {
		return nil, err
	}
	setDefault(&s.Memory, defaultStagerMemory)
	checkOwn(d, &s.Own)
	checkAddr(d, "replica", s.Replica)
	checkPositive(d, "memory", s.Memory)
	checkPositive(d, "version_within", int64(s.VersionWithin))
	if s.Link <= 0 {
		d.Report("link", "must be over 0")
	}
	if s.Service == "" {
		d.Report("service", "must be set")
	}
	if len(s.Join) == 0 {
		d.Report("join", "names no gateway")
	}
	return s, problems(d)
}

func checkOwn(d *strict.Document, o *Own) {
	checkNamed(d, o.Cluster, o.Box, o.Hall)
	checkAddr(d, "listen", o.Listen)
	checkAddr(d, "store", o.Store)
	if o.Admin != "" {
		checkAddr(d, "admin", o.Admin)
	}
	checkJoin(d, o.Join)
}

// Fixed reports whether two settings differ only in what may change while the
// process runs.
func (r *Relay) Fixed(o *Relay) bool {
	return r.Own.same(&o.Own) && r.HTTP == o.HTTP && r.Ready == o.Ready
}

// Fixed reports whether two settings differ only in what may change while the
// process runs.
func (s *Stager) Fixed(o *Stager) bool {
	return s.Own.same(&o.Own) && s.Replica == o.Replica && s.Service == o.Service && s.Memory == o.Memory
}

func (o *Own) same(p *Own) bool {
	return o.Cluster == p.Cluster && o.Box == p.Box && o.Hall == p.Hall && o.Listen == p.Listen &&
		o.Admin == p.Admin && o.Store == p.Store && slices.Equal(o.Join, p.Join)
}
