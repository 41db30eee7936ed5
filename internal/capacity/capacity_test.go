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

var measure = flag.Bool("measure", false, "print the slopes")

// TestMeasure prints a line for each slope; scripts/measure control runs it.
func TestMeasure(t *testing.T) {
	if !*measure {
		return
	}
	sizes := []int{10, 30, 100, 300}
	slope(t, "connection_memory_bytes", sizes, connectionMemory)
	slope(t, "connection_idle_cpu_us_per_s", sizes, connectionIdle)
	slope(t, "report_cpu_ns", sizes, reportCost)
	slope(t, "pick_cpu_ns", sizes, pickCost)
	slope(t, "upstream_memory_bytes", sizes, upstreamMemory)
	slope(t, "record_memory_bytes", []int{100, 300, 1000, 3000}, recordMemory)
	slope(t, "fleet_change_cpu_us", []int{100, 300, 1000, 3000, 12000}, fleetChange)
	slope(t, "fleet_memory_bytes", []int{100, 300, 1000, 3000, 12000}, fleetMemory)
	slope(t, "configuration_parse_cpu_us", []int{10, 30, 100, 300}, parseCost)
	slope(t, "plan_step_cpu_us_by_chunks", []int{256, 1024, 4096}, planStep)
	slope(t, "plan_begin_cpu_ms_by_members_at_1024_chunks", []int{30, 100, 300, 1000}, planBegin)
	slope(t, "relay_cpu_us_by_frames", []int{3000, 10000, 30000}, relayCost)
	slope(t, "dispatch_cpu_us_by_requests", []int{1000, 3000, 10000}, dispatchCost)
	fmt.Printf("slope=report_bytes value=%d\n", reportBytes(t))
}

// slope fits a line through a quantity by size, and prints it with the largest
// residual as a share of the largest value.
func slope(t *testing.T, name string, sizes []int, value func(t *testing.T, n int) float64) {
	var xs, ys []float64
	for _, n := range sizes {
		xs = append(xs, float64(n))
		ys = append(ys, value(t, n))
	}
	var sx, sy, sxx, sxy, top float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
		top = max(top, ys[i])
	}
	n := float64(len(xs))
	b := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	a := (sy - b*sx) / n
	worst := 0.0
	for i := range xs {
		worst = max(worst, abs(ys[i]-a-b*xs[i]))
	}
	fmt.Printf("slope=%s sizes=%v values=%.4g each=%.4g fixed=%.4g residual=%.3f\n", name, sizes, ys, b, a, worst/top)
}

func abs(x float64) float64 { return max(x, -x) }

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

func cpu() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// each times fn n times over, by processor time.
func each(n int, fn func()) float64 {
	began := cpu()
	for range n {
		fn()
	}
	return float64(cpu()-began) / float64(n)
}

var codec = wire.NewCodec(dispatch.Messages)

// connect opens n connections over loopback, as a gateway has to its agents.
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

// connectionMemory is what both ends take together, so half of it is an end's.
func connectionMemory(t *testing.T, n int) float64 {
	before := heap()
	cs := connect(t, n, nil, wire.Options{})
	time.Sleep(100 * time.Millisecond)
	m := (heap() - before) / 2
	runtime.KeepAlive(cs)
	return m
}

// connectionIdle is an end's processor time for a connection that only pings,
// once a second, as gateways do.
func connectionIdle(t *testing.T, n int) float64 {
	connect(t, n, nil, wire.Options{PingInterval: time.Second})
	time.Sleep(200 * time.Millisecond)
	const over = 4 * time.Second
	began := cpu()
	time.Sleep(over)
	return float64((cpu() - began).Microseconds()) / over.Seconds() / 2
}

func boxName(i int) string { return fmt.Sprintf("hall-%02d-box-%05d", i%24, i) }

