package stack

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/agent"
	"github.com/poststand/poststand/internal/gateway"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/internal/standin"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/wire"
)

// Stack is a simulated deployment. Set the fields down to Transport, then call Start.
type Stack struct {
	Halls      int // 1 by default.
	Gateways   int // In each hall.
	Engines    int // In each hall.
	PlainBoxes int // In each hall.
	Slots      int // Of each agent; 8 by default.
	Queue      int // Of each agent; 16 by default.
	NewEngine  func(i int) *standin.Engine
	Config     string // Additional sections of the configuration.
	// OriginLink is the rate of the origin's link, in bytes per second, after the first copy; 0
	// means no limit.
	OriginLink float64
	Options    gateway.Options
	// WrapConn, if set, wraps each connection between two boxes, to inject faults. The listening
	// side passes its own name as from and an empty to.
	WrapConn func(nc net.Conn, from, to string) net.Conn
	// Transport connects to the stand-ins. Set its Wrap to inject faults into their answers.
	Transport simnet.Transport

	Net      *simnet.Network
	Platform *standin.Platform
	Origin   *standin.Origin
	Boxes    map[string]fleet.Box
	Digests  map[string]string // Of v1 and v2 of the model and of the adapter, by those names.

	Ledgers map[string]*standin.Ledger

	mu        sync.Mutex
	processes map[string]process
	agents    map[string]*agent.Agent
	hosts     map[string]http.Handler
}

// process is a running process: cancel stops it, done is closed when it has ended.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Start publishes a configuration with version v1 and starts all processes.
func (s *Stack) Start() error {
	s.Halls = max(1, s.Halls)
	s.Net = &simnet.Network{Small: 1 << 30, Latency: latency}
	s.Platform, s.Origin = &standin.Platform{}, &standin.Origin{Link: s.OriginLink}
	s.Boxes, s.Digests = map[string]fleet.Box{}, map[string]string{}
	s.processes, s.agents = map[string]process{}, map[string]*agent.Agent{}
	s.hosts, s.Ledgers = map[string]http.Handler{}, map[string]*standin.Ledger{}
	s.hosts["platform:1"], s.hosts["origin:1"] = s.Platform, s.Origin
	s.Transport.Find = s.findHost
	for _, v := range []string{"v1", "v2"} {
		const size, chunk = 64 << 10, 8 << 10
		d, err := s.Origin.Add(standin.Artifact{Model: "m", Version: v, Bytes: size, ChunkSize: chunk})
		if err != nil {
			return err
		}
		s.Digests[v] = d
	}
	d, err := s.Origin.Add(standin.Artifact{Model: "m-adapter", Version: "v1", Bytes: 4 << 10, ChunkSize: 2 << 10})
	if err != nil {
		return err
	}
	s.Digests[adapter] = d
	for h := range s.Halls {
		s.addHall(h)
	}
	s.PublishVersion("v1")
	s.Platform.SetFleet(s.Boxes)
	for _, name := range rendezvous.Sorted(s.Boxes) {
		if err := s.StartBox(name); err != nil {
			return err
		}
	}
	return nil
}

// adapter is the name of the model service's adapter.
const adapter = "gentle"

// latency returns a delay of 0.5 to 0.6 ms, fixed for each pair of boxes.
func latency(a, b string) time.Duration {
	return 500*time.Microsecond + time.Duration(rendezvous.Score(a, b)%100_000)
}

func (s *Stack) addHall(h int) {
	hall := fmt.Sprintf("h%d", h)
	add := func(class string, n int) {
		for i := range n {
			name := fmt.Sprintf("%s-%s%d", hall, class, i)
			s.Boxes[name] = fleet.Box{Name: name, Hall: hall, Class: class, Addr: name}
		}
	}
	add(fleet.ClassGateway, s.Gateways)
	add("engine", s.Engines)
	add("plain", s.PlainBoxes)
	for i := range s.Engines {
		e := &standin.Engine{FirstToken: 5 * time.Millisecond, PerToken: time.Millisecond, Batch: 8}
		if s.NewEngine != nil {
			e = s.NewEngine(i)
		}
		e.HTTP = &http.Client{Transport: &s.Transport}
		name := fmt.Sprintf("%s-engine%d", hall, i)
		s.hosts[name+":7200"], s.Ledgers[name] = e, &e.Ledger
	}
	for i := range s.PlainBoxes {
		p := &standin.Plain{Name: "plain", ServiceTime: 2 * time.Millisecond}
		name := fmt.Sprintf("%s-plain%d", hall, i)
		s.hosts[name+":7200"], s.Ledgers[name] = p, &p.Ledger
	}
}

func (s *Stack) findHost(host string) http.Handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[host]
}

// PublishVersion publishes a configuration whose model service has the given version, and returns
// its revision.
func (s *Stack) PublishVersion(version string) uint64 {
	var b bytes.Buffer
	engines, plains, halls := "", "", ""
	for h := range s.Halls {
		halls += fmt.Sprintf("h%d: {}, ", h)
		engines += fmt.Sprintf("h%d: %d, ", h, s.Engines)
		plains += fmt.Sprintf("h%d: %d, ", h, s.PlainBoxes)
	}
	fmt.Fprintf(&b, "halls: {%s}\n", halls)
	fmt.Fprintf(&b, "models: {m: {versions: {v1: {manifest: %q}, v2: {manifest: %q}}, adapters: {%s: {manifest: %q}}}}\n",
		s.Digests["v1"], s.Digests["v2"], adapter, s.Digests[adapter])
	fmt.Fprintf(&b, "services:\n  chat: {boxes: engine, model: m, version: %s, adapters: [%s], replicas: {%s}}\n", version, adapter, engines)
	if s.PlainBoxes > 0 {
		fmt.Fprintf(&b, "  plain: {kind: plain, boxes: plain, replicas: {%s}}\n", plains)
	}
	b.WriteString(s.Config)
	return s.Platform.Publish(map[string][]byte{"all.yaml": b.Bytes()})
}

