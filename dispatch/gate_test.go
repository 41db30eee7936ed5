package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

var epoch = time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)

func id(n int) RequestID { return RequestID{Incarnation: 7, Seq: uint64(n)} }

func openGate() *Gate {
	g := &Gate{Incarnation: 1, Slots: 2, Queue: 2, KeyWindow: 10 * time.Second}
	g.Open("s", "d1")
	return g
}

func newDispatch(n int, deadline time.Time) *Dispatch {
	return &Dispatch{ID: id(n), Incarnation: 1, Service: "s", Digest: "d1", Deadline: deadline}
}

// longHome returns a key home that has been one for long and whose view is current.
func longHome(now time.Time) KeyHome {
	return KeyHome{IsHome: true, Since: now.Add(-time.Hour), FreshUntil: now.Add(time.Hour)}
}

func TestAdmitRefuses(t *testing.T) {
	later := epoch.Add(5 * time.Second)
	cases := []struct {
		name string
		make func(g *Gate) *Dispatch
		home KeyHome
		want fault.Code
	}{
		{name: "another incarnation", make: func(*Gate) *Dispatch { d := newDispatch(1, later); d.Incarnation = 2; return d }, want: fault.WrongIncarnation},
		{name: "another version", make: func(*Gate) *Dispatch { d := newDispatch(1, later); d.Digest = "d2"; return d }, want: fault.WrongVersion},
		{name: "another service", make: func(*Gate) *Dispatch { d := newDispatch(1, later); d.Service = "t"; return d }, want: fault.StaleView},
		{name: "past its deadline", make: func(*Gate) *Dispatch { return newDispatch(1, epoch) }, want: fault.PastDeadline},
		{name: "a deadline too far ahead", make: func(*Gate) *Dispatch { return newDispatch(1, epoch.Add(time.Hour)) }, want: fault.BadRequest},
		{name: "while draining", make: func(g *Gate) *Dispatch { g.Drain(); return newDispatch(1, later) }, want: fault.Draining},
		{name: "while closed", make: func(g *Gate) *Dispatch { g.Close(); return newDispatch(1, later) }, want: fault.NotReady},
		{name: "voided before it arrived", make: func(g *Gate) *Dispatch {
			g.Void(epoch, &Void{ID: id(1), Incarnation: 1, Deadline: later})
			return newDispatch(1, later)
		}, want: fault.Fenced},
		{name: "a duplicate frame", make: func(g *Gate) *Dispatch {
			_, _, _ = g.Admit(epoch, newDispatch(1, later), KeyHome{})
			return newDispatch(1, later)
		}, want: fault.Duplicate},
		{name: "more than slots and queue", make: func(g *Gate) *Dispatch {
			for n := 2; n < 6; n++ {
				_, _, _ = g.Admit(epoch, newDispatch(n, later), KeyHome{})
			}
			return newDispatch(1, later)
		}, want: fault.QueueFull},
		{name: "a key that has another home", make: func(*Gate) *Dispatch { return newKeyedDispatch(1, "k", later) }, want: fault.NotKeyHome},
		{
			name: "a key whose home is recovering", make: func(*Gate) *Dispatch { return newKeyedDispatch(1, "k", later) },
			home: KeyHome{IsHome: true, Since: epoch.Add(-time.Second), FreshUntil: later}, want: fault.KeyHomeRecovering,
		},
		{
			name: "a key with an expired view", make: func(*Gate) *Dispatch { return newKeyedDispatch(1, "k", later) },
			home: KeyHome{IsHome: true, FreshUntil: epoch.Add(-time.Second)}, want: fault.ViewExpired,
		},
		{name: "a key used for another request", make: func(g *Gate) *Dispatch {
			_, _, _ = g.Admit(epoch, newKeyedDispatch(2, "k", later), longHome(epoch))
			d := newKeyedDispatch(1, "k", later)
			d.KeyDigest = "other"
			return d
		}, want: fault.KeyReused},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			g := openGate()
			_, _, err := g.Admit(epoch, tc.make(g), tc.home)
			is.Equal(fault.CodeOf(err), tc.want)
		})
	}
}

func newKeyedDispatch(n int, key string, deadline time.Time) *Dispatch {
	d := newDispatch(n, deadline)
	d.Key, d.Unsafe = key, true
	return d
}

