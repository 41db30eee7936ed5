package relay

import (
	"context"
	"time"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/limit"
	"github.com/poststand/poststand/wire"
)

// Times of a process that takes over the retries of its predecessor.
const (
	takeOverFor      = 3 * time.Second       // A process that starts asks others for this long,
	takeOverInterval = 50 * time.Millisecond // looking for further ones at this interval.
)

// takeOverRetries asks other gateways for the retries of the previous process of the box, until one
// of them knows all or takeOverFor is over.
func (g *Relay) takeOverRetries(ctx context.Context) {
	if g.retries.inherited() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, g.startedAt.Add(takeOverFor))
	defer cancel()
	asked := map[string]bool{}
	for ; ctx.Err() == nil && !g.retries.inherited(); kernel.Sleep(ctx, takeOverInterval) {
		for _, addr := range g.retryHolders(maxAskedForRetries/2, maxAskedForRetries/2) {
			if !asked[addr] && len(asked) < 2*maxAskedForRetries {
				asked[addr] = true
				go g.takeOverFrom(ctx, addr)
			}
		}
	}
}

// takeOverFrom asks one gateway for the retries of the previous process.
func (g *Relay) takeOverFrom(ctx context.Context, addr string) {
	askedAt := time.Now()
	a, err := g.gossip.QueryRetries(ctx, addr, g.startedAt)
	if err != nil {
		return
	}
	defer g.retries.recordAnswer(addr, a.Gateways)
	if !a.Found {
		return
	}
	g.inheritRetries(a.Record.Received(askedAt, g.bounds.Load().RetryWindow/limit.WindowSteps), addr)
}

// inheritRetries counts the retries of earlier processes of the box from a record that another gateway
// held.
func (g *Relay) inheritRetries(r limit.RetryRecord, from string) {
	if !g.retries.inherit(r) {
		return
	}
	retries := map[string]int{}
	for service, h := range r.Services {
		for _, s := range h.Steps {
			retries[service] += s.Retries
		}
	}
	telemetry.Log("retries_taken_over", "from", from, "retries", retries, "heard_ago", g.startedAt.Sub(r.HeardAt), "known_for", g.startedAt.Sub(r.KnownSince), "up_ms", time.Since(g.startedAt).Milliseconds())
}

// serveRetryReport holds the records of other gateways. One of an earlier process of this box counts
// here: its sender may have learnt it after it was asked.
func (g *Relay) serveRetryReport(ctx context.Context, s *wire.Stream, m *peers.RetryReport) {
	now := time.Now()
	stepLength := g.bounds.Load().RetryWindow / limit.WindowSteps
	for i := range m.Records {
		rec := &m.Records[i]
		if !rec.Valid() {
			telemetry.Log("retry_record_ignored", "from", s.Conn().Remote().Box, "gateway", rec.Gateway)
			continue
		}
		r := rec.Received(now, stepLength)
		switch {
		case rec.Gateway != g.Settings.Listen:
			g.retryRecords.Store(now, rec.Gateway, r)
		case r.Complete(g.startedAt) && r.HeardAt.Before(g.startedAt):
			g.inheritRetries(r, s.Conn().Remote().Box)
		}
	}
	_ = s.SendLast(ctx, &peers.RetryReportReceived{})
}

// serveRetryQuery tells a process that has started of the retries of its predecessor.
func (g *Relay) serveRetryQuery(ctx context.Context, s *wire.Stream, m *peers.RetryQuery) {
	now := time.Now()
	a := &peers.RetryAnswer{Gateways: g.gossip.RecentCount()}
	if m.Gateway != "" && m.Up >= 0 {
		var r limit.RetryRecord
		r, a.Found = g.retryRecords.Take(now, now.Add(-m.Up), m.Gateway)
		a.Record = peers.NewRetryRecord(m.Gateway, r, g.bounds.Load().RetryWindow, now)
	}
	_ = s.SendLast(ctx, a)
}