func (s *Stack) commonSettings(b fleet.Box) settings.Common {
	return settings.Common{
		Cluster: "c", Box: b.Name, Hall: b.Hall, Listen: b.Name, DrainTimeout: time.Minute, MaxConns: 4096,
		Join: []string{"h0-gateway0"},
	}
}

// StartBox starts the process of a box.
func (s *Stack) StartBox(name string) error {
	b := s.Boxes[name]
	ctx, cancel := context.WithCancel(context.Background())
	start := s.startAgent
	if b.Class == fleet.ClassGateway {
		start = s.startGateway
	}
	var k kernel.Kernel
	done := make(chan struct{})
	srv, err := start(ctx, b, &k, process{cancel, done})
	if err != nil {
		cancel()
		return err
	}
	s.Net.Add(&simnet.End{Name: name, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: func(_ context.Context, nc net.Conn) {
		if s.WrapConn != nil {
			nc = s.WrapConn(nc, name, "")
		}
		srv.ServeConn(ctx, nc)
	}})
	go func() {
		defer close(done)
		_ = k.Run(ctx)
	}()
	return nil
}

func (s *Stack) dial(from string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := s.Net.Dial(ctx, from, addr)
		if err != nil || s.WrapConn == nil {
			return nc, err
		}
		return s.WrapConn(nc, from, addr), nil
	}
}

func (s *Stack) startGateway(ctx context.Context, b fleet.Box, k *kernel.Kernel, p process) (*wire.Server, error) {
	o := s.Options
	o.Dial, o.Platform = s.dial(b.Name), s.Client()
	g, err := gateway.New(&settings.Gateway{
		Common: s.commonSettings(b), Platform: "http://platform:1", MaxBody: 1 << 20, MaxAnswer: 1 << 20, MaxAttempts: 4,
	}, o)
	if err != nil {
		return nil, err
	}
	g.AddTasks(k)
	context.AfterFunc(ctx, g.Close)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[b.Name] = p
	s.hosts[b.Name+":80"] = g.CallerHandler()
	return g.Server(), nil
}

func (s *Stack) startAgent(ctx context.Context, b fleet.Box, k *kernel.Kernel, p process) (*wire.Server, error) {
	a, err := agent.New(&settings.Agent{
		Common: s.commonSettings(b), Engine: "http://" + b.Name + ":7200", Source: b.Name + ":7500", Origin: "http://origin:1",
		Memory: 1 << 20, Strategy: settings.StrategySwarm, Slots: max(8, s.Slots), Queue: max(16, s.Queue),
	}, agent.Options{Dial: s.dial(b.Name), Engine: s.Client(), Origin: s.Client()})
	if err != nil {
		return nil, err
	}
	a.AddTasks(k)
	context.AfterFunc(ctx, a.Close)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[b.Name] = p
	s.agents[b.Name] = a
	s.hosts[b.Name+":7500"] = a.SourceHandler()
	return a.Server(), nil
}

// Kill ends a box's process at once, as a power cut does.
func (s *Stack) Kill(name string) {
	s.mu.Lock()
	p := s.processes[name]
	delete(s.hosts, name+":80")
	s.mu.Unlock()
	s.Net.Remove(name)
	p.cancel()
	<-p.done
}

// Agent returns the agent of a box.
func (s *Stack) Agent(name string) *agent.Agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agents[name]
}

// CallerHandler returns the handler of a gateway for callers' requests.
func (s *Stack) CallerHandler(name string) http.Handler { return s.findHost(name + ":80") }

// Client returns an HTTP client whose hosts are "BOX:80" and "BOX:7200".
func (s *Stack) Client() *http.Client { return &http.Client{Transport: &s.Transport} }

// Freeze stalls all traffic of a box with the others, as a stopped process or a dead switch
// does, or resumes it.
func (s *Stack) Freeze(name string, frozen bool) {
	for other := range s.Boxes {
		if other != name {
			s.Net.Stall(name, other, frozen)
		}
	}
}

// WaitReady waits for at most a minute until every engine's agent serves a version.
func (s *Stack) WaitReady(version string) error {
	deadline := time.Now().Add(time.Minute)
	for time.Now().Before(deadline) {
		n := 0
		s.mu.Lock()
		for _, a := range s.agents {
			if a.Serves(s.Digests[version]) || a.Serves("") {
				n++
			}
		}
		want := len(s.agents)
		s.mu.Unlock()
		if n == want {
			time.Sleep(time.Second) // Until the gateways have received the reports.
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fault.New(fault.NotReady, version)
}

// Stop kills all processes and waits until their goroutines have ended.
func (s *Stack) Stop() {
	s.Platform.SetMode(standin.Mode{Down: true})
	for name := range s.Boxes {
		s.Kill(name)
	}
	time.Sleep(3 * time.Minute) // Longer than any remaining sleep.
}
