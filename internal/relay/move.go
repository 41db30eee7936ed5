package relay

import (
	"slices"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/route"
)

// A replica that is about to change its version waits for its last streams, and could run many
// others meanwhile. So a stream that is still running there after moveAfter moves to another
// replica that holds the same version and has enough capacity.
const (
	moveAfter = 350 * time.Millisecond
	// moveGapShare limits the predicted time to the first event at the other replica, as a
	// fraction of the gap that the route allows.
	moveGapShare = 0.5
)

// shouldMove reports whether a stream should move from the replica of an attempt to another one.
func (d *delivery) shouldMove(a *attempt) bool {
	rq := d.rq
	return rq.mayContinue() && rq.attempts < max(1, rq.route.MaxAttempts) &&
		d.relay.table.ChangingFor(time.Now(), a.to.Reservation) >= moveAfter
}

// startMove opens the stream at another replica with a recent agent report, if it should move
// there, and reports whether it did. The current replica is not read meanwhile; its connection
// stays open until the other one has accepted the stream.
func (d *delivery) startMove(a *attempt) bool {
	if !d.shouldMove(a) {
		return false
	}
	g, rq, now := d.relay, d.rq, time.Now()
	criteria := rq.routeCriteria(g, map[string]bool{a.to.ID: true})
	criteria.ReportedOnly = true
	to, err := g.table.Pick(now, criteria)
	if err != nil {
		return false
	}
	if to.Predicted > time.Duration(moveGapShare*float64(rq.route.TargetGap)) || !g.hasPermit(d.ctx, rq, &to) || !g.spendRetry(now, rq, 1) {
		g.table.Done(now, to.Reservation, route.RequestResult{NotSent: true})
		return false
	}
	d.start(to)
	d.moveUntil = now.Add(rq.route.TargetGap)
	return true
}

// endMove gives up a move that was not accepted, if there is one, and goes on with the current
// replica.
func (d *delivery) endMove() {
	if d.moveUntil.IsZero() {
		return
	}
	d.moveUntil = time.Time{}
	current := d.open[0]
	for _, a := range slices.Clone(d.open[1:]) {
		d.relay.table.RecordSilence(time.Now(), a.to.Reservation)
		d.giveUp(a, fault.LinkStalled)
	}
	d.silentAt = time.Now().Add(max(minGapWait, gapWaitFactor*d.rq.route.TargetGap))
	current.resume <- struct{}{}
}
