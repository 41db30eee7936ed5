package dispatch

import (
	"container/heap"
	"time"

	"github.com/poststand/poststand/fault"
)

// advanceClock returns now, or the latest time seen if the clock was set back, and removes
// expired records.
func (g *Gate) advanceClock(now time.Time) time.Time {
	now = now.Round(0)
	if now.After(g.latest) {
		g.latest = now
	}
	if g.records == nil {
		g.records = map[RequestID]*Record{}
		g.keys = map[string]*Record{}
	}
	for len(g.expiry) > 0 && g.expiry[0].ExpiresAt.Before(g.latest) {
		r := g.expiry[0]
		if r.State == Running {
			// The request still runs past its deadline; its record must be kept.
			r.ExpiresAt = g.latest.Add(time.Second)
			heap.Fix(&g.expiry, 0)
			continue
		}
		heap.Pop(&g.expiry)
		g.remove(r)
	}
	return g.latest
}

func (g *Gate) remove(r *Record) {
	g.dequeue(r, Dropped, fault.PastDeadline)
	delete(g.records, r.ID)
	if g.keys[r.key] == r {
		delete(g.keys, r.key)
	}
	if r.Answer != nil {
		g.retainedBytes -= r.Answer.release()
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expiryHeap is a heap of records by the time when they expire.
type expiryHeap []*Record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].ExpiresAt.Before(h[j].ExpiresAt) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*Record)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}
