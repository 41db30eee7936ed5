package relay

import (
	"context"
	"maps"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/limit"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/wire"
)

// A limit that a replica states applies to all gateways together, and they can't enforce it
// separately. If each took a share, the first requests of many gateways would exceed the
// limit, and if one gateway had all callers, the replica would be hardly used. So one gateway
// is the limiter of each replica: the first of the live gateways in rendezvous order. The
// others request a permit from it for each request, and send nothing without one.
const (
	permitTimeout     = 80 * time.Millisecond  // A permit that arrives later is discarded.
	permitTTL         = time.Second            // A permit must be used within this time.
	coldPermitTTL     = 300 * time.Millisecond // The same for a cold replica, whose limit applies to each second.
	limiterRetryDelay = 300 * time.Millisecond // Pause after a limiter did not respond.
	limiterMovedDelay = 50 * time.Millisecond  // Pause after a permit was requested from a gateway that is not the limiter.
	maxPermitRequests = 8                      // Maximum permit requests for one attempt of a request.
	maxPermitWaits    = 2                      // After this many, replicas that need no permit are preferred.
	limiterStateTTL   = time.Minute            // State that is not used for this long is deleted.
)

// limiterState is the state of a replica's limit at the limiter.
type limiterState struct {
	incarnation fleet.Incarnation
	permits     limit.Permits
	coldPermits limit.Permits // While the replica is cold.
	// confirmedBy is the gateway that has confirmed that this one is the limiter, and confirming
	// the one that is being asked.
	confirmedBy, confirming string
	lastAsked               time.Time // When a permit was last requested.
}

// limiterOf returns the limiter of a replica as of now.
func (g *Relay) limiterOf(replica string) limiter {
	g.updateMemberViews(time.Now())
	return g.memberViews.current(replica)
}

// settleTime returns how long it takes until all gateways that can reach each other agree on
// which of them are live.
func (g *Relay) settleTime() time.Duration {
	const rounds = 6 // Each gateway lists those that it knows in every fourth.
	return rounds * g.gossip.RoundInterval()
}

func (g *Relay) updateMemberViews(now time.Time) {
	members := g.gossip.Live()
	live := make([]string, len(members))
	for i, m := range members {
		live[i] = m.Addr
	}
	g.memberViews.update(now, live, g.gossip.KnownCount(), g.settleTime())
	g.loads.setGateways(members, g.Settings.Hall)
}

// hasPermit reports whether a request may be sent to the chosen replica: either it has no
// limit and is not cold, or permits were granted.
func (g *Relay) hasPermit(ctx context.Context, rq *request, to *route.Choice) bool {
	return (!to.Limit.Named || g.obtainPermit(ctx, rq, to)) && (to.ColdRate == 0 || g.obtainColdPermit(ctx, rq, to))
}

// obtainPermit requests a permit to send a request to the chosen replica and reports whether
// it was granted. If not, it records in the table when to request one again.
func (g *Relay) obtainPermit(ctx context.Context, rq *request, to *route.Choice) bool {
	now := time.Now()
	req := &peers.PermitRequest{Limit: newReplicaLimit(to.Incarnation, to.Limit, now), Rank: rq.rank}
	p, lim := g.callLimiter(ctx, to, func(ctx context.Context, lim limiter) (*peers.Permit, error) {
		if lim.addr == g.Settings.Listen {
			return g.grantPermit(time.Now(), req, g.Settings.Box), nil
		}
		return g.gossip.RequestPermit(ctx, lim.addr, req)
	})
	if p == nil {
		return false
	}
	g.mergeLimit(&p.Limit, now.Add(-p.Limit.AskedAge), lim.addr)
	if !g.isGranted(p, rq, to) {
		return false
	}
	g.table.RecordPermit(to.Reservation, now.Add(permitTTL))
	return true
}

// obtainColdPermit does what obtainPermit does for a replica that is cold.
func (g *Relay) obtainColdPermit(ctx context.Context, rq *request, to *route.Choice) bool {
	now := time.Now()
	req := &peers.ColdPermitRequest{ID: to.ID, Born: to.Born, PerSecond: to.ColdRate, Rank: rq.rank}
	p, _ := g.callLimiter(ctx, to, func(ctx context.Context, lim limiter) (*peers.Permit, error) {
		if lim.addr == g.Settings.Listen {
			return g.grantColdPermit(ctx, req, g.Settings.Box), nil
		}
		return g.gossip.RequestColdPermit(ctx, lim.addr, req)
	})
	if p == nil || !g.isGranted(p, rq, to) {
		return false
	}
	g.table.RecordColdPermit(to.Reservation, now.Add(coldPermitTTL))
	return true
}

