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

// A limit that a replica names holds for all gateways together, and no gateway can hold it
// alone: with a part each, the first sends of many are more than the limit, and where one has
// all the callers the replica is hardly used. One gateway is the limiter of each replica, the
// first of those that live in an order that all share, and the others ask it for a permit for
// each request. Without its word nothing is sent there.
const (
	permitTimeout     = 80 * time.Millisecond  // An answer that takes longer is given up, and its permit is lost.
	permitTTL         = time.Second            // A request that has a permit is sent within this, or not there.
	limiterRetryDelay = 300 * time.Millisecond // A limiter that does not answer is left alone for this.
	limiterMovedDelay = 50 * time.Millisecond  // The same where another gateway is the limiter by now.
	maxPermitRequests = 8                      // For one send of a request.
	limiterStateTTL   = time.Minute            // A limit that nobody asks about is forgotten.
)

// limiterState is the limit of a replica of which this gateway is the limiter.
type limiterState struct {
	life      fleet.Incarnation
	permits   limit.Permits
	lastAsked time.Time // When a permit was last asked for.
}

// limiterKeyPrefix orders the gateways that may be the limiter of a replica.
const limiterKeyPrefix = "limit/"

// limiter is who gives permits for a replica, as far as a gateway knows.
type limiter struct {
	addr        string
	live, known int // Gateways that live, and all that were heard of in a while.
}

func (g *Relay) limiterOf(replica string) limiter {
	members := g.gossip.Live()
	addrs := make([]string, len(members))
	for i, m := range members {
		addrs[i] = m.Addr
	}
	return limiter{rendezvous.First(limiterKeyPrefix+replica, addrs), len(addrs), max(len(addrs), g.gossip.KnownCount())}
}

// share is how much of a limit the limiter gives out: gateways that have fallen silent may be
// cut off with a limiter of their own.
func (k limiter) share(perSecond float64) float64 {
	return perSecond * float64(k.live) / float64(k.known)
}

// hasPermit reports whether a request may be sent to the replica that was chosen: it has no
// limit, or there is a permit.
func (g *Relay) hasPermit(ctx context.Context, rq *request, to *route.Choice) bool {
	return !to.Limit.Named || g.obtainPermit(ctx, rq, to)
}

// obtainPermit asks for a permit for a request at the replica that was chosen, and reports whether
// it has one. If not, the table knows when to ask again.
func (g *Relay) obtainPermit(ctx context.Context, rq *request, to *route.Choice) bool {
	now := time.Now()
	ask := &peers.PermitRequest{Limit: limitMessage(to.Incarnation, to.Limit, now), Rank: rq.rank}
	k := g.limiterOf(to.ID)
	if again := g.limiterBackoffUntil(now, k.addr); !again.IsZero() {
		g.table.RecordNoPermit(to.Reservation, 0, again)
		return false
	}
	p, err := g.requestPermit(ctx, k, ask)
	switch {
	case err != nil && ctx.Err() != nil:
		return false // Its caller has gone.
	case err != nil:
		again := time.Now().Add(limiterRetryDelay)
		g.backOffLimiter(k.addr, again)
		g.table.RecordNoPermit(to.Reservation, 0, again)
		g.Metrics.Event("permit_not_asked", string(fault.CodeOf(err)))
		telemetry.Log("permit_not_asked", "id", to.ID, "limiter", k.addr, "reason", fault.CodeOf(err), "limit", to.Limit, "gateways", k.live, "known", k.known)
		return false
	case p.NotLimiter:
		g.Metrics.Event("permit_not_kept", "")
		g.table.RecordNoPermit(to.Reservation, 0, now.Add(limiterMovedDelay))
		return false
	}
	g.mergeLimit(&p.Limit, now.Add(-p.Limit.AskedAge), k.addr)
	if !p.Granted {
		g.Metrics.Event("permit_refused", "")
		g.table.RecordNoPermit(to.Reservation, rq.rank, time.Now().Add(p.NextIn))
		return false
	}
	g.table.RecordPermit(to.Reservation, now.Add(permitTTL))
	return true
}

