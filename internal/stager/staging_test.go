package stager

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/weights"
)

// plays is how often each test plays: which call is pending at an event, and the order of late calls, differ.
const plays = 20

// playStaging plays a box whose replica has version 1, stages slowly, and has version 2 named. event is
// called as a piece is staged, by a replica that is locked. Version 3 is named two seconds later if
// it is the newest. The replica then has the newest version, and has never loaded a wrong piece.
func playStaging(t *testing.T, newest uint64, event func(s *testCluster, r *fakeReplica, play, puts int)) {
	check := is.NewRelaxed(t)
	for play := range plays {
		r := withVersion(1)
		runCluster(t, func(_ *is.I, s *testCluster) {
			r.callTime = 20 * time.Millisecond
			r.onPut = func(puts int) { event(s, r, play, puts) }
			s.add(t, r)
			s.assign(1, 1)
			time.Sleep(2 * time.Second)
			s.assign(2, 2, peers.Step{Version: 2})
			if newest == 3 {
				time.Sleep(2 * time.Second)
				s.assign(3, 3, peers.Step{Version: 2, Age: 2 * time.Second}, peers.Step{Version: 3})
			}
			time.Sleep(20 * time.Second)
		})
		check.Equal(r.wrongPieces, 0)         // Pieces that were loaded.
		check.Equal(r.report.Version, newest) // The version that is loaded in the end.
	}
}

// stillFor returns for how long the process stands still in a play.
func stillFor(play int) time.Duration {
	return 6*time.Second + time.Duration(play)*400*time.Millisecond
}

// An order was taken by a process that had started again amid staging, without the pieces staged before that.
func TestRestartAmidStagingLosesNoPiece(t *testing.T) {
	restarts := map[string]func(r *fakeReplica){"staged pieces are lost": (*fakeReplica).restartEmpty, "staged pieces outlast it": (*fakeReplica).restartLocked}
	for name, restart := range restarts {
		t.Run(name, func(t *testing.T) {
			playStaging(t, 2, func(_ *testCluster, r *fakeReplica, play, puts int) {
				if puts == 1+play%pieceCount {
					restart(r)
				}
			})
		})
	}
}

// A piece whose staging was given up replaced one of the next version before that was loaded.
func TestStagingThatWasGivenUpSpoilsNoOtherVersion(t *testing.T) {
	for _, spread := range []time.Duration{wakeSpread, settleTime / 2} {
		t.Run(spread.String(), func(t *testing.T) {
			playStaging(t, 3, func(_ *testCluster, r *fakeReplica, play, puts int) {
				r.spread = spread
				if puts == 1+play%(pieceCount-1) {
					r.standStill(stillFor(play))
				}
			})
		})
	}
}

// An order that was given up was taken once the next version was staged.
func TestOrderThatWasGivenUpFindsItsVersion(t *testing.T) {
	playStaging(t, 3, func(_ *testCluster, r *fakeReplica, play, puts int) {
		if puts == pieceCount {
			r.standStill(stillFor(play))
		}
	})
}

// A restarted agent knows nothing of the call that the one before it gave up.
func TestStagingOfAnEarlierAgentSpoilsNoOtherVersion(t *testing.T) {
	playStaging(t, 3, func(s *testCluster, r *fakeReplica, play, puts int) {
		if puts == 1+play%(pieceCount-1) {
			r.standStill(stillFor(play))
			time.AfterFunc(100*time.Millisecond, func() { s.restartAgent(t, 0) })
		}
	})
}

// A piece that turned bad while the others were staged was loaded long after that.
func TestPieceThatTurnsBadAmidStagingIsNotLoaded(t *testing.T) {
	playStaging(t, 2, func(_ *testCluster, r *fakeReplica, play, puts int) {
		r.callTime = 330 * time.Millisecond
		if puts == 2 {
			r.spoil(play % 2)
		}
	})
}

