package dispatch

import (
	"container/heap"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
)

// State is where a request stands at its agent.
type State int

// States of a Record. They only rise: a request that was fenced or finished
// never runs again.
const (
	Queued State = iota
	Running
	Finished
	Dropped // Taken from the queue; it never started.
)

// Record is what a Gate remembers of one request until Until has passed.
type Record struct {
	ID        RequestID
	Dispatch  *Dispatch
	State     State
	ExpiresAt time.Time     // When it may be forgotten.
	Dequeued  chan struct{} // Closed when State leaves Queued.
	Reason    fault.Code    // Why it was dropped.
	Answer    *Answer       // What was answered so far; nil for a fence.
	key       string
	order     uint64
}

// KeyHome is what an agent knows of being the home of an idempotency key.
type KeyHome struct {
	IsHome     bool      // The key's home by this agent's view.
	Since      time.Time // The home without a break, by one incarnation, since then.
	FreshUntil time.Time // The view is vouched for until then.
}

// Gate admits requests to one box. Set the exported fields before first use.
// Methods are safe for use by many goroutines.
type Gate struct {
	Incarnation    uint64
	Slots          int           // Requests that run at once; 8 by default.
	Queue          int           // Requests that wait; 16 by default.
	MaxRecords     int           // Requests remembered; 65536 by default.
	MaxDeadline    time.Duration // The furthest deadline; 5 minutes by default.
	KeyWindow      time.Duration // How long a key is remembered; 3 minutes by default.
	MaxAnswerBytes int           // Bytes of answers kept; 32 MiB by default.

	mu       sync.Mutex
	latest   time.Time // The clock as seen here never goes back.
	service  string
	digest   string
	open     bool // A version is confirmed, or the service is plain.
	draining bool
	records  map[RequestID]*Record
	keys     map[string]*Record
	expiry   expiryHeap
	waiting  []*Record
	running  int
	order    uint64
	kept     int
}

func orDefault(v, d int) int {
	if v == 0 {
		return d
	}
	return v
}

const (
	defaultSlots       = 8
	defaultQueue       = 16
	defaultMaxRecords  = 1 << 16
	defaultMaxDeadline = 5 * time.Minute
	defaultKeyWindow   = 3 * time.Minute
	defaultMaxKept     = 32 << 20
)

// settle moves a queued record on. It does nothing to others.
func (g *Gate) settle(r *Record, to State, why fault.Code) {
	if r.State != Queued || r.Answer == nil {
		return
	}
	r.State, r.Reason = to, why
	close(r.Dequeued)
	for i, w := range g.waiting {
		if w == r {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			break
		}
	}
}

// Open lets requests for service in at the version of digest. An empty digest
// is for a plain service.
func (g *Gate) Open(service, digest string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service, g.digest, g.open = service, digest, true
}

// Close refuses new requests and drops those that wait, all as not run.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	for len(g.waiting) > 0 {
		g.settle(g.waiting[0], Dropped, fault.NotReady)
	}
}

// Drain refuses new requests; those already admitted still run.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Idle reports whether nothing runs and nothing waits.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running == 0 && len(g.waiting) == 0
}

// Report returns how the gate stands.
func (g *Gate) Report(now time.Time) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Report{
		Incarnation: g.Incarnation, Service: g.service, Digest: g.digest, Ready: g.open && !g.draining,
		Draining: g.draining, Running: g.running, Queued: len(g.waiting),
		Slots: orDefault(g.Slots, defaultSlots), At: g.clock(now),
	}
}

// Admit takes a dispatch in, or refuses it. A refusal means that the request
// has not run here and, for any reason but fault.Duplicate, never will under
// this id. The bool is true when the record is an earlier request with the same
// key, whose answer is to be followed.
func (g *Gate) Admit(now time.Time, d *Dispatch, home KeyHome) (*Record, bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.clock(now)
	if err := g.check(now, d); err != nil {
		return nil, false, err
	}
	if d.Key != "" {
		first, err := g.checkKey(now, d, home)
		if first != nil {
			return first, true, nil
		}
		if err != nil {
			return nil, false, g.refuse(d, err)
		}
	}
	if err := g.room(d); err != nil {
		return nil, false, g.refuse(d, err)
	}
	return g.insert(d), false, nil
}

