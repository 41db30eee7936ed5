package weights

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/kernel"
)

// maxManifests bounds the manifests that an Exchange keeps.
const maxManifests = 64

// maxManifest is the largest manifest, in bytes.
const maxManifest = 8 << 20

// getManifest fetches the manifest: the first box in its order from the origin,
// the others from their neighbours, and from the origin once that is late.
func (t *Transfer) getManifest(ctx context.Context) ([]byte, error) {
	const retry, grace, mostGraces = 40 * time.Millisecond, 250 * time.Millisecond, 8 // A manifest is small.
	x := t.Exchange
	begin := time.Now()
	for ; ctx.Err() == nil; kernel.Sleep(ctx, retry) {
		if data, ok := x.Lookup(t.Artifact); ok {
			return data, nil
		}
		members := t.Members()
		order := rank("manifest/"+t.Artifact, members)
		place := 0
		for place < len(order) && order[place].Name != x.Self.Name {
			place++
		}
		turn := begin.Add(time.Duration(min(place, mostGraces)) * grace)
		data, err := t.manifestFrom(ctx, x.Strategy.Neighbours(x.Self, members), place == 0 || time.Now().After(turn))
		if err == nil {
			if _, err = ParseManifest(data, t.Artifact); err == nil {
				x.keepManifest(t.Artifact, data)
				return data, nil
			}
		}
	}
	return nil, fault.Wrap(fault.Cancelled, context.Cause(ctx), "manifest")
}

// manifestFrom tries the origin for one whose turn has come, else a few neighbours at
// once, so that no box is asked by many and the connections serve for the chunks
// too. Those that wait for it themselves answer when they have it, so it runs through
// all boxes as fast as the network is.
func (t *Transfer) manifestFrom(ctx context.Context, neighbours []Member, turn bool) ([]byte, error) {
	const atOnce = 3
	x := t.Exchange
	if x.Strategy.OrderKey == nil || len(neighbours) == 0 || turn {
		return x.FromOrigin(ctx, t.Artifact)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		data []byte
		err  error
	}
	asked := min(atOnce, len(neighbours))
	answers := make(chan answer, asked)
	for _, i := range rand.Perm(len(neighbours))[:asked] {
		go func() {
			data, err := t.manifestOf(ctx, neighbours[i])
			answers <- answer{data, err}
		}()
	}
	var last error
	for range asked {
		a := <-answers
		if a.err == nil {
			return a.data, nil
		}
		last = a.err
	}
	return nil, last
}

// manifestOf asks one box for the manifest.
func (t *Transfer) manifestOf(ctx context.Context, m Member) ([]byte, error) {
	const patience, reach = time.Second, 300 * time.Millisecond
	rctx, cancel := context.WithTimeout(ctx, reach)
	defer cancel()
	c, err := t.Exchange.Pool.Get(rctx, m.Addr)
	if err != nil {
		return nil, err
	}
	data, _, err := getFrom(ctx, c, t.Artifact, maxManifest, receiving{first: patience, next: patience})
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