// A replica whose staged pieces can't be read back was reported to be changing, and got no requests, for as long as that lasted.
func TestReplicaServesWhileItsPiecesCannotBeChecked(t *testing.T) {
	runCluster(t, func(is *is.I, s *testCluster) {
		r := withVersion(1)
		s.add(t, r)
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		r.unreadable = true
		r.mu.Unlock()
		s.assign(2, 2, peers.Step{Version: 2})
		time.Sleep(10*time.Second + pollBusy/2) // Between two attempts.
		is.True(!s.agents[0].status.get().Changing)
		is.Equal(s.versionCounts(), map[uint64]int{1: 1})
	})
}

// Two answers of the origin that agree, or a neighbour's, were believed whatever they said: a version was loaded without its last piece.
func TestManifestOfAnotherVersionIsNotUsed(t *testing.T) {
	for name, wrong := range map[string]func(m *weights.Manifest){
		"a piece is missing":   func(m *weights.Manifest) { m.Files[0].Chunks = m.Files[0].Chunks[:pieceCount-1] },
		"of another version":   func(m *weights.Manifest) { *m = *manifestOf(1) },
		"of another model":     func(m *weights.Manifest) { m.Model = "other" },
		"a second file":        func(m *weights.Manifest) { m.Files = append(m.Files, weights.File{Name: "n"}) },
		"no file":              func(m *weights.Manifest) { m.Files = nil },
		"a piece is too large": func(m *weights.Manifest) { m.Files[0].Chunks[0].Size += pieceBytes },
	} {
		t.Run(name, func(t *testing.T) {
			check := is.NewRelaxed(t)
			replicas := []*fakeReplica{withVersion(1), withVersion(1), withVersion(1)}
			runCluster(t, func(_ *is.I, s *testCluster) {
				for _, r := range replicas {
					s.add(t, r)
				}
				s.assign(1, 1)
				time.Sleep(2 * time.Second)
				s.mu.Lock()
				s.wrong, s.wrongManifests = wrong, s.manifests+4
				s.mu.Unlock()
				s.assign(2, 2, peers.Step{Version: 2})
				time.Sleep(20 * time.Second)
			})
			for _, r := range replicas {
				check.Equal(r.wrongPieces, 0)            // Pieces that were loaded.
				check.Equal(r.report.Version, uint64(2)) // The version that is loaded in the end.
			}
		})
	}
}

// A call that a later life of the replica received counted as over as soon as that life answered.
func TestStagingGivenUpAfterARestartSpoilsNoOtherVersion(t *testing.T) {
	playStaging(t, 3, func(_ *testCluster, r *fakeReplica, play, puts int) {
		switch first := 1 + play%(pieceCount-2); puts {
		case first:
			r.restartLocked()
		case first + 1:
			r.standStill(stillFor(play))
		}
	})
}

// A replica that refused an order, and whose pieces then can't be read, was reported to be changing for as long as that lasted.
func TestReplicaThatRefusedAnOrderGoesOnServing(t *testing.T) {
	check := is.NewRelaxed(t)
	runCluster(t, func(_ *is.I, s *testCluster) {
		r := withVersion(1)
		r.refusesOrders = true
		s.add(t, r)
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		s.assign(2, 2, peers.Step{Version: 2})
		time.Sleep(10*time.Second + pollBusy/2) // Between two attempts.
		check.True(!s.agents[0].status.get().Changing)
	})
}

// A replica with a piece that can't be staged was reported to be changing most of the time, and got few requests.
func TestReplicaWithAPieceThatStaysWrongGoesOnServing(t *testing.T) {
	check := is.NewRelaxed(t)
	runCluster(t, func(_ *is.I, s *testCluster) {
		r := withVersion(1)
		r.callTime = 20 * time.Millisecond
		r.onPut = func(int) { r.staged[3] = []byte("spoilt") }
		s.add(t, r)
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		s.assign(2, 2, peers.Step{Version: 2})
		time.Sleep(3 * time.Second)
		const samples = 1000
		changing := 0
		for range samples {
			time.Sleep(7 * time.Millisecond)
			if s.agents[0].status.get().Changing {
				changing++
			}
		}
		t.Logf("changing in %d of %d samples", changing, samples)
		check.True(changing < samples/2)
	})
}
