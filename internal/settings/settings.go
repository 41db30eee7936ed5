// Package settings reads the YAML settings of one process: its identity, addresses and
// local limits. Services, models and organisations come from the configuration that
// operators publish, see package config.
//
// LoadGateway and LoadAgent read the settings of the processes of a fleet with agents at
// all upstreams. LoadRelay and LoadStager read those of gateways that send requests
// directly to the platform's replicas and of agents that stage weights for them.
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

// Common holds the settings that Gateway and Agent share.
type Common struct {
	Cluster      string        `yaml:"cluster"`   // Peers of other clusters are refused.
	Box          string        `yaml:"box"`       // The box's name in the fleet list.
	Hall         string        `yaml:"hall"`      // The hall of the box.
	Listen       string        `yaml:"listen"`    // IP and port for other processes of the system.
	Admin        string        `yaml:"admin"`     // IP and port for metrics, health and status.
	Join         []string      `yaml:"join"`      // Gateways to contact before a fleet list is known.
	DrainTimeout time.Duration `yaml:"drain_for"` // How long a planned stop waits for requests; 2m by default.
	MaxConns     int           `yaml:"max_conns"` // Maximum number of connections from peers; 4096 by default.
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Common        `yaml:",inline"`
	HTTP          string        `yaml:"http"`         // IP and port for callers.
	Platform      string        `yaml:"platform"`     // URL of the platform's service.
	MaxBody       int           `yaml:"max_body"`     // Maximum size of a caller's request in bytes; 4 MiB by default.
	MaxAnswer     int           `yaml:"max_answer"`   // Maximum size of a buffered answer in bytes; 8 MiB by default.
	HeaderTimeout time.Duration `yaml:"header_wait"`  // Timeout for a caller's request headers; 5s by default.
	BodyTimeout   time.Duration `yaml:"body_wait"`    // Timeout for a caller's whole request; 20s by default.
	LingerPeriod  time.Duration `yaml:"linger_for"`   // How long new callers are still served after a stop is announced; 3s by default.
	MaxAttempts   int           `yaml:"max_attempts"` // Maximum attempts for one request; 4 by default.
}

// Agent holds the settings of an agent.
type Agent struct {
	Common             `yaml:",inline"`
	Engine             string `yaml:"engine"`            // URL of the engine or plain service on this box.
	Source             string `yaml:"source"`            // IP and port from which the engine pulls weights.
	Origin             string `yaml:"origin"`            // URL of the origin of weights.
	Memory             int64  `yaml:"memory"`            // Bytes of weights kept in memory; 1 GiB by default.
	Slots              int    `yaml:"slots"`             // Concurrent requests; 8 by default.
	Queue              int    `yaml:"queue"`             // Maximum number of queued requests; 16 by default.
	Strategy           string `yaml:"strategy"`          // Strategy of weight distribution; swarm by default, and the same on all boxes.
	LinkBytesPerSecond int64  `yaml:"link_bytes_second"` // Bytes per second of the box's link; 0 is unknown, and transfers are not paced.
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

// Strategies of weight distribution.
const (
	StrategySwarm  = "swarm"
	StrategyTree   = "tree"
	StrategyDirect = "direct"
)

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// LoadGateway reads the settings of a gateway, or returns every problem in them.
func LoadGateway(file string) (*Gateway, error) {
	g := &Gateway{}
	d, err := decodeFile(file, g)
	if err != nil {
		return nil, err
	}
	setDefault(&g.MaxBody, defaultMaxBody)
	setDefault(&g.MaxAnswer, defaultMaxAnswer)
	setDefault(&g.HeaderTimeout, defaultHeaderWait)
	setDefault(&g.BodyTimeout, defaultBodyWait)
	setDefault(&g.LingerPeriod, defaultLingerFor)
	setDefault(&g.MaxAttempts, defaultMaxAttempts)
	checkCommon(d, &g.Common)
	checkAddr(d, "http", g.HTTP)
	checkURL(d, "platform", g.Platform)
	checkPositive(d, "max_body", int64(g.MaxBody))
	checkPositive(d, "max_answer", int64(g.MaxAnswer))
	checkPositive(d, "max_attempts", int64(g.MaxAttempts))
	return g, problemsError(d)
}

// LoadAgent reads the settings of an agent, or returns every problem in them.
func LoadAgent(file string) (*Agent, error) {
	a := &Agent{}
	d, err := decodeFile(file, a)
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
		d.Report("join", "must list at least one gateway")
	}
	return a, problemsError(d)
}

func decodeFile(file string, out any) (*strict.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.BadConfig, err, file)
	}
	return strict.Decode(file, data, out), nil
}

func problemsError(d *strict.Document) error {
	if len(d.Problems) == 0 {
		return nil
	}
	d.Problems.Sort()
	return fault.Wrap(fault.BadConfig, d.Problems, "")
}

func checkCommon(d *strict.Document, c *Common) {
	setDefault(&c.DrainTimeout, defaultDrainFor)
	setDefault(&c.MaxConns, defaultMaxConns)
	checkIdentity(d, c.Cluster, c.Box, c.Hall)
	checkAddr(d, "listen", c.Listen)
	checkAddr(d, "admin", c.Admin)
	checkJoin(d, c.Join)
	checkPositive(d, "max_conns", int64(c.MaxConns))
}

func checkIdentity(d *strict.Document, cluster, box, hall string) {
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

// checkAddr requires an IP address, since processes do not resolve host names of others.
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
