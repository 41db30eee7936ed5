package weights

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/kernel"
)

// maxManifests is the number of manifests above which an Exchange evicts unused ones.
const maxManifests = 64

// MaxManifest is the maximum size of a manifest in bytes.
const MaxManifest = 8 << 20

// Intervals and limits of fetching a manifest.
const (
	manifestRetry          = 40 * time.Millisecond  // Pause before the next attempt, and between two boxes that are asked.
	manifestTurnTime       = 250 * time.Millisecond // A box waits this long for each box ranked before it,
	maxManifestTurns       = 8                      // counting at most this many of them,
	manifestSeeders        = 2                      // except for this many first boxes, which ask the origin at once.
	manifestOriginInterval = 50 * time.Millisecond  // Mean interval of retries to a failing origin, of all other boxes together.
	manifestRound          = 500 * time.Millisecond // After this time another set of boxes, or the origin, is asked.
	manifestParallel       = 3                      // Boxes asked in parallel.
	manifestFanOut         = 4                      // Children of a box in the manifest tree.
	manifestDialTimeout    = 300 * time.Millisecond // To connect to a box,
	manifestReplyTimeout   = time.Second            // and to wait for each part of its answer.
)

// getManifest fetches the manifest: the first boxes in its ranking from the origin, the others
// from other boxes, and from the origin as well if that takes too long.
func (t *Transfer) getManifest(ctx context.Context) ([]byte, error) {
	x := t.Exchange
	began, failedAt := time.Now(), time.Time{}
	for ; ctx.Err() == nil; kernel.Sleep(ctx, manifestRetry) {
		if data, ok := x.Lookup(t.Artifact); ok {
			return data, nil
		}
		order := rank("manifest/"+t.Artifact, t.Members())
		position := slices.IndexFunc(order, func(m Member) bool { return m.Name == x.Self.Name })
		turn := began.Add(time.Duration(max(0, min(position-manifestSeeders+1, maxManifestTurns))) * manifestTurnTime)
		if !failedAt.IsZero() {
			turn = failedAt.Add(originRetryDelay(len(order), position))
		}
		data, err := t.fetchManifest(ctx, order, position, turn)
		if err == nil {
			if err = t.accept(data); err == nil {
				x.cacheManifest(t.Artifact, data)
				return data, nil
			}
			x.event(EventBadManifest, len(data))
		}
		if !time.Now().Before(turn) {
			failedAt = time.Now()
		}
	}
	return nil, fault.Wrap(fault.Cancelled, context.Cause(ctx), "manifest")
}

// accept returns an error if data is not a manifest of the artifact.
func (t *Transfer) accept(data []byte) error {
	m, err := ParseManifest(data, t.Artifact)
	if err != nil || t.Accept == nil {
		return err
	}
	return t.Accept(m)
}

// originRetryDelay returns a random delay until a box asks the origin for the manifest again
// after a failure. It is short for the first boxes. For the others it grows with the number of
// boxes, so that all of them together send about as many requests as one of the first.
func originRetryDelay(boxes, position int) time.Duration {
	if position < manifestSeeders {
		return rand.N(2 * manifestOriginInterval)
	}
	return rand.N(2 * time.Duration(max(1, boxes)) * manifestOriginInterval)
}

// fetchManifest asks the origin if this box's turn has come. Otherwise it asks a few boxes in
// parallel, repeatedly, until one of them has the manifest, the round ends or the turn comes.
func (t *Transfer) fetchManifest(ctx context.Context, order []Member, position int, turn time.Time) ([]byte, error) {
	x := t.Exchange
	if !time.Now().Before(turn) {
		return x.FetchOrigin(ctx, t.Artifact, MaxManifest)
	}
	sources, parent := t.manifestSources(order, position)
	if len(sources) == 0 {
		kernel.Sleep(ctx, time.Until(turn))
		return nil, fault.New(fault.NotHeld, t.Artifact)
	}
	roundEnd := time.Now().Add(manifestRound)
	if turn.Before(roundEnd) {
		roundEnd = turn
	}
	ctx, cancel := context.WithDeadline(ctx, roundEnd)
	defer cancel()
	queue := make(chan Member, len(sources))
	for _, m := range sources {
		queue <- m
	}
	results := make(chan []byte, manifestParallel)
	for range min(manifestParallel, len(sources)) {
		go t.askSources(ctx, queue, parent, results)
	}
	select {
	case data := <-results:
		return data, nil
	case <-ctx.Done():
		return nil, fault.New(fault.NotHeld, t.Artifact)
	}
}

// askSources asks the boxes of a queue one after another for the manifest, until one has it or
// ctx ends. The parent is asked again at once while it has no transfer of the artifact,
// because it is the box that is expected to have the manifest first.
func (t *Transfer) askSources(ctx context.Context, queue chan Member, parent string, results chan<- []byte) {
	for ; ctx.Err() == nil; kernel.Sleep(ctx, manifestRetry) {
		m := <-queue
		data, err := t.requestManifest(ctx, m)
		for fault.Is(err, fault.NotHeld) && m.Name == parent {
			kernel.Sleep(ctx, manifestRetry)
			data, err = t.requestManifest(ctx, m)
		}
		if err == nil {
			results <- data
			return
		}
		queue <- m // Behind those that have not been asked yet.
	}
}

// manifestSources returns the boxes to ask, in order of preference: this box's parent in a
// tree over the ranking, whose root asks the origin, and then its neighbours in random order,
// in case boxes above it have failed. The neighbours alone would not be enough, as they may
// all be waiting for one another.
func (t *Transfer) manifestSources(order []Member, position int) (sources []Member, parent string) {
	x := t.Exchange
	if x.Strategy.OrderKey == nil {
		return nil, ""
	}
	if position > 0 {
		m := order[(position-1)/manifestFanOut]
		sources, parent = append(sources, m), m.Name
	}
	neighbours := x.Strategy.Neighbours(x.Self, order)
	for _, i := range rand.Perm(len(neighbours)) {
		if neighbours[i].Name != parent {
			sources = append(sources, neighbours[i])
		}
	}
	return sources, parent
}

// requestManifest asks one box for the manifest. A box that is waiting for the manifest itself
// answers once it has it.
func (t *Transfer) requestManifest(ctx context.Context, m Member) ([]byte, error) {
	rctx, cancel := context.WithTimeout(ctx, manifestDialTimeout)
	defer cancel()
	c, err := t.Exchange.Pool.Get(rctx, m.Addr)
	if err != nil {
		return nil, err
	}
	data, _, err := fetchFromPeer(ctx, c, t.Artifact, MaxManifest, receiveOptions{firstTimeout: manifestReplyTimeout, nextTimeout: manifestReplyTimeout})
	return data, err
}

// cacheManifest stores a manifest. If there are too many, it evicts manifests that no transfer
// uses.
func (x *Exchange) cacheManifest(digest string, data []byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.manifests == nil {
		x.manifests = map[string][]byte{}
	}
	for old := range x.manifests {
		if len(x.manifests) < maxManifests {
			break
		}
		if x.transfers[old] == nil {
			delete(x.manifests, old)
		}
	}
	x.manifests[digest] = data
}
