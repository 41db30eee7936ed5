package stager

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
)

func TestOriginFirst(t *testing.T) {
	const perChunk = 30 * time.Millisecond
	now := published.Add(2 * time.Second)
	old := candidate{version: 2, unsent: 4, chunks: 64, perChunk: perChunk, previousUntil: published.Add(7 * time.Second), usableUntil: now.Add(7 * time.Second)}
	newest := candidate{version: 3, unsent: 64, chunks: 64, perChunk: perChunk}
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
		{"the newest has no manifest yet", with(func(_, n *candidate) { *n = candidate{version: 3, unsent: -1} }), 2},
		{"the origin has sent all of the older one", with(func(o, _ *candidate) { o.unsent = 0 }), 3},
		{"only one of them in time", with(func(o, _ *candidate) { o.unsent = 40 }), 3},
		{"only the older one in time", with(func(o, _ *candidate) { o.previousUntil = now.Add(2 * time.Second) }), 2},
		{"neither in time, and the older one complete sooner", with(func(o, _ *candidate) { o.previousUntil = now }), 2},
		{"neither in time, and the older one expired before the newest is complete", with(func(o, _ *candidate) {
			o.unsent, o.previousUntil, o.usableUntil = 60, now, now.Add(5*time.Second)
		}), 3},
		{"the older one in time, but expired long before the newest is complete", with(func(o, _ *candidate) {
			o.unsent, o.previousUntil, o.usableUntil = 40, now.Add(2600*time.Millisecond), now.Add(4100*time.Millisecond)
		}), 3},
		{"the older one expires soon", with(func(o, _ *candidate) { o.usableUntil = now.Add(2 * time.Second) }), 3},
		{"the one with fewer chunks left to send", []candidate{
			{version: 2, unsent: 30, chunks: 64, perChunk: perChunk, previousUntil: now.Add(9 * time.Second), usableUntil: now.Add(9 * time.Second)},
			{version: 3, unsent: 2, chunks: 64, perChunk: perChunk, previousUntil: now.Add(9 * time.Second), usableUntil: now.Add(9 * time.Second)},
			{version: 4, unsent: 64, chunks: 64, perChunk: perChunk},
		}, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { is.New(t).Equal(originFirst(now, tc.cs), tc.want) })
	}
}

func TestNext(t *testing.T) {
	now, heldUntil := published, published.Add(2*time.Second)
	old := candidate{version: 2, complete: true, usableUntil: now.Add(5 * time.Second)}
	cases := []struct {
		name string
		cs   []candidate
		held uint64
		want uint64
	}{
		{"the newest is complete", []candidate{old, {version: 3, complete: true}}, 1, 3},
		{"the newest will be in time", []candidate{old, {version: 3, completeBy: heldUntil}}, 1, 3},
		{"the newest will be late", []candidate{old, {version: 3, completeBy: heldUntil.Add(1)}}, 1, 2},
		{"no chunk of the newest has arrived, and it will take too long", []candidate{old, {version: 3, unsent: 64, perChunk: 30 * time.Millisecond}}, 1, 2},
		{"the newest is stalled", []candidate{old, {version: 3, completeBy: heldUntil, stalled: true}}, 1, 2},
		{"no chunk of the newest has arrived yet", []candidate{old, {version: 3, unsent: 10, perChunk: 30 * time.Millisecond}}, 1, 3},
		{"the older one is not complete", []candidate{{version: 2, usableUntil: old.usableUntil}, {version: 3, completeBy: old.usableUntil}}, 1, 3},
		{"the older one expires soon", []candidate{{version: 2, complete: true, usableUntil: now.Add(time.Second)}, {version: 3, completeBy: old.usableUntil}}, 1, 3},
		{"the replica holds the older one", []candidate{old, {version: 3, completeBy: old.usableUntil}}, 2, 3},
		{"the replica is empty, and the newest will be complete soon", []candidate{old, {version: 3, completeBy: now.Add(time.Second)}}, 0, 3},
		{"the replica is empty, and the newest will be late", []candidate{old, {version: 3, completeBy: heldUntil}}, 0, 2},
		{"the newest of the older ones", []candidate{old, {version: 3, complete: true, usableUntil: old.usableUntil}, {version: 4, completeBy: old.usableUntil}}, 1, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { is.New(t).Equal(nextVersion(now, tc.cs, tc.held, heldUntil).version, tc.want) })
	}
}

