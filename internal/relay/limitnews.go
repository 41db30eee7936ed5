package relay

import (
	"context"
	"time"

	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/route"
	"github.com/poststand/poststand/wire"
)

// Waits of telling others what replicas said of their limits.
const (
	toldWithin = time.Second // So long a message may have been on its way.
	// tellAgain is after which time what was heard is told once more: of what may have been
	// said before what they know, others believe only the lower limit.
	tellAgain = 2 * toldWithin
)

// wordOf is what is believed of a replica's limit, as it is told.
func wordOf(id fleet.Life, l route.Limit, now time.Time) peers.LimitWord {
	w := peers.LimitWord{ID: id.ID, Born: id.Born, Named: l.Named, PerSecond: l.PerSecond}
	w.HeardAge = max(0, min(peers.OldestWord, now.Sub(l.Heard)))
	w.AskedAge = max(w.HeardAge, min(peers.OldestWord, now.Sub(l.Asked)))
	return w
}

// hearLimitWord takes what another gateway tells unasked: the message may have been on its way
// for so long.
func (g *Relay) hearLimitWord(w *peers.LimitWord, now time.Time, onWay time.Duration, from string) {
	g.learnLimit(w, now.Add(-onWay-w.AskedAge), from)
}

// learnLimit takes what another gateway tells of a replica's limit, by an answer that was made
// after a time.
func (g *Relay) learnLimit(w *peers.LimitWord, asked time.Time, from string) {
	now := time.Now()
	o := route.Limit{Named: w.Named, PerSecond: w.PerSecond, Asked: asked, Heard: now.Add(-w.HeardAge)}
	before, after := g.table.Limits(w.Life(), now, o)
	if before.Same(after) {
		return
	}
	g.Metrics.Event("upstream_limit_learnt", "")
	telemetry.Log("upstream_limit_learnt", "id", w.ID, "limit", after, "before", before, "from", from, "heard_ago", w.HeardAge)
	if g.limiterOf(w.ID).addr == g.Settings.Listen {
		g.limitNews.add(w.Life())
	}
}

// tellLimitNews keeps telling what replicas said of their limits: the limiter of each, which
// tells all others. Each gateway would else send a first request to a replica in need before
// it hears of it by itself.
func (g *Relay) tellLimitNews(ctx context.Context) error {
	return tellNews(ctx, &g.limitNews, g.tellLimits)
}

// tellLimitTwice has others told of what a replica said now, and once more in a while.
func (g *Relay) tellLimitTwice(l fleet.Life) {
	g.limitNews.add(l)
	time.AfterFunc(tellAgain, func() { g.limitNews.add(l) })
}

// tellLimits tells each gateway what concerns it, and returns how many were told.
func (g *Relay) tellLimits(ctx context.Context, news map[fleet.Life]bool, now time.Time) int {
	to := map[string][]peers.LimitWord{}
	for l := range news {
		w := wordOf(l, g.table.Limit(l), now)
		if k := g.limiterOf(l.ID); k.addr != g.Settings.Listen {
			to[k.addr] = append(to[k.addr], w)
			continue
		}
		for _, m := range g.gossip.Live() {
			if m.Addr != g.Settings.Listen {
				to[m.Addr] = append(to[m.Addr], w)
			}
		}
	}
	for addr, words := range to {
		go g.gossip.TellLimits(ctx, addr, words)
	}
	return len(to)
}

func (g *Relay) serveLimitWords(_ context.Context, s *wire.Stream, m *peers.LimitWords) {
	now := time.Now()
	for i := range m.Words {
		if w := &m.Words[i]; w.Valid() {
			g.hearLimitWord(w, now, toldWithin, s.Conn().Remote().Box)
		}
	}
}
