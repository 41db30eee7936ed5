package stager

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
)

func TestOriginFirst(t *testing.T) {
	const perChunk = 30 * time.Millisecond
	now := named.Add(2 * time.Second)
	old := candidate{version: 2, unoffered: 4, chunks: 64, perChunk: perChunk, before: named.Add(7 * time.Second), until: now.Add(7 * time.Second)}
	newest := candidate{version: 3, unoffered: 64, chunks: 64, perChunk: perChunk}
	with := func(change func(o, n *candidate)) []candidate {
		o, n := old, newest
		change(&o, &n)
		return []candidate{o, n}
	}
	cases := []struct {
		name string
		cs   []candidate
		want uint64
	}{
		{"the newest alone", []candidate{newest}, 3},
		{"both in time", with(func(_, _ *candidate) {}), 2},
		{"the newest's manifest is not here", with(func(_, n *candidate) { *n = candidate{version: 3, unoffered: -1} }), 2},
		{"the older one has left the origin", with(func(o, _ *candidate) { o.unoffered = 0 }), 3},
		{"only one of them in time", with(func(o, _ *candidate) { o.unoffered = 40 }), 3},
		{"only the older one in time", with(func(o, _ *candidate) { o.before = now.Add(2 * time.Second) }), 2},
		{"none in time, and the older one here sooner", with(func(o, _ *candidate) { o.before = now }), 2},
		{"none in time, and the older one over before the newest is here", with(func(o, _ *candidate) {
			o.unoffered, o.before, o.until = 60, now, now.Add(5*time.Second)
		}), 3},
		{"the older one in time, but over long before the newest is here", with(func(o, _ *candidate) {
			o.unoffered, o.before, o.until = 40, now.Add(2600*time.Millisecond), now.Add(4100*time.Millisecond)
		}), 3},
		{"the older one is nearly over", with(func(o, _ *candidate) { o.until = now.Add(2 * time.Second) }), 3},
		{"the one that lacks less", []candidate{
			{version: 2, unoffered: 30, chunks: 64, perChunk: perChunk, before: now.Add(9 * time.Second), until: now.Add(9 * time.Second)},
			{version: 3, unoffered: 2, chunks: 64, perChunk: perChunk, before: now.Add(9 * time.Second), until: now.Add(9 * time.Second)},
			{version: 4, unoffered: 64, chunks: 64, perChunk: perChunk},
		}, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { is.New(t).Equal(originFirst(now, tc.cs), tc.want) })
	}
}

func TestNext(t *testing.T) {
	now, heldUntil := named, named.Add(2*time.Second)
	old := candidate{version: 2, whole: true, until: now.Add(5 * time.Second)}
	cases := []struct {
		name   string
		cs     []candidate
		held   uint64
		wanted uint64
	}{
		{"the newest is here", []candidate{old, {version: 3, whole: true}}, 1, 3},
		{"it will be here in time", []candidate{old, {version: 3, wholeBy: heldUntil}}, 1, 3},
		{"it will be late", []candidate{old, {version: 3, wholeBy: heldUntil.Add(1)}}, 1, 2},
		{"none of it came, and it would take too long", []candidate{old, {version: 3, unoffered: 64, perChunk: 30 * time.Millisecond}}, 1, 2},
		{"nothing of it comes any more", []candidate{old, {version: 3, wholeBy: heldUntil, stalled: true}}, 1, 2},
		{"none of it came yet", []candidate{old, {version: 3, unoffered: 10, perChunk: 30 * time.Millisecond}}, 1, 3},
		{"the older one is not here", []candidate{{version: 2, until: old.until}, {version: 3, wholeBy: old.until}}, 1, 3},
		{"the older one is nearly over", []candidate{{version: 2, whole: true, until: now.Add(time.Second)}, {version: 3, wholeBy: old.until}}, 1, 3},
		{"the replica holds the older one", []candidate{old, {version: 3, wholeBy: old.until}}, 2, 3},
		{"the replica holds nothing, and the newest comes at once", []candidate{old, {version: 3, wholeBy: now.Add(time.Second)}}, 0, 3},
		{"the replica holds nothing, and the newest comes later", []candidate{old, {version: 3, wholeBy: heldUntil}}, 0, 2},
		{"the newest of the older ones", []candidate{old, {version: 3, whole: true, until: old.until}, {version: 4, wholeBy: old.until}}, 1, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { is.New(t).Equal(next(now, tc.cs, tc.held, heldUntil).version, tc.wanted) })
	}
}

