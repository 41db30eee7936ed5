package relay

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/link"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/wire"
)

// Where there are many gateways, each knows little of what the others have sent to a replica since
// its agent's last report. So a gateway queries the agents of a few replicas for their load right
// before it chooses one of them.
const (
	loadQueryMinGateways = 13                     // Live gateways from which agents are queried.
	loadQueryTimeout     = 30 * time.Millisecond  // A choice waits no longer for answers; they queue behind chunks of weights on a box's link.
	loadRetryDelay       = 300 * time.Millisecond // Pause after an agent did not answer.
	loadUnsupportedDelay = 10 * time.Second       // Pause after an agent refused a query as unsupported.
	loadConnIdle         = 30 * time.Second       // Connections without a query for longer are closed.
	loadConnBuffer       = 1 << 10                // Bytes of the buffers of a connection.
)

// loadReader holds the connections to agents for load queries, and the number of gateways.
type loadReader struct {
	pool     *wire.Pool
	live     atomic.Int64 // Live gateways.
	liveHall atomic.Int64 // Those in this gateway's hall.

	mu     sync.Mutex
	usedAt map[string]time.Time // When agents were last queried, by address.
}

// newLoadPool returns the pool of connections for load queries.
func (g *Relay) newLoadPool() *wire.Pool {
	dial := g.options.Dial
	if dial == nil {
		dial = link.DialIdle
	}
	options := g.pool.Options
	options.PingIntervalFor = func(wire.Hello) time.Duration { return peers.LoadPingInterval }
	options.BufferSize, options.StreamBuffer = loadConnBuffer, 1 // A query has one short answer.
	return &wire.Pool{
		Local: g.pool.Local, Codec: Codec, Handlers: &wire.Handlers{}, Lifetime: g.ctx, Options: options, RedialDelay: loadRetryDelay,
		Dial: link.Dialer{Starting: g.mirrorEmpty, Connect: dial}.Dial,
	}
}

// setGateways records the live gateways.
func (l *loadReader) setGateways(members []peers.Member, hall string) {
	n := 0
	for _, m := range members {
		if m.Hall == hall {
			n++
		}
	}
	l.live.Store(int64(len(members)))
	l.liveHall.Store(int64(n))
}

// use records that the agent at an address is queried.
func (l *loadReader) use(addr string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.usedAt == nil {
		l.usedAt = map[string]time.Time{}
	}
	l.usedAt[addr] = now
}

// sweep closes the connections to agents that have not been queried for a while, as when their
// replicas have left the list.
func (l *loadReader) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for addr, at := range l.usedAt {
		if now.Sub(at) > loadConnIdle {
			delete(l.usedAt, addr)
			l.pool.Drop(addr)
		}
	}
}

// loadResult is the result of a load query.
type loadResult struct {
	query  route.LoadQuery
	answer *peers.LoadAnswer
	err    error
}

// readLoads queries the load of replicas that a request may be sent to, and waits for the answers.
// It returns nil where agents are not queried.
func (g *Relay) readLoads(ctx context.Context, rq *request, crit route.Criteria) *route.Draw {
	if g.Settings.AgentPort == 0 || !rq.runsModel() || g.loads.live.Load() < loadQueryMinGateways {
		return nil
	}
	d := g.table.Draw(time.Now(), crit, int(g.loads.liveHall.Load()))
	if d == nil || len(d.Queries) == 0 {
		return d
	}
	queryCtx, cancel := context.WithTimeout(ctx, loadQueryTimeout)
	defer cancel()
	results := make(chan loadResult, len(d.Queries))
	for _, q := range d.Queries {
		go func() {
			a, err := g.queryLoad(queryCtx, q.Addr)
			results <- loadResult{q, a, err}
		}()
	}
	answered := map[string]bool{}
	for len(answered) < len(d.Queries) {
		r, ok := nextResult(queryCtx, results)
		if !ok {
			break
		}
		answered[r.query.ID] = true
		g.recordLoad(ctx, d, r)
	}
	for _, q := range d.Queries {
		if !answered[q.ID] {
			g.recordLoad(ctx, d, loadResult{query: q, err: fault.New(fault.Timeout, "load query")})
		}
	}
	return d
}

// nextResult returns the next result of a query, or false if there is none when ctx has ended.
func nextResult(ctx context.Context, results <-chan loadResult) (loadResult, bool) {
	select {
	case r := <-results:
		return r, true
	case <-ctx.Done():
	}
	select {
	case r := <-results:
		return r, true
	default:
		return loadResult{}, false
	}
}

// queryLoad queries the agent of the replica at an address.
func (g *Relay) queryLoad(ctx context.Context, replica string) (*peers.LoadAnswer, error) {
	host, _, err := net.SplitHostPort(replica)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, replica)
	}
	addr := net.JoinHostPort(host, strconv.Itoa(g.Settings.AgentPort))
	g.loads.use(addr, time.Now())
	g.Metrics.Event("load_query", "")
	c, err := g.loads.pool.Get(ctx, addr)
	if err != nil {
		return nil, err
	}
	a, err := peers.QueryLoad(ctx, c, replica)
	if fault.Is(err, fault.Unsupported) {
		g.loads.pool.Drop(addr)
	}
	return a, err
}

// recordLoad stores the result of a query. A query that ended because the caller has gone says
// nothing about the agent.
func (g *Relay) recordLoad(ctx context.Context, d *route.Draw, r loadResult) {
	now := time.Now()
	switch {
	case r.err == nil && r.answer.Reached:
		g.table.RecordLoad(d, r.query, loadReport(r.answer, now))
	case r.err == nil:
		g.Metrics.Event("load_query_failed", "replica_not_reached")
	case ctx.Err() != nil:
	case fault.Is(r.err, fault.Unsupported):
		g.Metrics.Event("load_query_failed", string(fault.Unsupported))
		g.table.RecordReportOnly(d, r.query, now.Add(loadUnsupportedDelay))
	default:
		g.Metrics.Event("load_query_failed", string(fault.CodeOf(r.err)))
		telemetry.Log("load_not_answered", "id", r.query.ID, "addr", r.query.Addr, "reason", fault.CodeOf(r.err))
		g.table.RecordNoLoad(r.query, now.Add(loadRetryDelay))
	}
}

// loadReport returns an answer to a load query that was received at now as a report.
func loadReport(a *peers.LoadAnswer, now time.Time) route.AgentReport {
	return route.AgentReport{
		Version: a.Version, Changing: a.Changing, ChangeAt: changeAt(a.ChangeIn, now),
		Queued: a.Queued, Running: a.Running, Slowdown: a.Pace, ReceivingWeights: a.FetchingWeights, SlowLink: a.SlowLink, ReceivedAt: now,
	}
}

// recordPrediction records the error of the prediction for a replica of a model.
func (g *Relay) recordPrediction(to route.Choice, took time.Duration) {
	if !to.Engine {
		return
	}
	basis := "report"
	if to.Fresh {
		basis = "load_query"
	}
	g.Metrics.PredictionError(basis, (took - to.Predicted).Seconds())
}
