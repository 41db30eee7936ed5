package capacity

import (
	"context"
	"flag"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/weights"
	"github.com/poststand/poststand/wire"
)

var measure = flag.Bool("measure", false, "measure and print the slopes")

// TestMeasure prints a line for each slope; scripts/measure control runs it.
func TestMeasure(t *testing.T) {
	if !*measure {
		return
	}
	sizes := []int{10, 30, 100, 300}
	measureSlope(t, "connection_memory_bytes", sizes, connectionMemoryBytes)
	measureSlope(t, "connection_idle_cpu_us_per_s", sizes, connectionIdleCPU)
	measureSlope(t, "report_cpu_ns", sizes, reportCPU)
	measureSlope(t, "pick_cpu_ns", sizes, pickCPU)
	measureSlope(t, "upstream_memory_bytes", sizes, upstreamMemoryBytes)
	measureSlope(t, "record_memory_bytes", []int{100, 300, 1000, 3000}, recordMemoryBytes)
	measureSlope(t, "fleet_change_cpu_us", []int{100, 300, 1000, 3000, 12000}, fleetChangeCPU)
	measureSlope(t, "fleet_memory_bytes", []int{100, 300, 1000, 3000, 12000}, fleetMemoryBytes)
	measureSlope(t, "configuration_parse_cpu_us", []int{10, 30, 100, 300}, parseCPU)
	measureSlope(t, "plan_step_cpu_us_by_chunks", []int{256, 1024, 4096}, planStepCPU)
	measureSlope(t, "plan_begin_cpu_ms_by_members_at_1024_chunks", []int{30, 100, 300, 1000}, planInitCPU)
	measureSlope(t, "relay_cpu_us_by_frames", []int{3000, 10000, 30000}, relayCPU)
	measureSlope(t, "dispatch_cpu_us_by_requests", []int{1000, 3000, 10000}, dispatchCPU)
	fmt.Printf("slope=report_bytes value=%d\n", reportSize(t))
}

// measureSlope measures a quantity at each size and fits a line through the values by least
// squares. It prints the slope, the intercept and the largest residual as a share of the largest
// value.
func measureSlope(t *testing.T, name string, sizes []int, value func(t *testing.T, n int) float64) {
	var xs, ys []float64
	for _, n := range sizes {
		xs = append(xs, float64(n))
		ys = append(ys, value(t, n))
	}
	var sx, sy, sxx, sxy, maxY float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
		maxY = max(maxY, ys[i])
	}
	n := float64(len(xs))
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept := (sy - slope*sx) / n
	maxResidual := 0.0
	for i := range xs {
		maxResidual = max(maxResidual, abs(ys[i]-intercept-slope*xs[i]))
	}
	fmt.Printf("slope=%s sizes=%v values=%.4g each=%.4g fixed=%.4g residual=%.3f\n", name, sizes, ys, slope, intercept, maxResidual/maxY)
}

func abs(x float64) float64 { return max(x, -x) }

// heapBytes returns the memory in use by heap and stacks after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// cpuPerCall calls fn n times and returns the mean processor time of a call in nanoseconds.
func cpuPerCall(n int, fn func()) float64 {
	start := cpuTime()
	for range n {
		fn()
	}
	return float64(cpuTime()-start) / float64(n)
}

var codec = wire.NewCodec(dispatch.Messages)

// connect opens n connections over loopback, like those of a gateway to its agents.
func connect(t *testing.T, n int, h *wire.Handlers, o wire.Options) []*wire.Conn {
	ctx := t.Context()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hello := wire.Hello{Cluster: "c", Box: "b", Incarnation: 1}
	srv := &wire.Server{Local: hello, Codec: codec, Handlers: h, Options: o}
	go func() { _ = srv.Serve(ctx, ln) }()
	var out []*wire.Conn
	for range n {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c, err := wire.NewConn(ctx, nc, hello, codec, nil, true, o)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		out = append(out, c)
	}
	return out
}

// connectionMemoryBytes returns the memory of one end of n connections. Both ends are in this
// process, so it is half of what they use together.
func connectionMemoryBytes(t *testing.T, n int) float64 {
	before := heapBytes()
	cs := connect(t, n, nil, wire.Options{})
	time.Sleep(100 * time.Millisecond)
	m := (heapBytes() - before) / 2
	runtime.KeepAlive(cs)
	return m
}

// connectionIdleCPU returns the processor time per second, in microseconds, of one end of n
// connections that only ping once a second, as those of gateways do.
func connectionIdleCPU(t *testing.T, n int) float64 {
	connect(t, n, nil, wire.Options{PingInterval: time.Second})
	time.Sleep(200 * time.Millisecond)
	const duration = 4 * time.Second
	start := cpuTime()
	time.Sleep(duration)
	return float64((cpuTime() - start).Microseconds()) / duration.Seconds() / 2
}

func boxName(i int) string { return fmt.Sprintf("hall-%02d-box-%05d", i%24, i) }

