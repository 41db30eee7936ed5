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
	"github.com/poststand/poststand/rendezvous"
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
	limiterRetryDelay = 300 * time.Millisecond // Pause after a limiter did not respond.
	limiterMovedDelay = 50 * time.Millisecond  // Pause after a permit was requested from a gateway that is not the limiter.
	maxPermitRequests = 8                      // Maximum permit requests for one attempt of a request.
	limiterStateTTL   = time.Minute            // State that is not used for this long is deleted.
)

// limiterState is the state of a replica's limit at the limiter.
type limiterState struct {
	incarnation fleet.Incarnation
	permits     limit.Permits
	lastAsked   time.Time // When a permit was last requested.
}

// limiterKeyPrefix precedes the ID of a replica in the key that selects its limiter.
const limiterKeyPrefix = "limit/"

// limiter is the gateway that grants permits for a replica, as far as this gateway can tell.
type limiter struct {
	addr        string
	live, known int // Live gateways, and all that have been members recently.
}

func (g *Relay) limiterOf(replica string) limiter {
	members := g.gossip.Live()
	addrs := make([]string, len(members))
	for i, m := range members {
		addrs[i] = m.Addr
	}
	return limiter{rendezvous.First(limiterKeyPrefix+replica, addrs), len(addrs), max(len(addrs), g.gossip.KnownCount())}
}

// share returns the part of a limit that the limiter grants. Gateways that no longer respond
// may be on the other side of a partition with a limiter of their own.
func (l limiter) share(perSecond float64) float64 {
	return perSecond * float64(l.live) / float64(l.known)
}

// hasPermit reports whether a request may be sent to the chosen replica: either it has no
// limit, or a permit was granted.
func (g *Relay) hasPermit(ctx context.Context, rq *request, to *route.Choice) bool {
	return !to.Limit.Named || g.obtainPermit(ctx, rq, to)
}

// obtainPermit requests a permit to send a request to the chosen replica and reports whether
// it was granted. If not, it records in the table when to request one again.
func (g *Relay) obtainPermit(ctx context.Context, rq *request, to *route.Choice) bool {
	now := time.Now()
	req := &peers.PermitRequest{Limit: newReplicaLimit(to.Incarnation, to.Limit, now), Rank: rq.rank}
	lim := g.limiterOf(to.ID)
	if retryAt := g.limiterBackoffUntil(now, lim.addr); !retryAt.IsZero() {
		g.table.RecordNoPermit(to.Reservation, 0, retryAt)
		return false
	}
	p, err := g.requestPermit(ctx, lim, req)
	switch {
	case err != nil && ctx.Err() != nil:
		return false // The caller has cancelled.
	case err != nil:
		retryAt := time.Now().Add(limiterRetryDelay)
		g.backOffLimiter(lim.addr, retryAt)
		g.table.RecordNoPermit(to.Reservation, 0, retryAt)
		g.Metrics.Event("permit_not_asked", string(fault.CodeOf(err)))
		telemetry.Log("permit_not_asked", "id", to.ID, "limiter", lim.addr, "reason", fault.CodeOf(err), "limit", to.Limit, "gateways", lim.live, "known", lim.known)
		return false
	case p.NotLimiter:
		g.Metrics.Event("permit_not_kept", "")
		g.table.RecordNoPermit(to.Reservation, 0, now.Add(limiterMovedDelay))
		return false
	}
	g.mergeLimit(&p.Limit, now.Add(-p.Limit.AskedAge), lim.addr)
	if !p.Granted {
		g.Metrics.Event("permit_refused", "")
		g.table.RecordNoPermit(to.Reservation, rq.rank, time.Now().Add(p.NextIn))
		return false
	}
	g.table.RecordPermit(to.Reservation, now.Add(permitTTL))
	return true
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

// requestPermit requests a permit from the limiter, which may be this gateway.
func (g *Relay) requestPermit(ctx context.Context, lim limiter, req *peers.PermitRequest) (*peers.Permit, error) {
	if lim.addr == g.Settings.Listen {
		return g.grantPermit(time.Now(), req, g.Settings.Box), nil
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return g.gossip.RequestPermit(ctx, lim.addr, req)
}

func (g *Relay) servePermitRequest(ctx context.Context, s *wire.Stream, m *peers.PermitRequest) {
	if !m.Limit.Valid() {
		_ = s.Fail(ctx, fault.New(fault.BadRequest, "limit"))
		return
	}
	_ = s.SendLast(ctx, g.grantPermit(time.Now(), m, s.Conn().Remote().Box))
}

// grantPermit handles a permit request as the limiter of the replica.
func (g *Relay) grantPermit(now time.Time, m *peers.PermitRequest, from string) *peers.Permit {
	lim := g.limiterOf(m.Limit.ID)
	if lim.addr != g.Settings.Listen || !g.joinAttempted() {
		g.deleteLimiterState(m.Limit.ID)
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
	p.Granted, next = g.issuePermit(now, m.Limit.Incarnation(), lim.share(l.PerSecond), m.Rank)
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

// issuePermit takes a permit for a replica of which this gateway is the limiter.
func (g *Relay) issuePermit(now time.Time, inc fleet.Incarnation, perSecond float64, rank int) (bool, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.limiterStates[inc.ID]
	if state == nil || state.incarnation.Before(inc) {
		state = &limiterState{incarnation: inc}
		g.limiterStates[inc.ID] = state
	}
	state.lastAsked = now
	return state.permits.Take(now, perSecond, rank)
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