// callLimiter requests a permit for the chosen replica from its limiter, which may be this
// gateway. It returns nil if there is no answer, or not from the limiter, and then records in the
// table when to request one again.
func (g *Relay) callLimiter(ctx context.Context, to *route.Choice, call func(ctx context.Context, lim limiter) (*peers.Permit, error)) (*peers.Permit, limiter) {
	now := time.Now()
	lim := g.limiterOf(to.ID)
	if retryAt := g.limiterBackoffUntil(now, lim.addr); !retryAt.IsZero() {
		g.table.RecordNoPermit(to.Reservation, 0, retryAt)
		return nil, lim
	}
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	p, err := call(callCtx, lim)
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, lim // The caller has cancelled.
	case err != nil:
		retryAt := time.Now().Add(limiterRetryDelay)
		g.backOffLimiter(lim.addr, retryAt)
		g.table.RecordNoPermit(to.Reservation, 0, retryAt)
		g.Metrics.Event("permit_not_asked", string(fault.CodeOf(err)))
		telemetry.Log("permit_not_asked", "id", to.ID, "limiter", lim.addr, "reason", fault.CodeOf(err), "limit", to.Limit, "cold_rate", to.ColdRate, "gateways", lim.live, "known", lim.known)
		return nil, lim
	case p.NotLimiter:
		g.Metrics.Event("permit_not_kept", "")
		g.table.RecordNoPermit(to.Reservation, 0, now.Add(limiterMovedDelay))
		return nil, lim
	}
	return p, lim
}

// isGranted reports whether a permit was granted. If not, it records in the table when to request
// one again.
func (g *Relay) isGranted(p *peers.Permit, rq *request, to *route.Choice) bool {
	if !p.Granted {
		g.Metrics.Event("permit_refused", "")
		g.table.RecordNoPermit(to.Reservation, rq.rank, time.Now().Add(p.NextIn))
	}
	return p.Granted
}

// limiterBackoffUntil returns until when no permits are requested from the limiter at an
// address because it did not respond, or zero.
func (g *Relay) limiterBackoffUntil(now time.Time, addr string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until := g.limiterBackoff[addr]; until.After(now) {
		return until
	}
	return time.Time{}
}

// backOffLimiter suspends permit requests to the limiter at an address, for all of its
// replicas. Otherwise each request would wait for the timeout again.
func (g *Relay) backOffLimiter(addr string, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiterBackoff[addr] = until
}

func (g *Relay) servePermitRequest(ctx context.Context, s *wire.Stream, m *peers.PermitRequest) {
	if !m.Limit.Valid() {
		_ = s.Fail(ctx, fault.New(fault.BadRequest, "invalid replica limit"))
		return
	}
	_ = s.SendLast(ctx, g.grantPermit(time.Now(), m, s.Conn().Remote().Box))
}

func (g *Relay) serveColdPermitRequest(ctx context.Context, s *wire.Stream, m *peers.ColdPermitRequest) {
	if !m.Valid() {
		_ = s.Fail(ctx, fault.New(fault.BadRequest, "invalid request for a permit"))
		return
	}
	_ = s.SendLast(ctx, g.grantColdPermit(ctx, m, s.Conn().Remote().Box))
}

// isLimiterOf reports whether this gateway grants the permits for a replica. If it does not, it
// forgets what it granted.
func (g *Relay) isLimiterOf(replica string) (limiter, bool) {
	lim := g.limiterOf(replica)
	if lim.addr == g.Settings.Listen && g.joinAttempted() {
		return lim, true
	}
	g.deleteLimiterState(replica)
	return lim, false
}

// isSettledLimiterOf reports whether this gateway is the limiter of a replica and no other takes
// itself for it, and returns the least part of a limit that it had of late. Two that granted the
// whole limit at once, even for a second, would be too much for a cold replica. It is so once all
// gateways have had the time to agree, or if the one that would otherwise be the limiter confirms
// it: after a restart of all gateways there are cold replicas alone.
func (g *Relay) isSettledLimiterOf(ctx context.Context, inc fleet.Incarnation) (limiter, bool) {
	lim, ok := g.isLimiterOf(inc.ID)
	if !ok {
		return lim, false
	}
	lim, settled := g.memberViews.settled(time.Now(), inc.ID, g.settleTime())
	return lim, settled || g.viewHolds() && g.confirmLimiter(ctx, inc)
}

// viewHolds reports whether what this gateway knows of the others has not changed for half a round of
// announcements. While many start, both it and the one that it asks may know too few.
func (g *Relay) viewHolds() bool {
	return time.Since(g.memberViews.unchangedSince()) >= g.gossip.RoundInterval()/2
}