func newRouter(n int) (*route.Router, time.Time) {
	r := &route.Router{}
	now := time.Now()
	var boxes []fleet.Box
	for i := range n {
		boxes = append(boxes, fleet.Box{Name: boxName(i), Hall: "h", Class: "engine", Addr: "127.0.0.1:1"})
	}
	r.Sync(boxes)
	for i := range n {
		r.UpdateReport(now, boxName(i), dispatch.Report{Incarnation: 1, Service: "s", Digest: "d", Ready: true, Slots: 8, At: now})
	}
	return r, now
}

// reportCPU returns the processor time, in nanoseconds, of a report to a router with n upstreams.
func reportCPU(_ *testing.T, n int) float64 {
	r, now := newRouter(n)
	i := 0
	return cpuPerCall(20000, func() {
		i++
		r.UpdateReport(now, boxName(i%n), dispatch.Report{Incarnation: 1, Service: "s", Digest: "d", Ready: true, Slots: 8, At: now})
	})
}

// pickCPU returns the processor time, in nanoseconds, to choose one of n upstreams for a request.
func pickCPU(_ *testing.T, n int) float64 {
	r, now := newRouter(n)
	return cpuPerCall(2000, func() {
		u, err := r.Pick(now, route.Query{Service: "s", Digest: "d", Prefix: "prefix"})
		if err == nil {
			r.Done(now, u.Box.Name, 1, route.DispatchResult{FirstData: time.Millisecond})
		}
	})
}

// upstreamMemoryBytes returns the memory of a router with n upstreams.
func upstreamMemoryBytes(_ *testing.T, n int) float64 {
	const routers = 100
	before := heapBytes()
	var keep []*route.Router
	for range routers {
		r, _ := newRouter(n)
		keep = append(keep, r)
	}
	m := (heapBytes() - before) / routers
	runtime.KeepAlive(keep)
	return m
}

// recordMemoryBytes returns the memory of a gate that holds n requests with bodies of 512 bytes.
func recordMemoryBytes(_ *testing.T, n int) float64 {
	before := heapBytes()
	now := time.Now()
	g := &dispatch.Gate{Incarnation: 1, Slots: n, Queue: n}
	g.Open("s", "d")
	for i := range n {
		_, _, _ = g.Admit(now, &dispatch.Dispatch{
			ID: dispatch.RequestID{Seq: uint64(i)}, Incarnation: 1, Service: "s", Digest: "d",
			Deadline: now.Add(time.Minute), Body: make([]byte, 512),
		}, dispatch.KeyHome{})
	}
	m := heapBytes() - before
	runtime.KeepAlive(g)
	return m
}

// newFleet returns n boxes in 24 halls and a configuration that places one service on them.
func newFleet(n int) (map[string]fleet.Box, *config.Config) {
	boxes := map[string]fleet.Box{}
	halls := ""
	replicas := ""
	for h := range 24 {
		halls += fmt.Sprintf("  h%02d: {}\n", h)
		replicas += fmt.Sprintf("h%02d: %d, ", h, n/24)
	}
	for i := range n {
		boxes[boxName(i)] = fleet.Box{Name: boxName(i), Hall: fmt.Sprintf("h%02d", i%24), Class: "engine", Addr: "127.100.100.100:7400"}
	}
	cfg, err := config.Parse(map[string][]byte{"a.yaml": []byte("halls:\n" + halls +
		"services:\n  s: {kind: plain, boxes: engine, replicas: {" + replicas + "}}\n")})
	if err != nil {
		panic(err)
	}
	return boxes, cfg
}

// fleetChangeCPU returns the processor time of one change in a fleet list of n boxes, in
// microseconds: to apply the delta and to recalculate the placement.
func fleetChangeCPU(_ *testing.T, n int) float64 {
	boxes, cfg := newFleet(n)
	t := &config.Table[fleet.Box]{}
	_ = t.Replace(1, boxes)
	v := uint64(1)
	return cpuPerCall(5, func() {
		v++
		b := boxes[boxName(1)]
		b.Leaving = v%2 == 0
		c := t.Clone()
		_ = c.Apply(config.Delta[fleet.Box]{Base: v - 1, Version: v, Set: map[string]fleet.Box{b.Name: b}})
		t = c
		config.Place(cfg, t.Values())
	}) / 1000
}

// fleetMemoryBytes returns the memory of a fleet list of n boxes.
func fleetMemoryBytes(_ *testing.T, n int) float64 {
	boxes, _ := newFleet(n)
	before := heapBytes()
	t := &config.Table[fleet.Box]{}
	_ = t.Replace(1, boxes)
	values := t.Values()
	m := heapBytes() - before
	runtime.KeepAlive(t)
	runtime.KeepAlive(values)
	return m
}

// parseCPU returns the processor time to parse a configuration of n services, in microseconds.
func parseCPU(_ *testing.T, n int) float64 {
	text := "halls: {h: {}}\nservices:\n"
	for i := range n {
		text += fmt.Sprintf("  s%d: {kind: plain, boxes: engine, replicas: {h: 3}}\n", i)
	}
	docs := map[string][]byte{"a.yaml": []byte(text)}
	return cpuPerCall(10, func() { _, _ = config.Parse(docs) }) / 1000
}

