package weights

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/simnet"
)

// The store's refusal is waited out as long as it asks, within a bound, and told
// apart from a failure.
func TestOriginsRefusalIsHonoured(t *testing.T) {
	cases := []struct {
		name   string
		status int
		after  string
		want   fault.Code
		waits  time.Duration
	}{
		{"too many requests", http.StatusTooManyRequests, "2", fault.Throttled, 2 * time.Second},
		{"down for a while", http.StatusServiceUnavailable, "1", fault.Throttled, time.Second},
		{"longer than the bound", http.StatusTooManyRequests, "3600", fault.Throttled, 5 * time.Second},
		{"no time given", http.StatusTooManyRequests, "soon", fault.Throttled, 0},
		{"not there", http.StatusNotFound, "2", fault.UpstreamFailed, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Retry-After", tc.after)
					w.WriteHeader(tc.status)
				})
				o := &OriginClient{URL: "http://origin:1", HTTP: &http.Client{Transport: &simnet.Transport{
					Find: func(string) http.Handler { return h },
				}}}
				began := time.Now()
				_, err := o.Get(t.Context(), "sha256:x")
				is.Equal(fault.CodeOf(err), tc.want)
				is.Equal(time.Since(began), tc.waits)
			})
		})
	}
}

// When the origin comes back, what it has yet to send leaves it at once and from many
// boxes, one chunk each: all boxes have a copy soon after its link can have carried it.
func TestOriginsReturnIsUsedByAll(t *testing.T) {
	is := is.New(t)
	b := small(20)
	b.chunks, b.window, b.sharing = 96, 5*time.Second, true
	b.hook = func(s *sim) {
		time.Sleep(1100 * time.Millisecond)
		s.mu.Lock()
		s.originDown = true
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		s.originDown = false
		s.mu.Unlock()
	}
	f := b.run(t, 12*time.Second)
	const back = 6100 * time.Millisecond
	is.True(f.ready[len(f.ready)-1] < back+1070*time.Millisecond) // 0.78 to 0.88 s; 1.15 to 1.33 where each box finds out by itself.
	is.True(f.origin < 1.1)
}

// mesh joins plans that tell one another all that they learn, each message taking some
// time, and an origin that serves every fetch after some time.
type mesh struct {
	now     time.Time
	plans   map[string]*Plan
	names   []string
	lag     time.Duration // Of a message,
	serves  time.Duration // and of a fetch.
	refuses map[string]bool
	silent  map[string]bool // Boxes that do nothing.
	cut     map[string]bool // Boxes that hear only one another.
	fetched map[int]map[string]int
	later   []event
}

type event struct {
	at time.Time
	do func()
}

func newMesh(boxes, chunks int, here Bitmap) *mesh {
	m := &mesh{
		now: time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC), plans: map[string]*Plan{}, lag: 30 * time.Millisecond, serves: 100 * time.Millisecond,
		refuses: map[string]bool{}, silent: map[string]bool{}, cut: map[string]bool{}, fetched: map[int]map[string]int{},
	}
	for i := range boxes {
		m.names = append(m.names, fmt.Sprintf("box-%03d", i))
	}
	for _, n := range m.names {
		p := &Plan{
			Self: n, Strategy: Swarm, Chunks: chunks, StartAt: m.now, OriginCopyTime: 2 * time.Second, ChunkTime: 25 * time.Millisecond,
			Stagger: 150 * time.Millisecond, OriginParallel: 3,
		}
		p.Init(here, m.names)
		m.plans[n] = p
	}
	return m
}

// run plays until a time, in small steps.
func (m *mesh) run(until time.Duration) {
	for end := m.now.Add(until); m.now.Before(end); m.now = m.now.Add(2 * time.Millisecond) {
		due := m.later
		m.later = nil
		for _, e := range due {
			if e.at.After(m.now) {
				m.later = append(m.later, e)
			} else {
				e.do()
			}
		}
		for _, n := range m.names {
			if !m.silent[n] {
				m.step(n)
			}
		}
	}
}

