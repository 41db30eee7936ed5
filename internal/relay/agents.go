package relay

import (
	"context"
	"time"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/wire"
)

// minAssignInterval is the minimum interval between two assignments to an agent while its
// model, version and origin stay the same. Replicas are added and removed frequently, an agent
// does not need each such change at once, and the link of its box has little bandwidth.
const minAssignInterval = 400 * time.Millisecond

// serveSubscribe sends an agent its assignment, at once and on each change.
func (g *Relay) serveSubscribe(ctx context.Context, s *wire.Stream, m *peers.Subscribe) {
	const checkInterval = 500 * time.Millisecond
	telemetry.Log("agent_gained", "addr", m.Addr, "service", m.Service)
	defer telemetry.Log("agent_lost", "addr", m.Addr)
	subscribedAt := time.Now()
	peers.LearnQuarantine(&g.suspects, subscribedAt, subscribedAt, m.Quarantined, m.Addr)
	var last peers.Assignment
	var notBefore time.Time
	for {
		c, changed := g.catalog.Watch()
		now := time.Now()
		a := g.assignment(c, s.Conn().Remote().Hall, m, now)
		if a != nil && !a.SameForAgent(&last) && (a.UrgentChange(&last) || !now.Before(notBefore)) {
			a.At = g.gossip.PositionFor(s.Conn(), a.At)
			if s.Send(ctx, a) != nil {
				return
			}
			last, notBefore = *a, now.Add(minAssignInterval)
		}
		t := time.NewTimer(checkInterval)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
	}
}

// assignment returns the assignment for an agent in a hall, or nil if it can't be determined
// yet.
func (g *Relay) assignment(c *catalog.Catalog, hall string, m *peers.Subscribe, now time.Time) *peers.Assignment {
	a := peers.Assign(c, m.Service, now)
	if a == nil {
		return nil
	}
	agents := 0
	for _, r := range a.Replicas {
		if r.Hall == hall {
			agents++
		}
	}
	a.Quarantined = g.suspects.Quarantined(now)
	a.Gateways, a.ReportTargets = peers.GatewaysFor(m.Addr, hall, agents, g.gossip.Live())
	return a
}

// slowLinkRTT is the round-trip time of a ping from which the link to an agent's box counts as
// slow. Transfers of weights alone cause shorter round-trip times.
const slowLinkRTT = 400 * time.Millisecond

// serveStatus receives an agent's status reports about its replica until the stream ends.
func (g *Relay) serveStatus(ctx context.Context, s *wire.Stream, m *peers.Status) {
	var last peers.Status
	for {
		m.SlowLink = m.SlowLink || s.Conn().RTT(time.Now()) >= slowLinkRTT
		if !m.Valid() {
			telemetry.Log("report_ignored", "from", s.Conn().Remote().Box, "addr", m.Addr, "queued", m.Queued, "running", m.Running, "pace", m.Pace)
		} else if m.Reached {
			now := time.Now()
			r := route.AgentReport{
				Version: m.Version, Changing: m.Changing, ChangeAt: changeAt(m.ChangeIn, now),
				Queued: m.Queued, Running: m.Running, Slowdown: m.Pace, ReceivingWeights: m.MissingChunks > 0, SlowLink: m.SlowLink, ReceivedAt: now,
			}
			g.table.UpdateReport(m.Addr, r)
			if m.Forward {
				g.reports.add(m.Addr, r, true)
			}
		}
		if m.Version != last.Version || m.Changing != last.Changing || m.Reached != last.Reached || m.SlowLink != last.SlowLink {
			telemetry.Log("replica_told", "addr", m.Addr, "weights", m.Version, "changing", m.Changing, "reached", m.Reached, "slow_link", m.SlowLink, "missing", m.MissingChunks)
		}
		last = *m
		next, err := s.Recv(ctx)
		var ok bool
		if m, ok = next.(*peers.Status); err != nil || !ok {
			return
		}
	}
}

// changeAt returns when a replica will change its version, given the time left according to a
// report received at now. It is zero if no change is expected.
func changeAt(in time.Duration, now time.Time) time.Time {
	if in <= 0 {
		return time.Time{}
	}
	return now.Add(in)
}