// limiterBackoffUntil is until when a limiter is left alone that did not answer; zero if it is not.
func (g *Relay) limiterBackoffUntil(now time.Time, limiter string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until := g.limiterBackoff[limiter]; until.After(now) {
		return until
	}
	return time.Time{}
}

// backOffLimiter leaves a limiter alone until a time, for all replicas that it is the limiter of: each
// request would else wait for it again.
func (g *Relay) backOffLimiter(limiter string, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiterBackoff[limiter] = until
}

// requestPermit asks a limiter, which may be this gateway.
func (g *Relay) requestPermit(ctx context.Context, k limiter, ask *peers.PermitRequest) (*peers.Permit, error) {
	if k.addr == g.Settings.Listen {
		return g.grantPermit(time.Now(), ask, g.Settings.Box), nil
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return g.gossip.RequestPermit(ctx, k.addr, ask)
}

func (g *Relay) serveAskPermit(ctx context.Context, s *wire.Stream, m *peers.PermitRequest) {
	if !m.Limit.Valid() {
		_ = s.Fail(ctx, fault.New(fault.BadRequest, "limit"))
		return
	}
	_ = s.SendLast(ctx, g.grantPermit(time.Now(), m, s.Conn().Remote().Box))
}

// grantPermit answers who asks for a permit, as the limiter of its replica.
func (g *Relay) grantPermit(now time.Time, m *peers.PermitRequest, from string) *peers.Permit {
	k := g.limiterOf(m.Limit.ID)
	if k.addr != g.Settings.Listen || !g.membersLearnt() {
		g.deleteLimiterState(m.Limit.ID)
		return &peers.Permit{NotLimiter: true, Limit: m.Limit}
	}
	g.receiveLimit(&m.Limit, now, permitTimeout, from)
	l := g.table.Limit(m.Limit.Life())
	p := &peers.Permit{Limit: limitMessage(m.Limit.Life(), l, now)}
	if !l.Named {
		p.Granted = true
		return p
	}
	var next time.Time
	p.Granted, next = g.issuePermit(now, m.Limit.Life(), k.share(l.PerSecond), m.Rank)
	if !p.Granted {
		p.NextIn = next.Sub(now)
		return p
	}
	telemetry.Log("permit_given", "id", m.Limit.ID, "to", from, "rank", m.Rank, "limit", l, "part", k.share(l.PerSecond), "gateways", k.live, "known", k.known)
	return p
}

// membersLearnt reports whether this gateway has asked all that it was told to join: one that
// has just started knows of itself alone, and takes itself for the limiter of every limit.
func (g *Relay) membersLearnt() bool {
	select {
	case <-g.gossip.JoinAttempted():
		return true
	default:
		return false
	}
}

// issuePermit takes a permit for a replica of which this gateway is the limiter.
func (g *Relay) issuePermit(now time.Time, l fleet.Incarnation, perSecond float64, rank int) (bool, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.limiterStates[l.ID]
	if own == nil || own.life.Before(l) {
		own = &limiterState{life: l}
		g.limiterStates[l.ID] = own
	}
	own.lastAsked = now
	return own.permits.Take(now, perSecond, rank)
}

// deleteLimiterState forgets a limit of which another gateway is the limiter now: if this one is it
// again later, what the other gave is not known, and it begins without free permits.
func (g *Relay) deleteLimiterState(replica string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.limiterStates, replica)
}

// sweepLimiters forgets limits of which this gateway is no longer the limiter or nobody has asked
// for long, and which limiters were silent.
func (g *Relay) sweepLimiters(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.limiterStates, func(id string, l *limiterState) bool {
		return now.Sub(l.lastAsked) > limiterStateTTL || g.limiterOf(id).addr != g.Settings.Listen
	})
	maps.DeleteFunc(g.limiterBackoff, func(_ string, until time.Time) bool { return !until.After(now) })
}
