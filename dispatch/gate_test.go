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

func ask(n int, deadline time.Time) *Dispatch {
	return &Dispatch{ID: id(n), Incarnation: 1, Service: "s", Digest: "d1", Deadline: deadline}
}

// fakeHome is a home that vouches for itself in full.
func fakeHome(now time.Time) KeyHome {
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
		{name: "another incarnation", make: func(*Gate) *Dispatch { d := ask(1, later); d.Incarnation = 2; return d }, want: fault.WrongIncarnation},
		{name: "another version", make: func(*Gate) *Dispatch { d := ask(1, later); d.Digest = "d2"; return d }, want: fault.WrongVersion},
		{name: "another service", make: func(*Gate) *Dispatch { d := ask(1, later); d.Service = "t"; return d }, want: fault.StaleView},
		{name: "past its deadline", make: func(*Gate) *Dispatch { return ask(1, epoch) }, want: fault.PastDeadline},
		{name: "a deadline too far", make: func(*Gate) *Dispatch { return ask(1, epoch.Add(time.Hour)) }, want: fault.BadRequest},
		{name: "while draining", make: func(g *Gate) *Dispatch { g.Drain(); return ask(1, later) }, want: fault.Draining},
		{name: "while shut", make: func(g *Gate) *Dispatch { g.Close(); return ask(1, later) }, want: fault.NotReady},
		{name: "voided before it came", make: func(g *Gate) *Dispatch {
			g.Void(epoch, &Void{ID: id(1), Incarnation: 1, Deadline: later})
			return ask(1, later)
		}, want: fault.Fenced},
		{name: "a second copy of its frame", make: func(g *Gate) *Dispatch {
			_, _, _ = g.Admit(epoch, ask(1, later), KeyHome{})
			return ask(1, later)
		}, want: fault.Duplicate},
		{name: "more than slots and queue", make: func(g *Gate) *Dispatch {
			for n := 2; n < 6; n++ {
				_, _, _ = g.Admit(epoch, ask(n, later), KeyHome{})
			}
			return ask(1, later)
		}, want: fault.QueueFull},
		{name: "a key that has another home", make: func(*Gate) *Dispatch { return keyed(1, "k", later) }, want: fault.NotHome},
		{
			name: "a key while its home is new", make: func(*Gate) *Dispatch { return keyed(1, "k", later) },
			home: KeyHome{IsHome: true, Since: epoch.Add(-time.Second), FreshUntil: later}, want: fault.HomeRecovering,
		},
		{
			name: "a key on an old view", make: func(*Gate) *Dispatch { return keyed(1, "k", later) },
			home: KeyHome{IsHome: true, FreshUntil: epoch.Add(-time.Second)}, want: fault.ViewExpired,
		},
		{name: "a key used for another request", make: func(g *Gate) *Dispatch {
			_, _, _ = g.Admit(epoch, keyed(2, "k", later), fakeHome(epoch))
			d := keyed(1, "k", later)
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

func keyed(n int, key string, deadline time.Time) *Dispatch {
	d := ask(n, deadline)
	d.Key, d.Unsafe = key, true
	return d
}

// A frame refused for a reason that passes must not start when it comes again:
// its caller was told "not run".
func TestRefusedFrameStaysRefused(t *testing.T) {
	is := is.New(t)
	g := openGate()
	g.Close()
	_, _, err := g.Admit(epoch, ask(1, epoch.Add(time.Second)), KeyHome{})
	is.Equal(fault.CodeOf(err), fault.NotReady)
	g.Open("s", "d1")
	_, _, err = g.Admit(epoch, ask(1, epoch.Add(time.Second)), KeyHome{})
	is.Equal(fault.CodeOf(err), fault.Fenced)
}

// A clock that is set back must not bring a fence's deadline back to life.
func TestClockSetBackDoesNotStartALateFrame(t *testing.T) {
	is := is.New(t)
	g := openGate()
	deadline := epoch.Add(time.Second)
	is.Equal(g.Void(epoch, &Void{ID: id(1), Incarnation: 1, Deadline: deadline}), VoidFenced)
	_, _ = g.Find(epoch.Add(2*time.Second), id(9)) // The fence expires.
	_, _, err := g.Admit(epoch, ask(1, deadline), KeyHome{})
	is.Equal(fault.CodeOf(err), fault.PastDeadline)
}

// ledger is what a model of callers and upstream knows, for the property below.
type ledger struct {
	g       *Gate
	now     time.Time
	started map[RequestID]int
	notRun  map[RequestID]bool // Told "not run".
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

// TestGateKeepsItsPromises draws any order of dispatches, repeats, voids, ends,
// swaps, drains and clock changes, and holds the gate to: a request starts at
// most once; one that was told "not run" never starts; nothing runs across a
// swap; a key runs once in its window; no more run than there are slots.
func TestGateKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &ledger{
			g: openGate(), now: epoch, started: map[RequestID]int{}, notRun: map[RequestID]bool{},
			waiting: map[RequestID]*Record{}, running: map[RequestID]*Record{}, digest: "d1", keys: map[string]keyRun{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"dispatch": l.dispatch,
			"void":     l.void,
			"finish":   l.finish,
			"swap":     l.swap,
			"clock":    l.clock,
			"":         l.check,
		})
	})
}

func (l *ledger) dispatch(t *rapid.T) {
	n := rapid.IntRange(0, l.seq+1).Draw(t, "id") // An old one is a late or doubled frame.
	l.seq = max(l.seq, n)
	d := ask(n, epoch.Add(time.Duration(n%7+1)*time.Second))
	d.Digest = rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "digest")
	if n%3 == 0 {
		d.Key, d.Unsafe = string(rune('a'+n/3%2)), true
	}
	rec, repeat, err := l.g.Admit(l.now, d, fakeHome(l.now))
	switch {
	case err != nil:
		if c := fault.CodeOf(err); c != fault.Duplicate && c != fault.OutcomeUnknown && l.started[d.ID] == 0 {
			l.notRun[d.ID] = true
		}
	case repeat:
		if k, ok := l.keys[d.Key]; !ok || k.id != rec.ID {
			t.Fatalf("key %q answered by %v", d.Key, rec.ID)
		}
	default:
		l.waiting[d.ID] = rec
	}
}

