package weights

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/kernel"
)

// maxManifests bounds the manifests that an Exchange keeps.
const maxManifests = 64

// maxManifest is the largest manifest, in bytes.
const maxManifest = 8 << 20

// Waits for a manifest.
const (
	manifestRetry  = 40 * time.Millisecond  // After a box that did not have it.
	manifestTurn   = 250 * time.Millisecond // For each box ahead in the order of those that ask the origin,
	manifestTurns  = 8                      // up to so many of them, but for the first ones,
	manifestFirst  = 2                      // of which there are so many.
	manifestOften  = 50 * time.Millisecond  // Between two requests to an origin that does not answer, of all boxes.
	manifestRound  = 500 * time.Millisecond // After this others are asked, or the origin.
	manifestAtOnce = 3                      // Boxes asked at once.
	manifestFanOut = 4                      // Boxes that ask the same one, beside those that draw it.
	manifestReach  = 300 * time.Millisecond // To reach a box,
	manifestAnswer = time.Second            // and for its answer.
)

// getManifest fetches the manifest: the first boxes in its order from the origin, the
// others from other boxes, and from the origin too once that is late.
func (t *Transfer) getManifest(ctx context.Context) ([]byte, error) {
	x := t.Exchange
	began, failed := time.Now(), time.Time{}
	for ; ctx.Err() == nil; kernel.Sleep(ctx, manifestRetry) {
		if data, ok := x.Lookup(t.Artifact); ok {
			return data, nil
		}
		order := rank("manifest/"+t.Artifact, t.Members())
		place := slices.IndexFunc(order, func(m Member) bool { return m.Name == x.Self.Name })
		turn := began.Add(time.Duration(max(0, min(place-manifestFirst+1, manifestTurns))) * manifestTurn)
		if !failed.IsZero() {
			turn = failed.Add(manifestAgain(len(order), place))
		}
		data, err := t.manifestFrom(ctx, order, place, turn)
		if err == nil {
			if _, err = ParseManifest(data, t.Artifact); err == nil {
				x.keepManifest(t.Artifact, data)
				return data, nil
			}
		}
		if !time.Now().Before(turn) {
			failed = time.Now()
		}
	}
	return nil, fault.Wrap(fault.Cancelled, context.Cause(ctx), "manifest")
}

// manifestAgain draws the time until a box asks the origin for the manifest again after
// it failed: soon for the first ones, and for the others so that all together ask it
// about as often as one of those.
func manifestAgain(boxes, place int) time.Duration {
	if place < manifestFirst {
		return rand.N(2 * manifestOften)
	}
	return rand.N(2 * time.Duration(max(1, boxes)) * manifestOften)
}

// manifestFrom asks the origin if this box's turn has come, and else a few boxes at
// once, again and again until one has it or the turn comes.
func (t *Transfer) manifestFrom(ctx context.Context, order []Member, place int, turn time.Time) ([]byte, error) {
	x := t.Exchange
	if !time.Now().Before(turn) {
		return x.FetchOrigin(ctx, t.Artifact)
	}
	asked, parent := t.manifestHolders(order, place)
	if len(asked) == 0 {
		kernel.Sleep(ctx, time.Until(turn))
		return nil, fault.New(fault.NotHeld, t.Artifact)
	}
	round := time.Now().Add(manifestRound)
	if turn.Before(round) {
		round = turn
	}
	ctx, cancel := context.WithDeadline(ctx, round)
	defer cancel()
	queue := make(chan Member, len(asked))
	for _, m := range asked {
		queue <- m
	}
	got := make(chan []byte, manifestAtOnce)
	for range min(manifestAtOnce, len(asked)) {
		go t.askHolders(ctx, queue, parent, got)
	}
	select {
	case data := <-got:
		return data, nil
	case <-ctx.Done():
		return nil, fault.New(fault.NotHeld, t.Artifact)
	}
}

// askHolders asks one box of a queue after the other for the manifest, until one has it
// or ctx ends. The parent is asked again at once while it has not heard of the version:
// it is the one that will have it first.
func (t *Transfer) askHolders(ctx context.Context, queue chan Member, parent string, got chan<- []byte) {
	for ; ctx.Err() == nil; kernel.Sleep(ctx, manifestRetry) {
		m := <-queue
		data, err := t.manifestOf(ctx, m)
		for fault.Is(err, fault.NotHeld) && m.Name == parent {
			kernel.Sleep(ctx, manifestRetry)
			data, err = t.manifestOf(ctx, m)
		}
		if err == nil {
			got <- data
			return
		}
		queue <- m // Behind those that were not asked yet.
	}
}

// manifestHolders returns the boxes to ask, those first that should be asked first: the
// one that is this box's parent in a tree over the order, at whose root is the box that
// asks the origin, and its neighbours, in case boxes above have gone. Of neighbours alone
// the answer may be long in coming: they may all wait for one another.
func (t *Transfer) manifestHolders(order []Member, place int) (asked []Member, parent string) {
	x := t.Exchange
	if x.Strategy.OrderKey == nil {
		return nil, ""
	}
	if place > 0 {
		m := order[(place-1)/manifestFanOut]
		asked, parent = append(asked, m), m.Name
	}
	neighbours := x.Strategy.Neighbours(x.Self, order)
	for _, i := range rand.Perm(len(neighbours)) {
		if neighbours[i].Name != parent {
			asked = append(asked, neighbours[i])
		}
	}
	return asked, parent
}

// manifestOf asks one box for the manifest. One that waits for it itself answers once it
// has it.
func (t *Transfer) manifestOf(ctx context.Context, m Member) ([]byte, error) {
	rctx, cancel := context.WithTimeout(ctx, manifestReach)
	defer cancel()
	c, err := t.Exchange.Pool.Get(rctx, m.Addr)
	if err != nil {
		return nil, err
	}
	data, _, err := getFrom(ctx, c, t.Artifact, maxManifest, receiving{first: manifestAnswer, next: manifestAnswer})
	return data, err
}

// keepManifest keeps a manifest, and lets go of one that no transfer uses when
// there are too many.
func (x *Exchange) keepManifest(digest string, data []byte) {
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