// A version that is overtaken just before the origin goes away is still brought to
// the replicas, since nothing newer can be had before the one that they hold is over.
func TestOvertakenVersionServesWhileTheOriginIsAway(t *testing.T) {
	play(t, func(is *is.I, s *site) {
		s.originRate = 20 // Pieces a second.
		for range 4 {
			s.add(t, withVersion(1))
		}
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		s.assign(2, 2, peers.Step{Version: 2})
		const apart = 700 * time.Millisecond // Not all of it has left the origin.
		time.Sleep(apart)
		s.assign(3, 3, peers.Step{Version: 2, Age: apart}, peers.Step{Version: 3})
		time.Sleep(500 * time.Millisecond)
		s.setAway(true)
		time.Sleep(8*time.Second - apart - time.Second)
		is.Equal(s.holding(), map[uint64]int{2: 4}) // Version 1 is over.
		s.setAway(false)
		time.Sleep(3 * time.Second)
		is.Equal(s.holding(), map[uint64]int{3: 4})
		for _, r := range s.replicas {
			is.Equal(r.spoilt, 0)
			is.Equal(r.orders, []uint64{2, 3})
		}
		is.True(s.fetched <= 2*pieceCount+4)
	})
}

// Where the origin sends, a version that is overtaken is passed over.
func TestOvertakenVersionIsPassedOver(t *testing.T) {
	play(t, func(is *is.I, s *site) {
		s.originRate = 20
		for range 4 {
			s.add(t, withVersion(1))
		}
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		s.assign(2, 2, peers.Step{Version: 2})
		const apart = 700 * time.Millisecond
		time.Sleep(apart)
		s.assign(3, 3, peers.Step{Version: 2, Age: apart}, peers.Step{Version: 3})
		time.Sleep(8*time.Second - apart)
		is.Equal(s.holding(), map[uint64]int{3: 4})
		for _, r := range s.replicas {
			is.Equal(r.orders, []uint64{3})
		}
	})
}

// A box whose link is slow says so while its first chunks still come, and goes on
// saying so when a newer version is named: the link is the same.
func TestSlowLinkIsToldOverVersions(t *testing.T) {
	play(t, func(is *is.I, s *site) {
		for range 4 {
			s.add(t, withVersion(1))
		}
		const squeezed = 2e4 // Bytes a second: six chunks take five seconds, and connections stall.
		s.addBehind(t, withVersion(1), squeezed)
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		s.assign(2, 2, peers.Step{Version: 2})
		slow := func() bool { return s.agents[4].status.get().SlowLink }
		const apart = 1500 * time.Millisecond
		time.Sleep(apart)
		is.True(slow())
		s.assign(3, 3, peers.Step{Version: 2, Age: apart}, peers.Step{Version: 3})
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			is.True(slow())
		}
		is.True(!s.agents[0].status.get().SlowLink)
	})
}

// A replica that comes while the newest version cannot be had is given the one that the
// others serve with, from them, and the newest once that is here.
func TestEmptyReplicaServesWithTheOlderVersion(t *testing.T) {
	play(t, func(is *is.I, s *site) {
		s.originRate = 20
		for range 4 {
			s.add(t, withVersion(1))
		}
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		s.setAway(true)
		s.assign(2, 2, peers.Step{Version: 2})
		time.Sleep(500 * time.Millisecond)
		s.add(t, withVersion(0))
		s.assign(3, 2, peers.Step{Version: 2, Age: 500 * time.Millisecond})
		time.Sleep(2 * time.Second)
		is.Equal(s.holding(), map[uint64]int{1: 5})
		is.Equal(s.fetched, 0)
		s.setAway(false)
		time.Sleep(6 * time.Second)
		is.Equal(s.holding(), map[uint64]int{2: 5})
		is.Equal(s.replicas[4].orders, []uint64{1, 2})
		is.Equal(s.replicas[4].spoilt, 0)
	})
}

// Nobody is given a version whose time is nearly over.
func TestOlderVersionThatIsNearlyOverIsNotTaken(t *testing.T) {
	play(t, func(is *is.I, s *site) {
		for range 4 {
			s.add(t, withVersion(1))
		}
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		s.setAway(true)
		const ago = 6 * time.Second // Of the eight in which version 1 may still be used.
		s.add(t, withVersion(0))
		s.assign(2, 2, peers.Step{Version: 2, Age: ago})
		time.Sleep(2 * time.Second)
		is.Equal(len(s.replicas[4].orders), 0)
	})
}