func (l *ledger) void(t *rapid.T) {
	n := rapid.IntRange(0, l.seq+1).Draw(t, "id")
	l.seq = max(l.seq, n)
	v := &Void{ID: id(n), Incarnation: 1, Deadline: epoch.Add(time.Duration(n%7+1) * time.Second)}
	switch l.g.Void(l.now, v) {
	case VoidFenced:
		if l.started[v.ID] > 0 {
			t.Fatalf("%v was fenced after it started", v.ID)
		}
		l.notRun[v.ID] = true
	case VoidRunning:
		if l.running[v.ID] == nil && l.started[v.ID] == 0 {
			if r := l.waiting[v.ID]; r == nil || r.State != Running {
				t.Fatalf("%v does not run", v.ID)
			}
		}
	}
}

func (l *ledger) finish(t *rapid.T) {
	for id, r := range l.running {
		l.g.Finish(l.now, r)
		delete(l.running, id)
		return
	}
}

func (l *ledger) swap(t *rapid.T) {
	l.g.Close()
	l.check(t)
	if l.g.Idle() {
		l.digest = rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "to")
		l.g.Open("s", l.digest)
	}
}

func (l *ledger) clock(t *rapid.T) {
	step := rapid.Int64Range(-2000, 3000).Draw(t, "ms")
	l.now = l.now.Add(time.Duration(step) * time.Millisecond)
}

// check looks at what the gate started since.
func (l *ledger) check(t *rapid.T) {
	for id, r := range l.waiting {
		select {
		case <-r.Dequeued:
		default:
			continue
		}
		delete(l.waiting, id)
		if r.State == Dropped {
			l.notRun[id] = true
			continue
		}
		l.started[id]++
		l.running[id] = r
		if l.started[id] > 1 || l.notRun[id] {
			t.Fatalf("%v started %d times, told not run: %t", id, l.started[id], l.notRun[id])
		}
		if r.Dispatch.Digest != l.digest {
			t.Fatalf("%v of %s started on %s", id, r.Dispatch.Digest, l.digest)
		}
		l.startKey(t, r)
	}
	if len(l.running) > 2 {
		t.Fatalf("%d run on 2 slots", len(l.running))
	}
}

func (l *ledger) startKey(t *rapid.T, r *Record) {
	key := r.Dispatch.Key
	if key == "" {
		return
	}
	if k, ok := l.keys[key]; ok && l.g.latest.Before(k.until) {
		t.Fatalf("key %q started twice in its window", key)
	}
	l.keys[key] = keyRun{r.ID, r.ExpiresAt}
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

func TestBrokenAnswerIsNeverEnded(t *testing.T) {
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
			Reason:        rapid.SampledFrom([]fault.Code{fault.QueueFull, fault.Closed, fault.KeyReused, fault.Draining}).Draw(t, "reason"),
			AnswerStarted: rapid.Bool().Draw(t, "begun"),
		}
		now := epoch.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		step, _ := Decide(now, d, r, 4, func(time.Time) bool { return true })
		if step == Retry && (r.AnswerStarted || r.Outcome == Unknown && d.Unsafe || !now.Before(d.Deadline) || d.ID.Attempt >= 3) {
			t.Fatalf("tried again: %+v after %+v", d, r)
		}
		if (step == Deliver) != (r.Outcome == Done) {
			t.Fatalf("%+v was delivered: %t", r, step == Deliver)
		}
	})
}