// refuse fences a request that is told "not run", so that a second copy of its
// frame cannot start it when the reason has passed. Without room for the fence
// the answer cannot be "not run".
func (g *Gate) refuse(d *Dispatch, err error) error {
	if !g.fence(d.ID, d.Deadline) {
		return fault.New(fault.OutcomeUnknown, "no room for a fence")
	}
	return err
}

// fence remembers until the deadline that id must not start.
func (g *Gate) fence(id RequestID, deadline time.Time) bool {
	if len(g.records) >= 2*orDefault(g.MaxRecords, defaultMaxRecords) {
		return false
	}
	r := &Record{ID: id, State: Dropped, ExpiresAt: deadline}
	g.records[id] = r
	heap.Push(&g.expiry, r)
	return true
}

// check refuses what must not run whatever else holds. Its order matters: a
// fence or a duplicate is told from the other reasons first.
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
		return fault.New(fault.BadRequest, "deadline too far")
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
		return nil, fault.New(fault.NotHome, "")
	}
	if !d.Unsafe {
		return nil, nil
	}
	if now.After(home.FreshUntil) {
		return nil, fault.New(fault.ViewExpired, "")
	}
	if now.Before(home.Since.Add(g.keyWindow())) {
		return nil, fault.New(fault.HomeRecovering, "")
	}
	return nil, nil
}

func (g *Gate) keyWindow() time.Duration {
	if g.KeyWindow == 0 {
		return defaultKeyWindow
	}
	return g.KeyWindow
}

// SetKeyWindow changes how long keys are remembered from now on.
func (g *Gate) SetKeyWindow(w time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.KeyWindow = w
}

func (g *Gate) room(d *Dispatch) error {
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

func (g *Gate) insert(d *Dispatch) *Record {
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
	g.start()
	return r
}

// start runs the best of those that wait while there are slots: the highest
// priority first, then the oldest.
func (g *Gate) start() {
	for g.running < orDefault(g.Slots, defaultSlots) && len(g.waiting) > 0 {
		best := g.waiting[0]
		for _, r := range g.waiting[1:] {
			if r.Dispatch.Priority > best.Dispatch.Priority ||
				r.Dispatch.Priority == best.Dispatch.Priority && r.order < best.order {
				best = r
			}
		}
		if !g.latest.Before(best.Dispatch.Deadline) {
			g.settle(best, Dropped, fault.PastDeadline)
			continue
		}
		g.running++
		g.settle(best, Running, "")
	}
}

// Finish records that a running request has ended, and keeps its answer as far
// as there is room.
func (g *Gate) Finish(now time.Time, r *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clock(now)
	if r.State != Running {
		panic("dispatch: a request finished that did not run")
	}
	r.State = Finished
	g.running--
	if size := r.Answer.size(); g.kept+size <= orDefault(g.MaxAnswerBytes, defaultMaxKept) {
		g.kept += size
		r.Answer.keep()
	} else {
		r.Answer.release()
	}
	g.start()
}

// Void fences a request that has not started, or says how far it came.
func (g *Gate) Void(now time.Time, v *Void) VoidState {
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.clock(now)
	if v.Incarnation != g.Incarnation {
		return VoidUnknown
	}
	if r, ok := g.records[v.ID]; ok {
		return g.voidKnown(r)
	}
	if !now.Before(v.Deadline) {
		// What was forgotten may have run, and a frame that comes now is refused.
		return VoidUnknown
	}
	if !g.fence(v.ID, v.Deadline) {
		return VoidUnknown
	}
	return VoidFenced
}

func (g *Gate) voidKnown(r *Record) VoidState {
	g.settle(r, Dropped, fault.Fenced)
	switch r.State {
	case Dropped:
		return VoidFenced
	case Running:
		return VoidRunning
	default:
		return VoidFinished
	}
}

// Find returns the record of a request that ran or waits here.
func (g *Gate) Find(now time.Time, id RequestID) (*Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clock(now)
	r, ok := g.records[id]
	return r, ok && r.Answer != nil
}