// A frame that was refused for a temporary reason must not start when a duplicate of it
// arrives later: its caller has been sent "not run".
func TestRefusedFrameStaysRefused(t *testing.T) {
	is := is.New(t)
	g := openGate()
	g.Close()
	_, _, err := g.Admit(epoch, newDispatch(1, epoch.Add(time.Second)), KeyHome{})
	is.Equal(fault.CodeOf(err), fault.NotReady)
	g.Open("s", "d1")
	_, _, err = g.Admit(epoch, newDispatch(1, epoch.Add(time.Second)), KeyHome{})
	is.Equal(fault.CodeOf(err), fault.Fenced)
}

// After a fence has expired, setting the clock back must not make its request admissible.
func TestClockSetBackDoesNotStartALateFrame(t *testing.T) {
	is := is.New(t)
	g := openGate()
	deadline := epoch.Add(time.Second)
	is.Equal(g.Void(epoch, &Void{ID: id(1), Incarnation: 1, Deadline: deadline}), VoidFenced)
	_, _ = g.Find(epoch.Add(2*time.Second), id(9)) // The fence expires.
	_, _, err := g.Admit(epoch, newDispatch(1, deadline), KeyHome{})
	is.Equal(fault.CodeOf(err), fault.PastDeadline)
}

// gateModel models the callers and the upstream of a gate for the property test below.
type gateModel struct {
	g       *Gate
	now     time.Time
	started map[RequestID]int
	notRun  map[RequestID]bool // Reported as not run.
	waiting map[RequestID]*Record
	running map[RequestID]*Record
	digest  string
	keys    map[string]keyRun
	seq     int
}

type keyRun struct {
	id    RequestID
	until time.Time
}

// TestGateKeepsItsPromises runs random sequences of dispatches, duplicates, voids, finished
// requests, changes of version and clock changes, and checks that a request starts at most
// once, that one reported as not run never starts, that no request starts on another version
// than its own, that a key starts once within its window, and that no more requests run than
// there are slots.
func TestGateKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &gateModel{
			g: openGate(), now: epoch, started: map[RequestID]int{}, notRun: map[RequestID]bool{},
			waiting: map[RequestID]*Record{}, running: map[RequestID]*Record{}, digest: "d1", keys: map[string]keyRun{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"dispatch": m.dispatch,
			"void":     m.void,
			"finish":   m.finish,
			"swap":     m.swap,
			"clock":    m.clock,
			"":         m.verify,
		})
	})
}

func (m *gateModel) dispatch(t *rapid.T) {
	n := rapid.IntRange(0, m.seq+1).Draw(t, "id") // An old number is a delayed or duplicate frame.
	m.seq = max(m.seq, n)
	d := newDispatch(n, epoch.Add(time.Duration(n%7+1)*time.Second))
	d.Digest = rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "digest")
	if n%3 == 0 {
		d.Key, d.Unsafe = string(rune('a'+n/3%2)), true
	}
	rec, repeat, err := m.g.Admit(m.now, d, longHome(m.now))
	switch {
	case err != nil:
		if c := fault.CodeOf(err); c != fault.Duplicate && c != fault.OutcomeUnknown && m.started[d.ID] == 0 {
			m.notRun[d.ID] = true
		}
	case repeat:
		if k, ok := m.keys[d.Key]; !ok || k.id != rec.ID {
			t.Fatalf("key %q answered by %v", d.Key, rec.ID)
		}
	default:
		m.waiting[d.ID] = rec
	}
}

func (m *gateModel) void(t *rapid.T) {
	n := rapid.IntRange(0, m.seq+1).Draw(t, "id")
	m.seq = max(m.seq, n)
	v := &Void{ID: id(n), Incarnation: 1, Deadline: epoch.Add(time.Duration(n%7+1) * time.Second)}
	switch m.g.Void(m.now, v) {
	case VoidFenced:
		if m.started[v.ID] > 0 {
			t.Fatalf("%v was fenced after it started", v.ID)
		}
		m.notRun[v.ID] = true
	case VoidRunning:
		if m.running[v.ID] == nil && m.started[v.ID] == 0 {
			if r := m.waiting[v.ID]; r == nil || r.State != Running {
				t.Fatalf("%v does not run", v.ID)
			}
		}
	}
}

func (m *gateModel) finish(t *rapid.T) {
	for id, r := range m.running {
		m.g.Finish(m.now, r)
		delete(m.running, id)
		return
	}
}

func (m *gateModel) swap(t *rapid.T) {
	m.g.Close()
	m.verify(t)
	if m.g.Idle() {
		m.digest = rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "to")
		m.g.Open("s", m.digest)
	}
}

