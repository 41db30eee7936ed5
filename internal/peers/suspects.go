package peers

import (
	"time"

	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/quarantine"
)

// minUrgentInterval is the least time between two rounds triggered by a request during which
// replicas terminated. Regular announcements alone come every 0.5 s, and every 3.4 s among 410
// gateways; such a request may be retried sooner.
const minUrgentInterval = 300 * time.Millisecond

// urgentSuspects returns a channel that is closed when others should learn of a request soon;
// it is nil, which never fires, without Suspects.
func (g *Gossip) urgentSuspects() <-chan struct{} {
	if g.Suspects == nil {
		return nil
	}
	return g.Suspects.UrgentUpdate()
}

// addSuspects adds the requests during which replicas terminated and of which the gateway at an
// address may have no record. The caller holds g.mu.
func (g *Gossip) addSuspects(a *Announcement, to string, now time.Time) {
	if g.Suspects == nil {
		return
	}
	a.SuspectsDigest = g.Suspects.Digest(now)
	remoteDigest := a.SuspectsDigest // The default for a gateway that has not announced its own.
	if m := g.members[to]; m != nil && !m.lastHeard.IsZero() {
		remoteDigest = m.suspectsDigest
	}
	a.Suspects = g.Suspects.PendingReports(now, remoteDigest)
}

// learnSuspects merges the requests in another gateway's announcement during which replicas
// terminated. An unsolicited announcement may have been delayed: its ages are counted from now.
func (g *Gossip) learnSuspects(a *Announcement, requestedAt, now time.Time) {
	if g.Suspects == nil {
		return
	}
	if requestedAt.IsZero() {
		requestedAt = now
	}
	LearnQuarantine(g.Suspects, requestedAt, now, a.Suspects, a.From.Name)
}

// LearnQuarantine merges the reports of a process, requested at requestedAt, into a table, and
// logs each request that is thereby quarantined or released.
func LearnQuarantine(t *quarantine.Table, requestedAt, now time.Time, rs []quarantine.Report, from string) {
	for k, v := range t.Merge(requestedAt, now, rs) {
		if v.Cleared {
			telemetry.Log("quarantine_lifted", "key", k, "from", from, "epoch", v.Epoch)
			continue
		}
		telemetry.Log("quarantine_learnt", "key", k, "from", from, "round", v.Round, "last_ended_ago", v.SinceLastStrike(now), "replicas", v.Replicas(), "for", v.Until.Sub(now))
	}
}
