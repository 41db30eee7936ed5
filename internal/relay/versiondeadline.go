package relay

import (
	"time"

	"github.com/poststand/poststand/internal/telemetry"
)

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

// outcomeMargin is how long after the deadline of a request at its replica the replica's answer is
// awaited: it is sent then, and travels back.
const outcomeMargin = 300 * time.Millisecond

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

// logVersionDeadline counts and logs an attempt without data that is given up at the deadline of its
// replica's version, with the time at which it was sent and what agents have reported of the replica
// since: whether it is about to change its version, and its load.
func (d *delivery) logVersionDeadline(now time.Time, a *attempt) {
	d.relay.Metrics.Event("version_deadline", "")
	rep := d.relay.table.Report(a.to.Reservation)
	age := -time.Millisecond
	if !rep.ReceivedAt.IsZero() {
		age = now.Sub(rep.ReceivedAt)
	}
	telemetry.Log("version_deadline", "id", d.rq.id, "route", d.rq.routeName, "upstream", a.to.ID, "version", a.to.Version,
		"sent_ms", now.Sub(a.startedAt).Milliseconds(), "predicted_ms", a.to.Predicted.Milliseconds(), "repeatable", d.rq.repeatable(),
		"reported", rep.Version, "changing", rep.Changing, "change_known", !rep.ChangeAt.IsZero(), "running", rep.Running, "queued", rep.Queued,
		"report_age_ms", age.Milliseconds())
}