// confirmLimiter reports whether the gateway that would be the limiter of a replica if this one
// were lost takes this one for it. It is asked once.
func (g *Relay) confirmLimiter(ctx context.Context, inc fleet.Incarnation) bool {
	second := g.memberViews.second(inc.ID)
	g.mu.Lock()
	state := g.limiterStateOf(time.Now(), inc)
	confirmed, asking := state.confirmedBy == second, state.confirming == second
	if !confirmed && !asking {
		state.confirming = second
	}
	g.mu.Unlock()
	if confirmed || asking || second == "" {
		return confirmed && second != ""
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	addr, err := g.gossip.QueryLimiter(ctx, second, inc.ID)
	g.mu.Lock()
	defer g.mu.Unlock()
	state.confirming = ""
	if err != nil || addr != g.Settings.Listen {
		return false
	}
	state.confirmedBy = second
	return true
}

func (g *Relay) serveLimiterQuery(ctx context.Context, s *wire.Stream, m *peers.LimiterQuery) {
	_ = s.SendLast(ctx, &peers.LimiterAnswer{Addr: g.limiterOf(m.ID).addr})
}

// grantColdPermit handles a request for a permit for a cold replica as its limiter.
func (g *Relay) grantColdPermit(ctx context.Context, m *peers.ColdPermitRequest, from string) *peers.Permit {
	lim, ok := g.isSettledLimiterOf(ctx, m.Incarnation())
	if !ok {
		return &peers.Permit{NotLimiter: true}
	}
	p := &peers.Permit{}
	now := time.Now()
	var next time.Time
	p.Granted, next = g.issuePermit(now, m.Incarnation(), func(state *limiterState) (bool, time.Time) {
		return state.coldPermits.Take(now, lim.share(m.PerSecond), m.Rank)
	})
	if !p.Granted {
		p.NextIn = next.Sub(now)
		return p
	}
	telemetry.Log("cold_permit_given", "id", m.ID, "to", from, "rank", m.Rank, "cold_rate", m.PerSecond, "part", lim.share(m.PerSecond), "gateways", lim.live, "known", lim.known)
	return p
}

// grantPermit handles a permit request as the limiter of the replica.
func (g *Relay) grantPermit(now time.Time, m *peers.PermitRequest, from string) *peers.Permit {
	lim, ok := g.isLimiterOf(m.Limit.ID)
	if !ok {
		return &peers.Permit{NotLimiter: true, Limit: m.Limit}
	}
	g.receiveLimit(&m.Limit, now, permitTimeout, from)
	l := g.table.Limit(m.Limit.Incarnation())
	p := &peers.Permit{Limit: newReplicaLimit(m.Limit.Incarnation(), l, now)}
	if !l.Named {
		p.Granted = true
		return p
	}
	var next time.Time
	p.Granted, next = g.issuePermit(now, m.Limit.Incarnation(), func(state *limiterState) (bool, time.Time) {
		return state.permits.Take(now, lim.share(l.PerSecond), m.Rank)
	})
	if !p.Granted {
		p.NextIn = next.Sub(now)
		return p
	}
	telemetry.Log("permit_given", "id", m.Limit.ID, "to", from, "rank", m.Rank, "limit", l, "part", lim.share(l.PerSecond), "gateways", lim.live, "known", lim.known)
	return p
}

// joinAttempted reports whether this gateway has tried to contact all gateways that it is
// configured to join. Before that it may have no other member than itself, and would take
// itself for the limiter of every replica.
func (g *Relay) joinAttempted() bool {
	select {
	case <-g.gossip.JoinAttempted():
		return true
	default:
		return false
	}
}

// issuePermit takes a permit for a replica of which this gateway is the limiter. take is called
// with the state of the replica's limits.
func (g *Relay) issuePermit(now time.Time, inc fleet.Incarnation, take func(state *limiterState) (ok bool, next time.Time)) (bool, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return take(g.limiterStateOf(now, inc))
}

// limiterStateOf returns the state of a replica's limits, which is new if there was none. The
// caller holds g.mu.
func (g *Relay) limiterStateOf(now time.Time, inc fleet.Incarnation) *limiterState {
	state := g.limiterStates[inc.ID]
	if state == nil || state.incarnation.Before(inc) {
		state = &limiterState{incarnation: inc}
		g.limiterStates[inc.ID] = state
	}
	state.lastAsked = now
	return state
}

// deleteLimiterState deletes the state of a limit whose limiter is now another gateway. If
// this gateway becomes the limiter again, the permits that the other one granted are unknown,
// and it starts without free permits.
func (g *Relay) deleteLimiterState(replica string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.limiterStates, replica)
}

// sweepLimiters deletes the state of limits that are unused or whose limiter is another
// gateway, and expired backoffs.
func (g *Relay) sweepLimiters(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.limiterStates, func(id string, state *limiterState) bool {
		return now.Sub(state.lastAsked) > limiterStateTTL || g.limiterOf(id).addr != g.Settings.Listen
	})
	maps.DeleteFunc(g.limiterBackoff, func(_ string, until time.Time) bool { return !until.After(now) })
}
