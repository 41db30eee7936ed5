package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

const testWindow = 60 * time.Second

func small(boxes int) burst {
	return burst{boxes: boxes, chunks: 32, policy: "origin-bytes", strategy: Swarm, window: testWindow, seed: 1, haveManifest: true}
}

func TestStoreKeepsNothingCorruptAndNothingOverItsLimit(t *testing.T) {
	is := is.New(t)
	s := &Store{Limit: 10}
	is.Equal(fault.CodeOf(s.Put(Digest([]byte("other")), []byte("data"))), fault.Corrupt)
	is.NoErr(s.Put(Digest([]byte("aaaa")), []byte("aaaa")))
	is.NoErr(s.Put(Digest([]byte("bbbb")), []byte("bbbb")))
	s.Pin("engine", []string{Digest([]byte("aaaa"))})
	is.NoErr(s.Put(Digest([]byte("cccc")), []byte("cccc"))) // Evicts an unpinned chunk.
	_, ok := s.Get(Digest([]byte("aaaa")))
	is.True(ok) // Pinned, so kept although it is the least recently used.
	_, ok = s.Get(Digest([]byte("bbbb")))
	is.True(!ok)
	s.Pin("next", []string{Digest([]byte("cccc"))})
	is.Equal(fault.CodeOf(s.Put(Digest([]byte("dddd")), []byte("dddd"))), fault.StoreFull)
	is.Equal(s.Bytes(), int64(8))
}

func TestManifestWithAnotherDigestIsRefused(t *testing.T) {
	is := is.New(t)
	m := &Manifest{Model: "m", Files: []File{Split("f", []byte("data"), 2)}}
	b, err := m.Encode()
	is.NoErr(err)
	_, err = ParseManifest(b, Digest(b))
	is.NoErr(err)
	_, err = ParseManifest(append(b, ' '), Digest(b))
	is.Equal(fault.CodeOf(err), fault.Corrupt)
}

// All boxes receive the model from about one copy that leaves the origin, within the bounds on
// time, also if 10% of boxes fail, 1% of chunks are corrupt and 5% of links stall. Virtual
// time makes the ratios exact.
func TestOriginBytesStayBounded(t *testing.T) {
	cases := []struct {
		name          string
		faults        bool
		ratio, copies float64
	}{
		{"no faults", false, 1.9, 1.05},
		{"faults", true, 2.4, 1.3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := small(24)
			b.faults = tc.faults
			f := b.run(t, 4*testWindow)
			t.Logf("ratio=%.2f copies=%.2f dead=%d", f.ratio(1), f.origin, f.dead)
			if f.ratio(1) > tc.ratio || f.origin > tc.copies {
				t.Fatalf("bound exceeded: ratio %.2f, copies %.2f", f.ratio(1), f.origin)
			}
		})
	}
}

// The manifest spreads from box to box as well, over the real code path.
func TestManifestSpreads(t *testing.T) {
	b := small(24)
	b.haveManifest = false
	f := b.run(t, 4*testWindow)
	if f.ratio(1) > 4 || f.origin > 1.1 {
		t.Fatalf("bound exceeded: ratio %.2f, copies %.2f", f.ratio(1), f.origin)
	}
}

// A manifest spreads quickly from neighbours although the first boxes in its ranking have
// failed: boxes do not wait for them one after another.
func TestManifestSpreadsPastBoxesThatHaveGone(t *testing.T) {
	is := is.New(t)
	b := small(24)
	b.haveManifest, b.chunks = false, 8
	b.hook = func(s *sim) {
		s.mu.Lock()
		for i := range 24 { // Still listed, but failed.
			s.members = append(s.members, s.member(fmt.Sprintf("gone-%03d", i)))
		}
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		for _, x := range s.boxes {
			_, ok := x.exchange.Lookup(Digest(s.manifest))
			is.True(ok)
		}
	}
	b.run(t, 3*testWindow)
}