func (m *mesh) step(n string) {
	p := m.plans[n]
	todo, _ := p.Next(m.now)
	for _, a := range todo {
		if a.From != Origin {
			continue
		}
		m.after(m.serves, func() { m.serve(n, a.Chunk) })
	}
	news := p.TakeGossip()
	if news.Empty() {
		return
	}
	for _, o := range m.names {
		if o != n && !m.silent[o] && m.cut[o] == m.cut[n] {
			m.after(m.lag, func() { m.plans[o].ApplyGossip(m.now, news) })
		}
	}
}

func (m *mesh) serve(n string, chunk int) {
	p := m.plans[n]
	if m.refuses[n] {
		p.FetchEnded(m.now, chunk, Origin, fault.Unreachable)
		return
	}
	if m.fetched[chunk] == nil {
		m.fetched[chunk] = map[string]int{}
	}
	m.fetched[chunk][n]++
	p.FetchEnded(m.now, chunk, Origin, "")
	has := NewBitmap(p.Chunks)
	has.Set(chunk)
	for _, o := range m.names {
		if o != n && !m.silent[o] && m.cut[o] == m.cut[n] {
			m.after(m.lag, func() { m.plans[o].PeerHas(m.now, n, has, 0) })
		}
	}
}

func (m *mesh) after(d time.Duration, do func()) {
	m.later = append(m.later, event{m.now.Add(d), do})
}

// copies returns how many chunks were fetched, how often in all, and by how many boxes.
func (m *mesh) copies() (chunks, fetches, boxes int) {
	by := map[string]bool{}
	for _, c := range m.fetched {
		for n, k := range c {
			fetches += k
			by[n] = true
		}
	}
	return len(m.fetched), fetches, len(by)
}

// allBut returns all chunks but the last ones.
func allBut(chunks, left int) Bitmap {
	b := NewBitmap(chunks)
	for i := range chunks - left {
		b.Set(i)
	}
	return b
}

// What an absent origin has yet to send leaves it once each and soon after its return,
// and is fetched by many boxes, none of which has many to get one after the other.
func TestWhatIsLeftIsSharedAnew(t *testing.T) {
	is := is.New(t)
	const boxes, left = 20, 13
	m := newMesh(boxes, 96, allBut(96, left))
	for _, n := range m.names {
		m.refuses[n] = true
	}
	m.run(4 * time.Second)
	clear(m.refuses)
	m.run(800 * time.Millisecond) // A try each 40 ms, and two rounds of 100 ms.
	chunks, fetches, by := m.copies()
	is.Equal(chunks, left)
	is.True(fetches <= left+3) // Tries that found it back at the same moment.
	is.True(by >= left/2)
	for _, n := range m.names {
		is.True(m.plans[n].atOrigin <= 3)
	}
}

// While the origin is away, it is asked about as often as all boxes together may: not by
// each of them again and again.
func TestAbsentOriginIsAskedLittle(t *testing.T) {
	is := is.New(t)
	m := newMesh(40, 96, nil)
	asked := 0
	for _, n := range m.names {
		m.refuses[n] = true
	}
	m.run(2 * time.Second)
	before := m.asked()
	m.run(4 * time.Second)
	asked = m.asked() - before
	is.True(asked > 4*10) // Its return is seen soon,
	is.True(asked < 4*50) // and 27 tries a second are meant.
}

// asked returns how many fetches from the origin were begun.
func (m *mesh) asked() int {
	n := 0
	for _, p := range m.plans {
		n += p.asked
	}
	return n
}

// A chunk always has a box that fetches it, whichever boxes are gone, cannot reach the
// origin or are cut off with it, as long as two that hear one another can.
func TestAChunkAlwaysHasAClaimant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		const boxes, left = 16, 12
		m := newMesh(boxes, 24, allBut(24, left))
		for _, n := range m.names[2:] { // The first two are sound.
			switch rapid.IntRange(0, 3).Draw(t, "state") {
			case 0:
				m.silent[n] = true
			case 1:
				m.refuses[n] = true
			case 2:
				m.cut[n], m.refuses[n] = true, true
			}
		}
		var chunks, fetches int
		for i := 0; i < 12 && chunks < left; i++ {
			m.run(500 * time.Millisecond)
			chunks, fetches, _ = m.copies()
		}
		is.Equal(chunks, left)
		is.True(fetches <= 2*left)
	})
}

