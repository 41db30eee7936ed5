package relay

import "time"

// versionMargin is subtracted from the deadline for starting requests on an older version,
// because this gateway learns of a newer version later than the platform announces it.
const versionMargin = 800 * time.Millisecond

// versionDeadline returns the time after which no request of the service may start on a
// version, or zero if there is no such time.
func (g *Relay) versionDeadline(rq *request, version uint64) time.Time {
	target := g.catalog.Get().Targets[rq.catalog.Config.Services[rq.service].Model]
	supersededAt := target.SupersededAt(version)
	if supersededAt.IsZero() {
		return supersededAt
	}
	return supersededAt.Add(g.bounds.Load().VersionWithin - versionMargin)
}

// transitMargin allows for the transit time of a request to a replica whose version is about
// to reach its deadline.
const transitMargin = 200 * time.Millisecond

// queueDeadline returns the latest request deadline with which a request queued at a replica
// can't start on a version after the version's deadline, or zero if any request deadline will
// do.
func (g *Relay) queueDeadline(rq *request, version uint64) time.Time {
	deadline := g.versionDeadline(rq, version)
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(versionMargin - transitMargin)
}