// All boxes have a manifest soon after the version is assigned to the first boxes in its
// ranking, which ask the origin for it, even if it is assigned to those last and the others
// wait for one another.
func TestManifestComesDownFromTheFirst(t *testing.T) {
	const late = 120 * time.Millisecond
	for _, boxes := range []int{10, 20, 40} {
		is := is.New(t)
		b := small(boxes)
		b.window = 2 * time.Second // A manifest takes 9 ms on a link.
		b.haveManifest, b.chunks = false, 8
		b.startAt = func(s *sim, name string) time.Duration {
			for _, m := range rank("manifest/"+Digest(s.manifest), s.members)[:manifestSeeders] {
				if m.Name == name {
					return late
				}
			}
			return 0
		}
		b.hook = func(s *sim) {
			time.Sleep(late + 150*time.Millisecond)
			have := 0
			for _, x := range s.boxes {
				if _, ok := x.exchange.Lookup(Digest(s.manifest)); ok {
					have++
				}
			}
			is.Equal(have, boxes)
		}
		b.run(t, 3*testWindow)
	}
}

// With any single fault, every live box completes.
func TestFaultsAlone(t *testing.T) {
	half := testWindow / 4
	cases := []struct {
		name   string
		boxes  int
		copies float64
		hook   func(s *sim)
	}{
		{"a box fails while it serves", 24, 1.2, func(s *sim) { time.Sleep(half); s.kill(s.name(3)) }},
		{"the boxes that seed the first chunks fail", 24, 1.5, func(s *sim) {
			for i := range 4 {
				time.Sleep(time.Second)
				s.kill(s.name(i))
			}
		}},
		{"a box's links stall without closing", 24, 1.3, func(s *sim) {
			time.Sleep(half)
			for i := range 24 {
				if i != 5 {
					s.net.Stall(s.name(5), s.name(i), true)
				}
			}
			time.Sleep(2 * testWindow)
			for i := range 24 {
				if i != 5 {
					s.net.Stall(s.name(5), s.name(i), false)
				}
			}
		}},
		{"the origin goes down for a while", 24, 1.2, func(s *sim) {
			time.Sleep(3 * time.Second)
			s.setOrigin(func() { s.originDown = true })
			time.Sleep(testWindow / 2)
			s.setOrigin(func() { s.originDown = false })
		}},
		{"a hall is cut from the origin", 24, 1.2, func(s *sim) { s.setOrigin(func() { s.originCut["hall-0"] = true }) }},
		{"a hall is cut from the others", 24, 2.4, func(s *sim) { s.cutHall("hall-0", true) }},
		{"a hall is cut from all and reconnected", 24, 1.6, func(s *sim) {
			s.setOrigin(func() { s.originCut["hall-0"] = true })
			s.cutHall("hall-0", true)
			time.Sleep(testWindow)
			s.setOrigin(func() { s.originCut["hall-0"] = false })
			s.cutHall("hall-0", false)
		}},
		{"boxes join late", 16, 1.2, func(s *sim) {
			time.Sleep(testWindow)
			for i := range 4 {
				s.join(s.name(100 + i))
			}
		}},
		{"a box is paused past its sessions and resumed", 24, 1.3, func(s *sim) {
			time.Sleep(4 * time.Second)
			s.pause(s.name(2), true)
			time.Sleep(testWindow)
			s.pause(s.name(2), false)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := small(tc.boxes)
			b.hook = tc.hook
			f := b.run(t, 8*testWindow)
			t.Logf("ratio=%.2f copies=%.2f", f.ratio(1), f.origin)
			if f.ready[len(f.ready)-1] >= 8*testWindow || f.origin > tc.copies {
				t.Fatalf("bound exceeded: last ready after %v, copies %.2f", f.ready[len(f.ready)-1], f.origin)
			}
		})
	}
}