// A box that hears from no other leaves them their chunks: it is most likely the one
// that is cut off, and would bring a second copy out of the origin.
func TestBoxThatHearsNothingLeavesTheOriginAlone(t *testing.T) {
	is := is.New(t)
	m := newMesh(16, 96, nil)
	for _, p := range m.plans {
		p.ChunkTime = 200 * time.Millisecond // Larger chunks: five seconds for each box ahead.
	}
	m.run(500 * time.Millisecond)
	lone := m.names[3]
	m.cut[lone] = true
	m.after(1500*time.Millisecond, func() { // Its connections are noticed to be dead.
		for _, n := range m.names {
			m.plans[lone].PeerDisconnected(n)
		}
	})
	before := m.plans[lone].asked
	m.run(3 * time.Second)
	is.True(m.plans[lone].asked-before < 20) // Of some 80 that left the origin meanwhile.
}

// A spoilt answer is asked for again at once, and then by another box.
func TestSpoiltAnswerIsAskedForAgain(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	p := &Plan{Self: "a", Strategy: Swarm, Chunks: 1, StartAt: now, OriginCopyTime: time.Second, ChunkTime: 10 * time.Millisecond}
	p.Init(nil, []string{"a"})
	for range spoiltAllowed {
		todo, _ := p.Next(now)
		is.Equal(len(todo), 1)
		p.FetchEnded(now, 0, Origin, fault.Corrupt)
	}
	todo, wake := p.Next(now)
	is.Equal(len(todo), 0)
	is.True(wake.After(now))
	news := p.TakeGossip()
	is.Equal(news.Claims[len(news.Claims)-1].TTL, time.Duration(0)) // It has given the chunk up.
}

// The chunk of a box that is lost while it fetches is fetched by another one soon.
func TestClaimOfALostBoxEnds(t *testing.T) {
	is := is.New(t)
	m := newMesh(8, 12, allBut(12, 4))
	m.serves = time.Second
	m.run(50 * time.Millisecond)
	for _, n := range m.names {
		if m.plans[n].atOrigin > 0 {
			m.silent[n] = true // It has claimed chunks and told all.
		}
	}
	m.serves = 100 * time.Millisecond
	m.run(950 * time.Millisecond)
	for i := 8; i < 12; i++ {
		by := 0
		for n := range m.fetched[i] {
			if !m.silent[n] {
				by++
			}
		}
		is.True(by > 0)
	}
}

// A chunk that was due for a while, since boxes let their turns at those before it pass, and
// is due again later has its turns anew: it is the first box there is of its order that
// claims it, not whichever of those whose turns were back then sees it first, or all of them.
func TestTurnsBeginAnewWithAChunkThatIsDueAgain(t *testing.T) {
	is := is.New(t)
	const left = 8
	m := newMesh(12, 24, allBut(24, left))
	for _, p := range m.plans {
		p.OriginCopyTime = 24 * time.Second // One second a chunk: two of them are due at once.
	}
	first := m.plans[m.names[0]].order.first
	m.silent[first[24-left]] = true   // The next one is passed over, and the chunk
	m.silent[first[24-left+2]] = true // behind both is due until somebody claims that.
	m.serves = 2 * time.Second
	m.run(left * m.serves)
	chunks, fetches, _ := m.copies()
	is.Equal(chunks, left)
	is.Equal(fetches, left)
	is.Equal(m.asked(), left)
	for chunk := 24 - left; chunk < 24; chunk++ {
		order := m.plans[m.names[0]].ranked(chunk)
		at := slices.IndexFunc(order, func(n string) bool { return !m.silent[n] })
		is.Equal(m.fetched[chunk], map[string]int{order[at]: 1})
	}
}

// Two boxes that claim a chunk at the same moment, as they know of different members,
// agree on which of them goes on.
func TestOneOfTwoClaimsYields(t *testing.T) {
	is := is.New(t)
	m := newMesh(2, 1, nil)
	a, b := m.plans[m.names[0]], m.plans[m.names[1]]
	a.SetMembers([]string{a.Self})
	b.SetMembers([]string{b.Self})
	for _, p := range m.plans {
		todo, _ := p.Next(m.now)
		is.Equal(len(todo), 1)
	}
	fromA, fromB := a.TakeGossip(), b.TakeGossip()
	a.ApplyGossip(m.now, fromB)
	b.ApplyGossip(m.now, fromA)
	is.Equal(len(a.TakeYielded())+len(b.TakeYielded()), 1)
}
