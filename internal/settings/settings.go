// Package settings reads the YAML settings of one process. They say who and
// where it is; what it does comes from the configuration that operators publish.
package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/strict"
)

// Common is what every process has.
type Common struct {
	Cluster  string        `yaml:"cluster"`   // Peers of other clusters are refused.
	Box      string        `yaml:"box"`       // The box's name in the fleet list.
	Hall     string        `yaml:"hall"`      // Its hall.
	Listen   string        `yaml:"listen"`    // IP and port for other processes of the system.
	Admin    string        `yaml:"admin"`     // IP and port for metrics, health and status.
	Join     []string      `yaml:"join"`      // Gateways to ask before a fleet list is known.
	DrainFor time.Duration `yaml:"drain_for"` // How long a planned stop waits for requests; 2m by default.
	MaxConns int           `yaml:"max_conns"` // Connections from peers; 4096 by default.
}

// Gateway is the settings of a gateway.
type Gateway struct {
	Common      `yaml:",inline"`
	HTTP        string        `yaml:"http"`         // IP and port for callers.
	Platform    string        `yaml:"platform"`     // URL of the platform's service.
	MaxBody     int           `yaml:"max_body"`     // Bytes of a caller's request; 4 MiB by default.
	MaxAnswer   int           `yaml:"max_answer"`   // Bytes of a buffered answer; 8 MiB by default.
	HeaderWait  time.Duration `yaml:"header_wait"`  // For a caller's request headers; 5s by default.
	BodyWait    time.Duration `yaml:"body_wait"`    // For a caller's whole request; 20s by default.
	LingerFor   time.Duration `yaml:"linger_for"`   // After a stop is announced, new callers are still served; 3s by default.
	MaxAttempts int           `yaml:"max_attempts"` // Tries of one request; 4 by default.
}

// Agent is the settings of an agent.
type Agent struct {
	Common   `yaml:",inline"`
	Engine   string `yaml:"engine"`            // URL of the engine or plain service on this box.
	Source   string `yaml:"source"`            // IP and port from which the engine pulls weights.
	Origin   string `yaml:"origin"`            // URL of the origin of weights.
	Memory   int64  `yaml:"memory"`            // Bytes of weights kept; 1 GiB by default.
	Slots    int    `yaml:"slots"`             // Requests that run at once; 8 by default.
	Queue    int    `yaml:"queue"`             // Requests that wait; 16 by default.
	Strategy string `yaml:"strategy"`          // Of distribution; swarm by default, and the same on all boxes.
	LinkBPS  int64  `yaml:"link_bytes_second"` // The box's link; 0 is unknown, and not paced.
}

const (
	defaultDrainFor    = 2 * time.Minute
	defaultMaxConns    = 4096
	defaultMaxBody     = 4 << 20
	defaultMaxAnswer   = 8 << 20
	defaultHeaderWait  = 5 * time.Second
	defaultBodyWait    = 20 * time.Second
	defaultLingerFor   = 3 * time.Second
	defaultMaxAttempts = 4
	defaultMemory      = 1 << 30
	defaultSlots       = 8
	defaultQueue       = 16
)

// Strategies of distribution.
const (
	StrategySwarm  = "swarm"
	StrategyTree   = "tree"
	StrategyDirect = "direct"
)

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// LoadGateway reads the settings of a gateway, or returns every fault in them.
func LoadGateway(file string) (*Gateway, error) {
	g := &Gateway{}
	d, err := read(file, g)
	if err != nil {
		return nil, err
	}
	setDefault(&g.MaxBody, defaultMaxBody)
	setDefault(&g.MaxAnswer, defaultMaxAnswer)
	setDefault(&g.HeaderWait, defaultHeaderWait)
	setDefault(&g.BodyWait, defaultBodyWait)
	setDefault(&g.LingerFor, defaultLingerFor)
	setDefault(&g.MaxAttempts, defaultMaxAttempts)
	checkCommon(d, &g.Common)
	checkAddr(d, "http", g.HTTP)
	checkURL(d, "platform", g.Platform)
	checkPositive(d, "max_body", int64(g.MaxBody))
	checkPositive(d, "max_answer", int64(g.MaxAnswer))
	checkPositive(d, "max_attempts", int64(g.MaxAttempts))
	return g, problems(d)
}

// LoadAgent reads the settings of an agent, or returns every fault in them.
func LoadAgent(file string) (*Agent, error) {
	a := &Agent{}
	d, err := read(file, a)
	if err != nil {
		return nil, err
	}
	setDefault(&a.Memory, defaultMemory)
	setDefault(&a.Slots, defaultSlots)
	setDefault(&a.Queue, defaultQueue)
	setDefault(&a.Strategy, StrategySwarm)
	switch a.Strategy {
	case StrategySwarm, StrategyTree, StrategyDirect:
	default:
		d.Report("strategy", fmt.Sprintf("want swarm, tree or direct, not %q", a.Strategy))
	}
	checkCommon(d, &a.Common)
	checkURL(d, "engine", a.Engine)
	checkAddr(d, "source", a.Source)
	checkURL(d, "origin", a.Origin)
	checkPositive(d, "memory", a.Memory)
	checkPositive(d, "slots", int64(a.Slots))
	checkPositive(d, "queue", int64(a.Queue))
	if len(a.Join) == 0 {
		d.Report("join", "names no gateway")
	}
	return a, problems(d)
}

func read(file string, out any) (*strict.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.BadConfig, err, file)
	}
	return strict.Decode(file, data, out), nil
}

func problems(d *strict.Document) error {
	if len(d.Problems) == 0 {
		return nil
	}
	d.Problems.Sort()
	return fault.Wrap(fault.BadConfig, d.Problems, "")
}

func checkCommon(d *strict.Document, c *Common) {
	setDefault(&c.DrainFor, defaultDrainFor)
	setDefault(&c.MaxConns, defaultMaxConns)
	checkNamed(d, c.Cluster, c.Box, c.Hall)
	checkAddr(d, "listen", c.Listen)
	checkAddr(d, "admin", c.Admin)
	checkJoin(d, c.Join)
	checkPositive(d, "max_conns", int64(c.MaxConns))
}

func checkNamed(d *strict.Document, cluster, box, hall string) {
	for _, f := range []struct{ key, value string }{{"cluster", cluster}, {"box", box}, {"hall", hall}} {
		if f.value == "" {
			d.Report(f.key, "must be set")
		}
	}
}

func checkJoin(d *strict.Document, join []string) {
	for i, a := range join {
		checkAddr(d, fmt.Sprintf("join.%d", i), a)
	}
}

func checkPositive(d *strict.Document, key string, v int64) {
	if v < 1 {
		d.Report(key, "must be at least 1")
	}
}

// checkAddr wants an IP number, since names are not used between processes.
func checkAddr(d *strict.Document, key, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		d.Report(key, fmt.Sprintf("want an IP number and port such as 127.0.0.1:7400, not %q", addr))
	}
}

func checkURL(d *strict.Document, key, text string) {
	u, err := url.Parse(text)
	if err == nil && strings.HasPrefix(text, "http://") {
		if host, _, err := net.SplitHostPort(u.Host); err == nil && net.ParseIP(host) != nil {
			return
		}
	}
	d.Report(key, fmt.Sprintf("want a URL such as http://127.0.0.1:7000, not %q", text))
}