func newPlan(members, chunks int) *weights.Plan {
	var names []string
	for i := range members {
		names = append(names, boxName(i))
	}
	p := &weights.Plan{
		Self: boxName(0), Strategy: weights.Swarm, Chunks: chunks, StartAt: time.Now(),
		OriginCopyTime: time.Minute, ChunkTime: 100 * time.Millisecond,
	}
	p.Init(nil, names)
	return p
}

// planStepCPU returns the processor time of one event in a plan and the decision that follows it,
// in microseconds, with 20 neighbours that each have half of the chunks.
func planStepCPU(_ *testing.T, chunks int) float64 {
	p := newPlan(100, chunks)
	now := time.Now()
	for i := range 20 {
		has := weights.NewBitmap(chunks)
		for c := range chunks {
			if (c+i)%2 == 0 {
				has.Set(c)
			}
		}
		p.PeerHas(now, boxName(i+1), has, 0)
	}
	return cpuPerCall(50, func() {
		todo, _ := p.Next(now)
		for _, a := range todo {
			p.FetchEnded(now, a.Chunk, a.From, "stalled")
		}
		now = now.Add(time.Minute)
	}) / 1000 / 8
}

// planInitCPU returns the processor time, in milliseconds, to initialise a plan with a number of
// members and 1024 chunks.
func planInitCPU(_ *testing.T, members int) float64 {
	return cpuPerCall(2, func() { newPlan(members, 1024) }) / 1e6
}

// relayCPU returns the processor time, in microseconds, to pass n frames of one token each over a
// connection. It includes encoding, writing, reading and decoding, at both ends together.
func relayCPU(t *testing.T, n int) float64 {
	h := &wire.Handlers{}
	token := make([]byte, 220) // The size of one event of a stream.
	wire.On(h, func(ctx context.Context, s *wire.Stream, m *dispatch.Attach) {
		for i := range m.From {
			if i%32 == 31 {
				time.Sleep(50 * time.Microsecond) // In operation tokens arrive from many streams, a few at a time.
			}
			_ = s.Send(ctx, &dispatch.AnswerData{ID: m.ID, Seq: i, Data: token})
		}
		_ = s.SendLast(ctx, &dispatch.AnswerEnd{})
	})
	c := connect(t, 1, h, wire.Options{StreamBuffer: n + 2})[0]
	s, err := c.Open(t.Context(), &dispatch.Attach{From: n})
	if err != nil {
		t.Fatal(err)
	}
	start := cpuTime()
	for {
		m, err := s.Recv(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := m.(*dispatch.AnswerEnd); ok {
			break
		}
	}
	return float64((cpuTime() - start).Microseconds())
}

// dispatchCPU returns the processor time, in microseconds, of n requests that are answered
// immediately, at both ends together and without HTTP.
func dispatchCPU(t *testing.T, n int) float64 {
	h := &wire.Handlers{}
	g := &dispatch.Gate{Incarnation: 1, Slots: 64, Queue: 64, MaxRecords: n}
	g.Open("s", "d")
	wire.On(h, func(ctx context.Context, s *wire.Stream, d *dispatch.Dispatch) {
		r, _, err := g.Admit(time.Now(), d, dispatch.KeyHome{})
		if err != nil {
			_ = s.Fail(ctx, err)
			return
		}
		r.Answer.Begin(&dispatch.AnswerHead{ID: d.ID})
		r.Answer.End()
		g.Finish(time.Now(), r)
		_ = s.SendLast(ctx, &dispatch.AnswerEnd{ID: d.ID})
	})
	c := connect(t, 1, h, wire.Options{})[0]
	var failed atomic.Int64
	start := cpuTime()
	for i := range n {
		if _, err := c.Call(t.Context(), &dispatch.Dispatch{
			ID: dispatch.RequestID{Seq: uint64(i)}, Incarnation: 1, Service: "s", Digest: "d",
			Deadline: time.Now().Add(time.Minute), Body: make([]byte, 512),
		}); err != nil {
			failed.Add(1)
		}
	}
	if failed.Load() > 0 {
		t.Fatalf("%d of %d requests failed", failed.Load(), n)
	}
	return float64((cpuTime() - start).Microseconds())
}

// reportSize returns the number of bytes of a report on the wire, with the header of its frame.
func reportSize(t *testing.T) int {
	var received atomic.Int64
	h := &wire.Handlers{}
	wire.On(h, func(ctx context.Context, s *wire.Stream, _ *dispatch.StateRequest) {
		_ = s.SendLast(ctx, &dispatch.Report{
			Incarnation: 1 << 60, Service: "summaries", Digest: weights.Digest(nil), Ready: true,
			Running: 8, Queued: 3, Slots: 16, At: time.Now(),
		})
	})
	c := connect(t, 1, h, wire.Options{OnTraffic: func(_, n int) { received.Add(int64(n)) }})[0]
	before := received.Load()
	if _, err := c.Call(t.Context(), &dispatch.StateRequest{}); err != nil {
		t.Fatal(err)
	}
	// Both ends count what they receive, so the request is subtracted: a header and a byte.
	const requestBytes = 14
	return int(received.Load()-before) - requestBytes
}