func router(n int) (*route.Router, time.Time) {
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

func reportCost(_ *testing.T, n int) float64 {
	r, now := router(n)
	i := 0
	return each(20000, func() {
		i++
		r.UpdateReport(now, boxName(i%n), dispatch.Report{Incarnation: 1, Service: "s", Digest: "d", Ready: true, Slots: 8, At: now})
	})
}

func pickCost(_ *testing.T, n int) float64 {
	r, now := router(n)
	return each(2000, func() {
		u, err := r.Pick(now, route.Query{Service: "s", Digest: "d", Prefix: "prefix"})
		if err == nil {
			r.Done(now, u.Box.Name, 1, route.DispatchResult{FirstData: time.Millisecond})
		}
	})
}

func upstreamMemory(_ *testing.T, n int) float64 {
	const times = 100
	before := heap()
	var keep []*route.Router
	for range times {
		r, _ := router(n)
		keep = append(keep, r)
	}
	m := (heap() - before) / times
	runtime.KeepAlive(keep)
	return m
}

func recordMemory(_ *testing.T, n int) float64 {
	before := heap()
	now := time.Now()
	g := &dispatch.Gate{Incarnation: 1, Slots: n, Queue: n}
	g.Open("s", "d")
	for i := range n {
		_, _, _ = g.Admit(now, &dispatch.Dispatch{
			ID: dispatch.RequestID{Seq: uint64(i)}, Incarnation: 1, Service: "s", Digest: "d",
			Deadline: now.Add(time.Minute), Body: make([]byte, 512),
		}, dispatch.KeyHome{})
	}
	m := heap() - before
	runtime.KeepAlive(g)
	return m
}

func fleetOf(n int) (map[string]fleet.Box, *config.Config) {
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

// fleetChange is the cost of one change of the fleet list: the delta applied,
// the placement made anew.
func fleetChange(_ *testing.T, n int) float64 {
	boxes, cfg := fleetOf(n)
	t := &config.Table[fleet.Box]{}
	_ = t.Replace(1, boxes)
	v := uint64(1)
	return each(5, func() {
		v++
		b := boxes[boxName(1)]
		b.Leaving = v%2 == 0
		c := t.Clone()
		_ = c.Apply(config.Delta[fleet.Box]{Base: v - 1, Version: v, Set: map[string]fleet.Box{b.Name: b}})
		t = c
		config.Place(cfg, t.Values())
	}) / 1000
}

func fleetMemory(_ *testing.T, n int) float64 {
	boxes, _ := fleetOf(n)
	before := heap()
	t := &config.Table[fleet.Box]{}
	_ = t.Replace(1, boxes)
	values := t.Values()
	m := heap() - before
	runtime.KeepAlive(t)
	runtime.KeepAlive(values)
	return m
}

func parseCost(_ *testing.T, n int) float64 {
	text := "halls: {h: {}}\nservices:\n"
	for i := range n {
		text += fmt.Sprintf("  s%d: {kind: plain, boxes: engine, replicas: {h: 3}}\n", i)
	}
	docs := map[string][]byte{"a.yaml": []byte(text)}
	return each(10, func() { _, _ = config.Parse(docs) }) / 1000
}

func plan(members, chunks int) *weights.Plan {
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

// planStep is the cost of one event and the decision that follows it, with 20
// neighbours that have half of the chunks.
func planStep(_ *testing.T, chunks int) float64 {
	p := plan(100, chunks)
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
	return each(50, func() {
		todo, _ := p.Next(now)
		for _, a := range todo {
			p.FetchEnded(now, a.Chunk, a.From, "stalled")
		}
		now = now.Add(time.Minute)
	}) / 1000 / 8
}

func planBegin(_ *testing.T, members int) float64 {
	return each(2, func() { plan(members, 1024) }) / 1e6
}

// relayCost is the processor time to pass n frames of a token each over a
// connection: encoded, written, read, decoded, by both ends together.
func relayCost(t *testing.T, n int) float64 {
	h := &wire.Handlers{}
	token := make([]byte, 220) // One event of a stream.
	wire.On(h, func(ctx context.Context, s *wire.Stream, m *dispatch.Attach) {
		for i := range m.From {
			if i%32 == 31 {
				time.Sleep(50 * time.Microsecond) // Tokens come from many streams, a few at a time.
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
	began := cpu()
	for {
		m, err := s.Recv(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := m.(*dispatch.AnswerEnd); ok {
			break
		}
	}
	return float64((cpu() - began).Microseconds())
}

// dispatchCost is the processor time of n requests answered at once, by both
// ends together, without HTTP.
func dispatchCost(t *testing.T, n int) float64 {
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
	began := cpu()
	for i := range n {
		if _, err := c.Call(t.Context(), &dispatch.Dispatch{
			ID: dispatch.RequestID{Seq: uint64(i)}, Incarnation: 1, Service: "s", Digest: "d",
			Deadline: time.Now().Add(time.Minute), Body: make([]byte, 512),
		}); err != nil {
			failed.Add(1)
		}
	}
	if failed.Load() > 0 {
		t.Fatalf("%d of %d failed", failed.Load(), n)
	}
	return float64((cpu() - began).Microseconds())
}

// reportBytes is a report on the wire, with the frame's header.
func reportBytes(t *testing.T) int {
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
	// Both ends count what they receive: the request is a header and a byte.
	const request = 14
	return int(received.Load()-before) - request
}
