package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/rendezvous"
)

// The retries of a box count in the window after its process has ended. So a gateway reports them to
// a few others, its holders, and a process that starts asks them for those of its predecessor.
const (
	localRetryHolders   = 2                       // Of the same hall; one while there are no retries in the window.
	remoteRetryHolders  = 1                       // Of other halls.
	maxAskedForRetries  = 8                       // Gateways that a process asks: its view may differ from its predecessor's.
	retryReportInterval = 1500 * time.Millisecond // Between reports without retries. Less than limit.RetryRecordTTL, with time for a restart.
	minReportInterval   = 250 * time.Millisecond  // Between reports after retries.
	retryReportTimeout  = 400 * time.Millisecond  // Less than limit.UnconfirmedFor exceeds limit.RetryRecordTTL by.
	handOverTimeout     = 200 * time.Millisecond  // Less than exitMargin.
	retryHolderPause    = 2 * time.Second         // A holder that did not answer is left out for this long.
)

// retryHolders returns the first gateways of this hall and of others in the order in which those that
// hold this gateway's retries are chosen: as many as given, and more of one kind if the other has few.
func (g *Relay) retryHolders(local, remote int) []string {
	var here, elsewhere []string
	for _, m := range g.gossip.Live() {
		switch {
		case m.Addr == g.Settings.Listen:
		case m.Hall == g.Settings.Hall:
			here = append(here, m.Addr)
		default:
			elsewhere = append(elsewhere, m.Addr)
		}
	}
	key := "retries/" + g.Settings.Listen
	here, elsewhere = rendezvous.Rank(key, here), rendezvous.Rank(key, elsewhere)
	local, remote = min(local+max(0, remote-len(elsewhere)), len(here)), min(remote+max(0, local-len(here)), len(elsewhere))
	return slices.Concat(here[:local], elsewhere[:remote])
}

// reportRetries takes over the retries of the previous process of the box, and reports those of the
// box until ctx ends.
func (g *Relay) reportRetries(ctx context.Context) error {
	go g.takeOverRetries(ctx)
	pausedUntil := map[string]time.Time{}
	for ctx.Err() == nil {
		began := time.Now()
		g.sendRetryReport(ctx, pausedUntil)
		t := time.NewTimer(retryReportInterval)
		select {
		case <-g.retries.spent:
			kernel.Sleep(ctx, minReportInterval-time.Since(began))
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return nil
}

// sendRetryReport reports the retries of this box to its holders, except those that are paused since
// they did not answer.
func (g *Relay) sendRetryReport(ctx context.Context, pausedUntil map[string]time.Time) {
	now, local := time.Now(), localRetryHolders
	if !g.hasRetries(now) {
		local = 1
	}
	holders := slices.DeleteFunc(g.retryHolders(local, remoteRetryHolders), func(addr string) bool {
		return now.Before(pausedUntil[addr]) || !g.retries.mayReport(now, addr)
	})
	if len(holders) == 0 {
		return
	}
	own, retries := g.ownRetryRecord(now)
	errs := g.sendRecords(ctx, retryReportTimeout, holders, []peers.RetryRecord{own})
	received := false
	for i, addr := range holders {
		if errs[i] == nil {
			received = true
			delete(pausedUntil, addr)
		} else {
			pausedUntil[addr] = time.Now().Add(retryHolderPause)
		}
	}
	if received {
		g.retries.confirm(now, retries)
	}
}

// hasRetries reports whether there are retries in the window.
func (g *Relay) hasRetries(now time.Time) bool {
	for _, u := range g.retryUsage(now) {
		if u.Retries > 0 {
			return true
		}
	}
	return false
}

// ownRetryRecord returns the record of this box, and the number of retries of this process by service.
func (g *Relay) ownRetryRecord(now time.Time) (peers.RetryRecord, map[string]int) {
	r, retries := g.retries.report(now, g.retryLimit(now))
	r.Process = g.pool.Local.Incarnation
	return peers.NewRetryRecord(g.Settings.Listen, r, g.bounds.Load().RetryWindow, now), retries
}

// sendRecords sends records to gateways and returns the error of each.
func (g *Relay) sendRecords(ctx context.Context, within time.Duration, to []string, records []peers.RetryRecord) []error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	errs := make([]error, len(to))
	var wg sync.WaitGroup
	for i, addr := range to {
		wg.Go(func() { errs[i] = g.gossip.ReportRetries(ctx, addr, records) })
	}
	wg.Wait()
	return errs
}

// handOverRetries reports, before a planned end, that this process makes no more retries. Others may
// have told this gateway the same a moment ago, so it passes on what it holds.
func (g *Relay) handOverRetries(ctx context.Context) {
	g.retries.handOver()
	now, window := time.Now(), g.bounds.Load().RetryWindow
	own, _ := g.ownRetryRecord(now)
	records := []peers.RetryRecord{own}
	for gateway, held := range g.retryRecords.All(now) {
		if now.Sub(held.HeardAt) < window {
			records = append(records, peers.NewRetryRecord(gateway, held, window, now))
		}
	}
	to := g.retryHolders(maxAskedForRetries/2, maxAskedForRetries/2)
	received := 0
	for _, err := range g.sendRecords(ctx, handOverTimeout, to, records) {
		if err == nil {
			received++
		}
	}
	telemetry.Log("retries_handed_over", "to", len(to), "received", received, "records", len(records))
}