func (m *gateModel) clock(t *rapid.T) {
	step := rapid.Int64Range(-2000, 3000).Draw(t, "ms")
	m.now = m.now.Add(time.Duration(step) * time.Millisecond)
}

// verify checks the requests that the gate has started or dropped since the last check.
func (m *gateModel) verify(t *rapid.T) {
	for id, r := range m.waiting {
		select {
		case <-r.Dequeued:
		default:
			continue
		}
		delete(m.waiting, id)
		if r.State == Dropped {
			m.notRun[id] = true
			continue
		}
		m.started[id]++
		m.running[id] = r
		if m.started[id] > 1 || m.notRun[id] {
			t.Fatalf("%v started %d times, reported as not run: %t", id, m.started[id], m.notRun[id])
		}
		if r.Dispatch.Digest != m.digest {
			t.Fatalf("%v of %s started on %s", id, r.Dispatch.Digest, m.digest)
		}
		m.startKey(t, r)
	}
	if len(m.running) > 2 {
		t.Fatalf("%d requests run in 2 slots", len(m.running))
	}
}

func (m *gateModel) startKey(t *rapid.T, r *Record) {
	key := r.Dispatch.Key
	if key == "" {
		return
	}
	if k, ok := m.keys[key]; ok && m.g.latest.Before(k.until) {
		t.Fatalf("key %q started twice in its window", key)
	}
	m.keys[key] = keyRun{r.ID, r.ExpiresAt}
}

func TestAnswerIsFollowedFromAnyPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := &Answer{}
		got := make(chan string, 3)
		for from := range 3 {
			go func() {
				text := ""
				err := a.Follow(t.Context(), id(1), from, func(m any, _ bool) error {
					if d, ok := m.(*AnswerData); ok {
						text += string(d.Data)
					}
					return nil
				})
				is.NoErr(err)
				got <- text
			}()
		}
		a.Begin(&AnswerHead{ID: id(1)})
		for _, p := range []string{"a", "b", "c"} {
			synctest.Wait()
			a.Append([]byte(p))
		}
		a.End()
		seen := map[string]bool{<-got: true, <-got: true, <-got: true}
		is.Equal(seen, map[string]bool{"abc": true, "bc": true, "c": true})
	})
}

func TestFailedAnswerHasNoLastMessage(t *testing.T) {
	is := is.New(t)
	a := &Answer{}
	a.Begin(&AnswerHead{ID: id(1)})
	a.Append([]byte("half"))
	a.Fail(fault.New(fault.Truncated, ""))
	err := a.Follow(context.Background(), id(1), 0, func(m any, last bool) error {
		is.True(!last)
		return nil
	})
	is.Equal(fault.CodeOf(err), fault.Truncated)
}

func TestDecideNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Dispatch{Unsafe: rapid.Bool().Draw(t, "unsafe"), Deadline: epoch.Add(time.Second)}
		d.ID.Attempt = rapid.IntRange(0, 5).Draw(t, "attempt")
		r := Result{
			Outcome:       rapid.SampledFrom([]Outcome{Unknown, NotRun, Done}).Draw(t, "outcome"),
			Reason:        rapid.SampledFrom([]fault.Code{fault.QueueFull, fault.ConnectionLost, fault.KeyReused, fault.Draining}).Draw(t, "reason"),
			AnswerStarted: rapid.Bool().Draw(t, "begun"),
		}
		now := epoch.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		step, _ := Decide(now, d, r, 4, func(time.Time) bool { return true })
		if step == Retry && (r.AnswerStarted || r.Outcome == Unknown && d.Unsafe || !now.Before(d.Deadline) || d.ID.Attempt >= 3) {
			t.Fatalf("retried %+v after %+v", d, r)
		}
		if (step == Deliver) != (r.Outcome == Done) {
			t.Fatalf("%+v was delivered: %t", r, step == Deliver)
		}
	})
}

func TestUnknownOutcomeIsKept(t *testing.T) {
	is := is.New(t)
	var attempts Attempts
	is.Equal(attempts.Add(Result{Outcome: NotRun, Reason: fault.QueueFull}).Outcome, NotRun)
	is.Equal(attempts.Add(Result{Outcome: Unknown, Reason: fault.ConnectionLost}).Outcome, Unknown)
	is.Equal(attempts.Add(Result{Outcome: NotRun, Reason: fault.QueueFull}).Outcome, Unknown) // The one before may have run.
}
