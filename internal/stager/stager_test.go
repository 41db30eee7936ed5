package stager

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
)

func TestMain(m *testing.M) {
	telemetry.Discard()
	os.Exit(m.Run())
}

// A new replica gets its weights from other boxes only. The origin sends a new version
// about once, and all replicas have it before the older one expires, by one order each. A
// replica that restarts gets its weights again. No order is given while a staged version
// is incomplete.
func TestBoxesBringVersionsToTheirReplicas(t *testing.T) {
	runCluster(t, func(is *is.I, s *testCluster) {
		for range 4 {
			s.add(t, withVersion(1))
		}
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		s.add(t, withVersion(0))
		s.assign(2, 1)
		time.Sleep(3 * time.Second)
		is.Equal(s.versionCounts(), map[uint64]int{1: 5})
		is.Equal(s.piecesSent, 0) // The other boxes have all pieces.

		s.corruptManifest = s.manifests + 1
		s.assign(3, 2, peers.Step{Version: 2})
		time.Sleep(7500 * time.Millisecond)
		is.Equal(s.versionCounts(), map[uint64]int{2: 5})
		is.True(s.piecesSent <= pieceCount+2)

		s.replicas[0].restart()
		time.Sleep(2 * time.Second)
		is.Equal(s.versionCounts(), map[uint64]int{2: 5})
		for i, r := range s.replicas {
			is.Equal(r.wrongPieces, 0)
			want := []uint64{2}
			if i == 0 || i == 4 {
				want = map[int][]uint64{0: {2, 2}, 4: {1, 2}}[i]
			}
			is.Equal(r.orders, want)
		}
	})
}

// A box that starts before its replica fetches from other boxes in the meantime, and nothing
// from the origin: the pieces may already be staged.
func TestWeightsAreFetchedWhileReplicaStarts(t *testing.T) {
	runCluster(t, func(is *is.I, s *testCluster) {
		for range 3 {
			s.add(t, withVersion(1))
		}
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		fresh := withVersion(0)
		fresh.upAt = time.Now().Add(1500 * time.Millisecond)
		s.add(t, fresh)
		s.assign(2, 1)
		time.Sleep(time.Second)
		chunks, missing := s.agents[3].exchange.Transfer("m/1").Progress()
		is.Equal(chunks, pieceCount)
		is.Equal(missing, 0)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(s.versionCounts(), map[uint64]int{1: 4})
		is.Equal(s.piecesSent, 0)
	})
}

// A box's connection to its replica goes silent while pieces are staged or read back: the
// pending call gets no answer and must time out and be retried. Without the timeout 7 of 9
// loaders blocked forever in such a call, and five replicas kept a version that three newer
// ones had superseded.
func TestSilentReplicaIsAskedAgain(t *testing.T) {
	for name, hangs := range map[string]int{"while staging": 1, "twice while staging": 2} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, func(is *is.I, s *testCluster) {
				r := withVersion(1)
				s.add(t, r)
				s.assign(1, 1)
				time.Sleep(2 * time.Second)
				r.mu.Lock()
				r.hangs = hangs
				r.mu.Unlock()
				s.assign(2, 2, peers.Step{Version: 2})
				time.Sleep(7500 * time.Millisecond)
				is.Equal(s.versionCounts(), map[uint64]int{2: 1})
			})
		})
	}
	t.Run("while reading back", func(t *testing.T) {
		runCluster(t, func(is *is.I, s *testCluster) {
			r := withVersion(1)
			r.restart()
			r.hangs = 2
			s.add(t, r)
			s.assign(1, 1)
			time.Sleep(6 * time.Second)
			is.Equal(s.versionCounts(), map[uint64]int{1: 1})
		})
	})
}

// Staged pieces are not fetched again from the origin, even if the replica that has them
// answers only some time after the box has started.
func TestStagedPiecesAreNotFetchedAgain(t *testing.T) {
	runCluster(t, func(is *is.I, s *testCluster) {
		r := withVersion(1)
		r.restart()
		r.upAt = time.Now().Add(1500 * time.Millisecond)
		s.add(t, r)
		s.assign(1, 1)
		time.Sleep(3 * time.Second)
		is.Equal(s.versionCounts(), map[uint64]int{1: 1})
		is.Equal(s.piecesSent, 0)
		is.Equal(r.puts, 0) // Nor is it staged again.
	})
}

// An older assignment, from a gateway that lags behind, is ignored.
func TestOlderAssignmentIsIgnored(t *testing.T) {
	is := is.New(t)
	var a assignments
	a.set(&peers.Assignment{At: 5, Model: "m", Version: 3}, "a")
	a.set(&peers.Assignment{At: 4, Model: "m", Version: 4}, "b")
	a.set(&peers.Assignment{At: 6, Model: "m", Version: 2}, "c")
	got, _, _ := a.watch()
	is.Equal(got.Version, uint64(3))
}

// Uploads leave a part of the link to answers, but not while the replica runs no requests: between
// two versions no replica may serve, and all of them wait for weights.
func TestUploadShare(t *testing.T) {
	for _, tc := range []struct {
		name  string
		rep   Report
		valid bool
		want  float64
	}{
		{"idle", Report{}, true, idleShare},
		{"running", Report{Running: 1}, true, linkShare},
		{"queued", Report{Queued: 1}, true, linkShare},
		{"not known", Report{}, false, linkShare},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &Stager{}
			s.status.last, s.status.valid = tc.rep, tc.valid
			is.New(t).Equal(s.uploadShare(), tc.want)
		})
	}
}
