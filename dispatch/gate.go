package dispatch

import (
	"container/heap"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
)

// State is the state of a request at its agent.
type State int

// States of a Record. A state never decreases: a request that was fenced or finished never
// runs again.
const (
	Queued State = iota
	Running
	Finished
	Dropped // Removed from the queue or fenced; the request never started.
)

// Record is what a Gate stores about one request until ExpiresAt.
type Record struct {
	ID        RequestID
	Dispatch  *Dispatch
	State     State
	ExpiresAt time.Time     // When the record may be removed.
	Dequeued  chan struct{} // Closed when State leaves Queued.
	Reason    fault.Code    // Why the request was dropped.
	Answer    *Answer       // The answer so far; nil for a fence.
	key       string
	order     uint64 // Increases with each request that is queued.
}

// KeyHome describes whether an agent is the home of an idempotency key: the only agent
// that runs requests with it.
type KeyHome struct {
	IsHome     bool      // The agent is the key's home according to its view.
	Since      time.Time // Since when this incarnation has been the home without interruption.
	FreshUntil time.Time // Until when the view counts as current.
}

// Gate admits requests to one box. Set the exported fields before first use.
// Its methods may be called concurrently.
type Gate struct {
	Incarnation    uint64
	Slots          int           // Requests that run concurrently; 8 by default.
	Queue          int           // Requests that may be queued; 16 by default.
	MaxRecords     int           // Requests on record; 65536 by default.
	MaxDeadline    time.Duration // How far ahead a deadline may be; 5 minutes by default.
	KeyWindow      time.Duration // How long an idempotency key is remembered; 3 minutes by default.
	MaxAnswerBytes int           // Bytes of finished answers that are retained; 32 MiB by default.

	mu            sync.Mutex
	latest        time.Time // The latest time seen; the gate's clock never goes back.
	service       string
	digest        string
	open          bool // A version is confirmed, or the service is plain.
	draining      bool
	records       map[RequestID]*Record
	keys          map[string]*Record
	expiry        expiryHeap
	waiting       []*Record
	running       int
	order         uint64
	retainedBytes int
}

func orDefault(v, d int) int {
	if v == 0 {
		return d
	}
	return v
}

const (
	defaultSlots          = 8
	defaultQueue          = 16
	defaultMaxRecords     = 1 << 16
	defaultMaxDeadline    = 5 * time.Minute
	defaultKeyWindow      = 3 * time.Minute
	defaultMaxAnswerBytes = 32 << 20
)

// dequeue moves a queued record to another state. It does nothing to other records.
func (g *Gate) dequeue(r *Record, to State, reason fault.Code) {
	if r.State != Queued || r.Answer == nil {
		return
	}
	r.State, r.Reason = to, reason
	close(r.Dequeued)
	for i, w := range g.waiting {
		if w == r {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			break
		}
	}
}

// Open admits requests for a service at the version with the digest. The digest is empty
// for a plain service, which has no versions.
func (g *Gate) Open(service, digest string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service, g.digest, g.open = service, digest, true
}

// Close refuses new requests and drops the queued ones, all as not run.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	for len(g.waiting) > 0 {
		g.dequeue(g.waiting[0], Dropped, fault.NotReady)
	}
}

// Drain refuses new requests; those already admitted still run to their end.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Idle reports whether no request runs or is queued.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running == 0 && len(g.waiting) == 0
}

// Report returns the current state of the gate.
func (g *Gate) Report(now time.Time) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Report{
		Incarnation: g.Incarnation, Service: g.service, Digest: g.digest, Ready: g.open && !g.draining,
		Draining: g.draining, Running: g.running, Queued: len(g.waiting),
		Slots: orDefault(g.Slots, defaultSlots), At: g.advanceClock(now),
	}
}

// Admit admits a dispatch, or refuses it with an error. An error other than
// fault.Duplicate and fault.OutcomeUnknown means that the request has not run here and
// never will under this ID. The bool is true if the record is that of an earlier request
// with the same key, whose answer should be followed.
func (g *Gate) Admit(now time.Time, d *Dispatch, home KeyHome) (*Record, bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.advanceClock(now)
	if err := g.check(now, d); err != nil {
		return nil, false, err
	}
	if d.Key != "" {
		earlier, err := g.checkKey(now, d, home)
		if earlier != nil {
			return earlier, true, nil
		}
		if err != nil {
			return nil, false, g.refuse(d, err)
		}
	}
	if err := g.checkCapacity(d); err != nil {
		return nil, false, g.refuse(d, err)
	}
	return g.enqueue(d), false, nil
}

// refuse fences a request that is reported as not run, so that a duplicate of its frame
// cannot start it once the reason for the refusal no longer applies. If there is no room
// for the fence, the outcome is unknown.
func (g *Gate) refuse(d *Dispatch, err error) error {
	if !g.fence(d.ID, d.Deadline) {
		return fault.New(fault.OutcomeUnknown, "no room for a fence")
	}
	return err
}

// fence records that the request must not start, until its deadline. It reports whether
// there was room for the record.
func (g *Gate) fence(id RequestID, deadline time.Time) bool {
	if len(g.records) >= 2*orDefault(g.MaxRecords, defaultMaxRecords) {
		return false
	}
	r := &Record{ID: id, State: Dropped, ExpiresAt: deadline}
	g.records[id] = r
	heap.Push(&g.expiry, r)
	return true
}