// A version that is superseded just before the origin fails is still given to the replicas,
// since nothing newer is available before the version that they hold expires.
func TestOvertakenVersionServesWhileTheOriginIsAway(t *testing.T) {
	runCluster(t, func(is *is.I, s *testCluster) {
		s.originRate = 20 // Pieces a second.
		for range 4 {
			s.add(t, withVersion(1))
		}
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		s.assign(2, 2, peers.Step{Version: 2})
		const apart = 700 * time.Millisecond // The origin has not sent all of version 2 by then.
		time.Sleep(apart)
		s.assign(3, 3, peers.Step{Version: 2, Age: apart}, peers.Step{Version: 3})
		time.Sleep(500 * time.Millisecond)
		s.setOriginDown(true)
		time.Sleep(8*time.Second - apart - time.Second)
		is.Equal(s.versionCounts(), map[uint64]int{2: 4}) // Version 1 has expired.
		s.setOriginDown(false)
		time.Sleep(3 * time.Second)
		is.Equal(s.versionCounts(), map[uint64]int{3: 4})
		for _, r := range s.replicas {
			is.Equal(r.wrongPieces, 0)
			is.Equal(r.orders, []uint64{2, 3})
		}
		is.True(s.piecesSent <= 2*pieceCount+4)
	})
}

// While the origin is up, a superseded version is skipped.
func TestOvertakenVersionIsPassedOver(t *testing.T) {
	runCluster(t, func(is *is.I, s *testCluster) {
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
		is.Equal(s.versionCounts(), map[uint64]int{3: 4})
		for _, r := range s.replicas {
			is.Equal(r.orders, []uint64{3})
		}
	})
}

// A box reports a slow link while its first chunks are still arriving, and continues to when
// a newer version is published: the link is still slow.
func TestSlowLinkIsToldOverVersions(t *testing.T) {
	runCluster(t, func(is *is.I, s *testCluster) {
		for range 4 {
			s.add(t, withVersion(1))
		}
		const slowRate = 2e4 // Bytes a second: six chunks take five seconds, and connections stall.
		s.addWithLink(t, withVersion(1), slowRate)
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

// A replica that joins while the newest version is unavailable gets the one that the others
// serve, from their boxes, and the newest once that is complete.
func TestEmptyReplicaServesWithTheOlderVersion(t *testing.T) {
	runCluster(t, func(is *is.I, s *testCluster) {
		s.originRate = 20
		for range 4 {
			s.add(t, withVersion(1))
		}
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		s.setOriginDown(true)
		s.assign(2, 2, peers.Step{Version: 2})
		time.Sleep(500 * time.Millisecond)
		s.add(t, withVersion(0))
		s.assign(3, 2, peers.Step{Version: 2, Age: 500 * time.Millisecond})
		time.Sleep(2 * time.Second)
		is.Equal(s.versionCounts(), map[uint64]int{1: 5})
		is.Equal(s.piecesSent, 0)
		s.setOriginDown(false)
		time.Sleep(6 * time.Second)
		is.Equal(s.versionCounts(), map[uint64]int{2: 5})
		is.Equal(s.replicas[4].orders, []uint64{1, 2})
		is.Equal(s.replicas[4].wrongPieces, 0)
	})
}

// No replica is given a version that expires soon.
func TestOlderVersionThatIsNearlyOverIsNotTaken(t *testing.T) {
	runCluster(t, func(is *is.I, s *testCluster) {
		for range 4 {
			s.add(t, withVersion(1))
		}
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		s.setOriginDown(true)
		const ago = 6 * time.Second // Of the 8 s in which version 1 may still be used.
		s.add(t, withVersion(0))
		s.assign(2, 2, peers.Step{Version: 2, Age: ago})
		time.Sleep(2 * time.Second)
		is.Equal(len(s.replicas[4].orders), 0)
	})
}
