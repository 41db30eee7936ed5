package peers

import (
	"time"

	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/quarantine"
)

// suspectsLeast is the least time between two rounds that are made since others should hear
// of a request under which replicas ended. Announcements alone come each 0.5 s, and each
// 3.4 s among 410 gateways; such a request comes again sooner.
const suspectsLeast = 300 * time.Millisecond

// urgent is closed when others should hear of a request soon; nil is never.
func (g *Gossip) urgent() <-chan struct{} {
	if g.Suspects == nil {
		return nil
	}
	return g.Suspects.UrgentUpdate()
}

// addSuspects adds what the gateway at an address may not know of requests under which
// replicas ended. The caller holds g.mu.
func (g *Gossip) addSuspects(a *Announcement, to string, now time.Time) {
	if g.Suspects == nil {
		return
	}
	a.SuspectsDigest = g.Suspects.Digest(now)
	theirs := a.SuspectsDigest // As far as is known, of one that has said nothing.
	if m := g.members[to]; m != nil && !m.heard.IsZero() {
		theirs = m.suspects
	}
	a.Suspects = g.Suspects.PendingReports(now, theirs)
}

// learnSuspects takes what another gateway tells of such requests. An announcement that
// came unasked may have been long on its way: what it tells counts as of now.
func (g *Gossip) learnSuspects(a *Announcement, asked, now time.Time) {
	if g.Suspects == nil {
		return
	}
	if asked.IsZero() {
		asked = now
	}
	LearnQuarantine(g.Suspects, asked, now, a.Suspects, a.From.Name)
}

// LearnQuarantine has a table learn what a process tells, asked at a time, and writes a line
// for each request that is quarantined by it, or no longer is.
func LearnQuarantine(t *quarantine.Table, asked, now time.Time, rs []quarantine.Report, from string) {
	for k, v := range t.Merge(asked, now, rs) {
		if v.Cleared {
			telemetry.Log("quarantine_lifted", "key", k, "from", from, "epoch", v.Epoch)
			continue
		}
		telemetry.Log("quarantine_learnt", "key", k, "from", from, "round", v.Round, "last_ended_ago", v.SinceLastStrike(now), "replicas", v.Replicas(), "for", v.Until.Sub(now))
	}
}