// check returns an error for dispatches that must not run in any state of the gate. The
// order of the checks matters: after the incarnation, fences and duplicates are detected
// before any other reason.
func (g *Gate) check(now time.Time, d *Dispatch) error {
	if d.Incarnation != g.Incarnation {
		return fault.New(fault.WrongIncarnation, "")
	}
	if r, ok := g.records[d.ID]; ok {
		if r.Answer == nil || r.State == Dropped {
			return fault.New(fault.Fenced, "")
		}
		return fault.New(fault.Duplicate, "")
	}
	if !now.Before(d.Deadline) {
		return fault.New(fault.PastDeadline, "")
	}
	limit := g.MaxDeadline
	if limit == 0 {
		limit = defaultMaxDeadline
	}
	if d.Deadline.After(now.Add(limit)) {
		return fault.New(fault.BadRequest, "deadline too far in the future")
	}
	return nil
}

func (g *Gate) checkKey(now time.Time, d *Dispatch, home KeyHome) (*Record, error) {
	if r, ok := g.keys[d.Key]; ok {
		if r.Dispatch.KeyDigest != d.KeyDigest {
			return nil, fault.New(fault.KeyReused, "")
		}
		return r, nil
	}
	if !home.IsHome {
		return nil, fault.New(fault.NotKeyHome, "")
	}
	if !d.Unsafe {
		return nil, nil
	}
	if now.After(home.FreshUntil) {
		return nil, fault.New(fault.ViewExpired, "")
	}
	if now.Before(home.Since.Add(g.keyWindow())) {
		return nil, fault.New(fault.KeyHomeRecovering, "")
	}
	return nil, nil
}

func (g *Gate) keyWindow() time.Duration {
	if g.KeyWindow == 0 {
		return defaultKeyWindow
	}
	return g.KeyWindow
}

// SetKeyWindow changes how long idempotency keys are remembered from now on.
func (g *Gate) SetKeyWindow(w time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.KeyWindow = w
}

func (g *Gate) checkCapacity(d *Dispatch) error {
	switch {
	case g.draining:
		return fault.New(fault.Draining, "")
	case !g.open:
		return fault.New(fault.NotReady, "")
	case d.Service != g.service:
		return fault.New(fault.StaleView, "")
	case d.Digest != g.digest:
		return fault.New(fault.WrongVersion, "")
	case len(g.records) >= orDefault(g.MaxRecords, defaultMaxRecords):
		return fault.New(fault.TableFull, "")
	case len(g.waiting) >= orDefault(g.Queue, defaultQueue) && g.running >= orDefault(g.Slots, defaultSlots):
		return fault.New(fault.QueueFull, "")
	}
	return nil
}

func (g *Gate) enqueue(d *Dispatch) *Record {
	g.order++
	r := &Record{
		ID: d.ID, Dispatch: d, ExpiresAt: d.Deadline, Dequeued: make(chan struct{}),
		Answer: &Answer{}, key: d.Key, order: g.order,
	}
	if d.Key != "" {
		g.keys[d.Key] = r
		r.ExpiresAt = later(d.Deadline, g.latest.Add(g.keyWindow()))
	}
	g.records[d.ID] = r
	heap.Push(&g.expiry, r)
	g.waiting = append(g.waiting, r)
	g.startQueued()
	return r
}

// startQueued starts queued requests while there are free slots: those of the highest
// priority first, and of these the oldest first.
func (g *Gate) startQueued() {
	for g.running < orDefault(g.Slots, defaultSlots) && len(g.waiting) > 0 {
		best := g.waiting[0]
		for _, r := range g.waiting[1:] {
			if r.Dispatch.Priority > best.Dispatch.Priority ||
				r.Dispatch.Priority == best.Dispatch.Priority && r.order < best.order {
				best = r
			}
		}
		if !g.latest.Before(best.Dispatch.Deadline) {
			g.dequeue(best, Dropped, fault.PastDeadline)
			continue
		}
		g.running++
		g.dequeue(best, Running, "")
	}
}

// Finish records that a running request has ended, and retains its answer if that fits
// within MaxAnswerBytes.
func (g *Gate) Finish(now time.Time, r *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advanceClock(now)
	if r.State != Running {
		panic("dispatch: Finish of a request that is not running")
	}
	r.State = Finished
	g.running--
	if size := r.Answer.size(); g.retainedBytes+size <= orDefault(g.MaxAnswerBytes, defaultMaxAnswerBytes) {
		g.retainedBytes += size
		r.Answer.retain()
	} else {
		r.Answer.release()
	}
	g.startQueued()
}

// Void fences a request that has not started, or returns how far it has got.
func (g *Gate) Void(now time.Time, v *Void) VoidState {
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.advanceClock(now)
	if v.Incarnation != g.Incarnation {
		return VoidUnknown
	}
	if r, ok := g.records[v.ID]; ok {
		return g.voidKnown(r)
	}
	if !now.Before(v.Deadline) {
		// The request may have run and its record expired; a frame that arrives now is refused.
		return VoidUnknown
	}
	if !g.fence(v.ID, v.Deadline) {
		return VoidUnknown
	}
	return VoidFenced
}

func (g *Gate) voidKnown(r *Record) VoidState {
	g.dequeue(r, Dropped, fault.Fenced)
	switch r.State {
	case Dropped:
		return VoidFenced
	case Running:
		return VoidRunning
	default:
		return VoidFinished
	}
}

// Find returns the record of a request that was admitted here.
func (g *Gate) Find(now time.Time, id RequestID) (*Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advanceClock(now)
	r, ok := g.records[id]
	return r, ok && r.Answer != nil
}
