package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/wire"
)

// Times and limits of a relay's server.
const (
	// balancerNotice allows for two failed health checks of the load balancer, and one that
	// may be in progress.
	balancerNotice = 3200 * time.Millisecond
	// streamCutoff is the time from the start of a drain by which the load balancer has noticed
	// it, unless it uses all gateways of a hall because too few are ready.
	streamCutoff      = 2800 * time.Millisecond
	exitMargin        = 300 * time.Millisecond // Time left before the end of the grace period, when the process would be killed.
	answerMargin      = 100 * time.Millisecond // Time between the last answers and the exit.
	callerIdleTimeout = 2 * time.Minute        // Longer than callers keep an idle connection.
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	peerConfigWait    = 1500 * time.Millisecond // Peers may have a newer configuration than the platform returns.
)

// Ready returns nil while the process may receive requests.
func (g *Relay) Ready() error {
	if g.draining() {
		return fault.New(fault.Draining, "")
	}
	if g.catalog.Get().Config == nil {
		return fault.New(fault.NotReady, "no configuration")
	}
	return nil
}

func (g *Relay) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
		if g.Ready() != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// Server returns the server for connections of other processes.
func (g *Relay) Server() *wire.Server {
	return &wire.Server{Local: g.pool.Local, Codec: Codec, Handlers: g.handlers, Options: g.pool.Options}
}

// Run runs the relay until ctx ends or one of its tasks fails, and then drains it.
func (g *Relay) Run(ctx context.Context) error {
	s := g.Settings
	onFault := func(c fault.Code) { g.Metrics.Event("listener", string(c)) }
	var lns [3]net.Listener
	for i, addr := range []string{s.Listen, s.Ready, s.HTTP} {
		ln, err := wire.Listen(addr, onFault)
		if err != nil {
			return err
		}
		lns[i] = ln
	}
	stop, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	k := kernel.Kernel{OnFailure: fail}
	g.AddTasks(&k)
	srv := g.Server()
	k.Add("peers", srv, func(ctx context.Context) error { return srv.Serve(ctx, lns[0]) })
	k.AddTask(func(ctx context.Context) error {
		return telemetry.ServeHTTP(ctx, lns[1], &http.Server{Handler: g.readiness()})
	})
	if s.Admin != "" {
		admin, err := wire.Listen(s.Admin, onFault)
		if err != nil {
			return err
		}
		a := &telemetry.Admin{Metrics: g.Metrics, Ready: g.Ready, Status: func() any { return g.Status() }}
		k.AddTask(func(ctx context.Context) error { return telemetry.ServeHTTP(ctx, admin, a.Server()) })
	}
	k.AddDrainTask(func(lifetime context.Context) error { return g.ServeCallers(stop, lifetime, lns[2]) })
	telemetry.Log("gateway_started", "box", s.Box, "hall", s.Hall, "incarnation", g.pool.Local.Incarnation)
	defer g.Close()
	err := k.Run(context.Background())
	telemetry.Log("gateway_stopped", "box", s.Box, "reason", fault.CodeOf(err), "error", err)
	return err
}

// Status is the state that a relay reports about itself.
type Status struct {
	Role     string                    `json:"role"`
	Box      string                    `json:"box"`
	Hall     string                    `json:"hall"`
	Era      uint64                    `json:"era"` // Era of the platform's store; see mirror.Position.
	Revision uint64                    `json:"revision"`
	Version  uint64                    `json:"configuration"`
	Draining bool                      `json:"draining"`
	Watching bool                      `json:"watching"` // Whether this gateway watches the platform itself.
	Peers    []string                  `json:"peers"`
	Weights  map[string]map[uint64]int `json:"weights"` // Number of replicas by service and version.
}

// Status returns the current state of the relay.
func (g *Relay) Status() *Status {
	c := g.catalog.Get()
	s := &Status{
		Role: "gateway", Box: g.Settings.Box, Hall: g.Settings.Hall, Revision: c.Position.Revision(), Era: c.Position.Era(), Version: c.Version,
		Draining: g.draining(), Watching: g.options.Follower.Watching(), Weights: map[string]map[uint64]int{},
	}
	for _, m := range g.gossip.Live() {
		s.Peers = append(s.Peers, m.Addr)
	}
	if c.Config != nil {
		for name, svc := range c.Config.Services {
			if svc.Model != "" {
				s.Weights[name] = g.table.CountByVersion(time.Now(), name)
			}
		}
	}
	return s
}