// A peer that corrupts everything it sends is excluded after a few chunks, which bounds the
// wasted transfers.
func TestCorruptingPeerIsLeftOut(t *testing.T) {
	b := small(12)
	b.hook = func(s *sim) { s.setOrigin(func() { s.corrupter[s.name(1)] = true }) }
	f := b.run(t, 8*testWindow)
	if f.events[EventCorrupt] == 0 || f.events[EventCorrupt] > 40 || f.ready[len(f.ready)-1] >= 8*testWindow {
		t.Fatalf("bound exceeded: %d corrupt chunks, last ready after %v", f.events[EventCorrupt], f.ready[len(f.ready)-1])
	}
}

// Chunks shared by two versions are fetched once, and a version whose chunks are all in the
// store needs no fetch.
func TestSharedChunksAreNotFetchedAgain(t *testing.T) {
	is := is.New(t)
	s := &Store{}
	data := []byte("shared")
	is.NoErr(s.Put(Digest(data), data))
	m := &Manifest{Model: "m", Version: "v2", Files: []File{{Name: "f", Chunks: []Chunk{{Digest(data), len(data)}}}}}
	b, err := m.Encode()
	is.NoErr(err)
	x := &Exchange{Self: Member{Name: "a"}, Store: s, Strategy: Swarm}
	tr := &Transfer{Exchange: x, Artifact: Digest(b), Window: time.Minute, OriginCopies: 4, Members: func() []Member { return []Member{{Name: "a"}} }}
	tr.init()
	is.NoErr(tr.start(b))
	<-tr.Complete()
}

// A box whose store is full waits: it does not fetch the same chunks repeatedly, and does not
// count the failure against its peers.
func TestFullStoreIsNotThePeersFault(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	p := &Plan{Self: "a", Strategy: Swarm, Chunks: 4, StartAt: now, OriginCopyTime: time.Second, ChunkTime: 10 * time.Millisecond}
	p.Init(nil, []string{"a", "b"})
	all := NewBitmap(4)
	for i := range 4 {
		all.Set(i)
	}
	p.PeerHas(now, "b", all, 0)
	todo, _ := p.Next(now)
	is.Equal(len(todo), 1)
	p.FetchEnded(now, todo[0].Chunk, "b", fault.StoreFull)
	todo, wake := p.Next(now)
	is.Equal(len(todo), 0)
	is.True(wake.After(now.Add(time.Second)))
	todo, _ = p.Next(wake)
	is.Equal(len(todo), 1) // The store may have room again.
	is.Equal(todo[0].From, "b")
}

// sharedLinkBurst returns a burst with small chunks over slow links, as where replicas share
// their boxes' links.
func sharedLinkBurst(boxes int) burst {
	return burst{
		boxes: boxes, chunks: 96, policy: "origin-bytes", strategy: Swarm, window: 5200 * time.Millisecond, seed: 1,
		haveManifest: true, sharedLinks: true,
	}
}

// About one copy crosses into each of the three halls.
func TestOneCopyCrossesIntoEachHall(t *testing.T) {
	is := is.New(t)
	f := sharedLinkBurst(20).run(t, time.Minute)
	t.Logf("ratio=%.2f copies=%.2f across=%d of 96", f.ratio(1), f.origin, f.events[EventPeerAcross])
	is.True(f.ratio(1) < 2)
	is.True(f.origin < 1.05)
	is.True(f.events[EventPeerAcross] < 96*2*13/10)
}

// An outage of the origin that is longer than the waits for other boxes does not multiply the
// copies that leave it: a box that has queued a chunk remains responsible for it.
func TestOriginAwayDoesNotMultiplyCopies(t *testing.T) {
	is := is.New(t)
	const away = 7 * time.Second
	b := sharedLinkBurst(20)
	b.hook = func(s *sim) {
		time.Sleep(300 * time.Millisecond)
		s.setOrigin(func() { s.originDown = true })
		time.Sleep(away)
		s.setOrigin(func() { s.originDown = false })
	}
	f := b.run(t, time.Minute)
	last := f.ready[len(f.ready)-1]
	t.Logf("last=%s copies=%.2f", last, f.origin)
	is.True(f.origin < 1.25)
	is.True(last < away+6*time.Second)
}
