package relay

import (
	"context"
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
// all the callers the replica is hardly used. One gateway keeps the limit of each replica, the
// first of those that live in an order that all share, and the others ask it for a place for
// each request. Without its word nothing is sent there.
const (
	placeIn     = 80 * time.Millisecond  // An answer that takes longer is given up, and its place is lost.
	placeFor    = time.Second            // A request that has a place is sent within this, or not there.
	placeAgain  = 300 * time.Millisecond // A keeper that does not answer is left alone for this.
	placeOther  = 50 * time.Millisecond  // The same where another gateway is the keeper by now.
	placesAsked = 8                      // For one send of a request.
	keptUnasked = time.Minute            // A limit that nobody asks about is forgotten.
)

// keptLimit is a replica's limit that this gateway keeps.
type keptLimit struct {
	life   fleet.Life
	places limit.Places
	asked  time.Time // When a place was last asked for.
}

// keeperKey orders the gateways that may keep the limit of a replica.
const keeperKey = "limit/"

// keeper is who keeps a replica's limit, as far as a gateway knows.
type keeper struct {
	addr        string
	live, known int // Gateways that live, and all that were heard of in a while.
}

func (g *Relay) keeperOf(replica string) keeper {
	members := g.gossip.Live()
	addrs := make([]string, len(members))
	for i, m := range members {
		addrs[i] = m.Addr
	}
	return keeper{rendezvous.First(keeperKey+replica, addrs), len(addrs), max(len(addrs), g.gossip.Known())}
}

// part is how much of a limit the keeper gives out: gateways that have fallen silent may be
// cut off with a keeper of their own.
func (k keeper) part(perSecond float64) float64 {
	return perSecond * float64(k.live) / float64(k.known)
}

// hasPlace reports whether a request may be sent to the replica that was chosen: it has no
// limit, or there is a place.
func (g *Relay) hasPlace(ctx context.Context, rq *request, to *route.Choice) bool {
	return !to.Limit.Named || g.takePlace(ctx, rq, to)
}

// takePlace asks for a place for a request at the replica that was chosen, and reports whether
// it has one. If not, the table knows when to ask again.
func (g *Relay) takePlace(ctx context.Context, rq *request, to *route.Choice) bool {
	now := time.Now()
	ask := &peers.AskPlace{Word: wordOf(to.Life, to.Limit, now), Rank: rq.rank}
	k := g.keeperOf(to.ID)
	if again := g.silentUntil(now, k.addr); !again.IsZero() {
		g.table.NoPlace(to.Ticket, 0, again)
		return false
	}
	p, err := g.askPlace(ctx, k, ask)
	switch {
	case err != nil && ctx.Err() != nil:
		return false // Its caller has gone.
	case err != nil:
		again := time.Now().Add(placeAgain)
		g.silence(k.addr, again)
		g.table.NoPlace(to.Ticket, 0, again)
		g.Metrics.Event("place_not_asked", string(fault.CodeOf(err)))
		telemetry.Log("place_not_asked", "id", to.ID, "keeper", k.addr, "reason", fault.CodeOf(err), "limit", to.Limit, "gateways", k.live, "known", k.known)
		return false
	case p.NotKeeper:
		g.Metrics.Event("place_not_kept", "")
		g.table.NoPlace(to.Ticket, 0, now.Add(placeOther))
		return false
	}
	g.learnLimit(&p.Word, now.Add(-p.Word.AskedAge), k.addr)
	if !p.Given {
		g.Metrics.Event("place_refused", "")
		g.table.NoPlace(to.Ticket, rq.rank, time.Now().Add(p.NextIn))
		return false
	}
	g.table.Place(to.Ticket, now.Add(placeFor))
	return true
}

// silentUntil is until when a keeper is left alone that did not answer; zero if it is not.
func (g *Relay) silentUntil(now time.Time, keeper string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until := g.silent[keeper]; until.After(now) {
		return until
	}
	return time.Time{}
}

// silence leaves a keeper alone until a time, for all replicas that it is the keeper of: each
// request would else wait for it again.
func (g *Relay) silence(keeper string, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent[keeper] = until
}

// askPlace asks a limit's keeper, which may be this gateway.
func (g *Relay) askPlace(ctx context.Context, k keeper, ask *peers.AskPlace) (*peers.Place, error) {
	if k.addr == g.Settings.Listen {
		return g.givePlace(time.Now(), ask, g.Settings.Box), nil
	}
	ctx, cancel := context.WithTimeout(ctx, placeIn)
	defer cancel()
	return g.gossip.AskPlaceOf(ctx, k.addr, ask)
}

func (g *Relay) serveAskPlace(ctx context.Context, s *wire.Stream, m *peers.AskPlace) {
	if !m.Word.Valid() {
		_ = s.Fail(ctx, fault.New(fault.BadRequest, "limit"))
		return
	}
	_ = s.SendLast(ctx, g.givePlace(time.Now(), m, s.Conn().Remote().Box))
}

// givePlace answers who asks for a place at a replica of which this gateway keeps the limit.
func (g *Relay) givePlace(now time.Time, m *peers.AskPlace, from string) *peers.Place {
	k := g.keeperOf(m.Word.ID)
	if k.addr != g.Settings.Listen || !g.knowsOthers() {
		return &peers.Place{NotKeeper: true, Word: m.Word}
	}
	g.hearLimitWord(&m.Word, now, placeIn, from)
	l := g.table.Limit(m.Word.Life())
	p := &peers.Place{Word: wordOf(m.Word.Life(), l, now)}
	if !l.Named {
		p.Given = true
		return p
	}
	var next time.Time
	p.Given, next = g.placeOf(now, m.Word.Life(), k.part(l.PerSecond), m.Rank)
	if !p.Given {
		p.NextIn = next.Sub(now)
		return p
	}
	telemetry.Log("place_given", "id", m.Word.ID, "to", from, "rank", m.Rank, "limit", l, "part", k.part(l.PerSecond), "gateways", k.live, "known", k.known)
	return p
}

// knowsOthers reports whether this gateway has asked all that it was told to join: one that
// has just started knows of itself alone, and takes itself for the keeper of every limit.
func (g *Relay) knowsOthers() bool {
	select {
	case <-g.gossip.Learnt():
		return true
	default:
		return false
	}
}

// placeOf takes a place of a limit that this gateway keeps.
func (g *Relay) placeOf(now time.Time, l fleet.Life, perSecond float64, rank int) (bool, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.kept[l.ID]
	if e == nil || e.life.Before(l) {
		e = &keptLimit{life: l}
		g.kept[l.ID] = e
	}
	e.asked = now
	return e.places.Take(now, perSecond, rank)
}

// sweepKept forgets limits of which nobody has asked for long, and which keepers were silent.
func (g *Relay) sweepKept(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for addr, until := range g.silent {
		if !until.After(now) {
			delete(g.silent, addr)
		}
	}
	for id, e := range g.kept {
		if now.Sub(e.asked) > keptUnasked {
			delete(g.kept, id)
		}
	}
}
