package stager

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/weights"
)

func TestMain(m *testing.M) {
	telemetry.Discard()
	os.Exit(m.Run())
}

const pieceCount, pieceBytes = 16, 16 << 10

// pieceOf is the n-th piece of a version.
func pieceOf(version uint64, n int) []byte {
	b := make([]byte, pieceBytes)
	copy(b, fmt.Sprintf("version %d piece %d", version, n))
	return b
}

func manifestOf(version uint64) *weights.Manifest {
	f := weights.File{Name: "m"}
	for n := range pieceCount {
		f.Chunks = append(f.Chunks, weights.Chunk{Digest: weights.Digest(pieceOf(version, n)), Size: pieceBytes})
	}
	return &weights.Manifest{Model: "m", Version: fmt.Sprint(version), Files: []weights.File{f}}
}

// fakeReplica takes what is staged when it is ordered to, half a second later.
type fakeReplica struct {
	mu     sync.Mutex
	report Report
	staged map[int][]byte
	orders []uint64  // The versions that it was ordered to take.
	puts   int       // Pieces that were staged.
	spoilt int       // Orders while a staged piece was not of the version.
	upAt   time.Time // It answers nothing before.
	hangs  int       // So many calls about staged pieces get no answer.
}

// hang keeps the caller waiting if this call gets no answer.
func (r *fakeReplica) hang(ctx context.Context) error {
	r.mu.Lock()
	hangs := r.hangs > 0
	if hangs {
		r.hangs--
	}
	r.mu.Unlock()
	if !hangs {
		return nil
	}
	<-ctx.Done()
	return fault.Wrap(fault.Unreachable, ctx.Err(), "replica")
}

func (r *fakeReplica) replica() Replica {
	return Replica{
		Report: func(context.Context) (Report, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if time.Now().Before(r.upAt) {
				return Report{}, fault.New(fault.Unreachable, "replica")
			}
			return r.report, nil
		},
		Order: func(_ context.Context, _ string, version, orders uint64) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			if orders != r.report.Orders {
				return fault.New(fault.FencedOrder, "")
			}
			for n := range pieceCount {
				if weights.Digest(r.staged[n]) != weights.Digest(pieceOf(version, n)) {
					r.spoilt++
				}
			}
			r.orders = append(r.orders, version)
			r.report.Orders++
			r.report.Ordered = true
			time.AfterFunc(500*time.Millisecond, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.report.Version, r.report.Ordered = version, false
			})
			return nil
		},
		Stage: func(ctx context.Context, _ string, n int, data []byte) error {
			if err := r.hang(ctx); err != nil {
				return err
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.puts++
			r.staged[n] = data
			return nil
		},
		Staged: func(ctx context.Context, _ string) ([]int, error) {
			if err := r.hang(ctx); err != nil {
				return nil, err
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			var held []int
			for n := range pieceCount {
				if r.staged[n] != nil {
					held = append(held, n)
				}
			}
			return held, nil
		},
		ReadStaged: func(ctx context.Context, _ string, n int) ([]byte, error) {
			if err := r.hang(ctx); err != nil {
				return nil, err
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.staged[n], nil
		},
	}
}

// restart is the crash of a replica: it holds nothing, and what is staged stays.
func (r *fakeReplica) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report = Report{}
}

// site is some boxes with agents.
type site struct {
	net      *simnet.Network
	replicas []*fakeReplica
	agents   []*Stager
	ends     []*simnet.End
	stops    []func()
	mu       sync.Mutex
	fetched  int // Pieces that left the origin,
	// manifests is how many manifests did, and spoilManifest which of them is spoilt
	// on its way; 0 for none.
	manifests, spoilManifest int
	originRate               float64 // Pieces a second that the origin sends; 0 is no limit.
	originFree               time.Time
	away                     bool // The origin cannot be reached.
}

func (s *site) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// send is a piece on the origin's link.
func (s *site) send() error {
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		return fault.New(fault.Unreachable, "origin")
	}
	if now := time.Now(); s.originFree.Before(now) {
		s.originFree = now
	}
	if s.originRate > 0 {
		s.originFree = s.originFree.Add(time.Duration(float64(time.Second) / s.originRate))
	}
	sent := s.originFree
	s.mu.Unlock()
	time.Sleep(time.Until(sent))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return fault.New(fault.Unreachable, "origin") // What it has not sent is lost.
	}
	s.fetched++
	return nil
}

// play runs a test on a site of its own in virtual time.
func play(t *testing.T, test func(is *is.I, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{net: &simnet.Network{Latency: func(string, string) time.Duration { return time.Millisecond }}}
		test(is.New(t), s)
		for _, stop := range s.stops {
			stop()
		}
		time.Sleep(time.Minute)
	})
}

func ip(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

func (s *site) add(t *testing.T, r *fakeReplica) { s.addBehind(t, r, 9e5) }

// addBehind adds a box whose link takes in so many bytes a second.
func (s *site) addBehind(t *testing.T, r *fakeReplica, down float64) {
	i := len(s.agents)
	addr := ip(i) + ":7"
	a, err := New(&settings.Stager{
		Own:          settings.Own{Cluster: "c", Box: ip(i), Hall: "h", Listen: addr, Join: []string{"10.9.0.1:1"}},
		StagerBounds: settings.StagerBounds{VersionWithin: 8 * time.Second, Link: 7.3},
		Replica:      ip(i) + ":80", Service: "llm",
	}, Options{
		Replica: r.replica(),
		Origin: Origin{
			Manifest: func(_ context.Context, _, _ string, version uint64) (*weights.Manifest, error) {
				m := manifestOf(version)
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.manifests++; s.manifests == s.spoilManifest {
					m.Files[0].Chunks[3].Digest = weights.Digest([]byte("spoilt"))
				}
				return m, nil
			},
			Piece: func(_ context.Context, _, _ string, version uint64, n int) ([]byte, error) {
				if err := s.send(); err != nil {
					return nil, err
				}
				return pieceOf(version, n), nil
			},
		},
		Follow: &peers.Follower{},
		Dial:   func(ctx context.Context, to string) (net.Conn, error) { return s.net.Dial(ctx, addr, to) },
	})
	if err != nil {
		t.Fatal(err)
	}
	end := &simnet.End{Name: addr, Up: &simnet.Link{Rate: 9e5}, Down: &simnet.Link{Rate: down}, Serve: a.Server().One}
	s.net.Add(end)
	ctx, cancel := context.WithCancel(context.Background())
	var k kernel.Kernel
	k.Add("loader", nil, a.load)
	k.Add("status", &a.status, a.watchReplica)
	done := make(chan struct{})
	go func() {
		_ = k.Run(ctx)
		close(done)
	}()
	s.replicas, s.agents, s.ends = append(s.replicas, r), append(s.agents, a), append(s.ends, end)
	s.stops = append(s.stops, func() {
		cancel()
		a.Close()
		s.net.Remove(addr)
		<-done
	})
}

// assign tells every agent what a gateway would.
func (s *site) assign(at, version uint64, steps ...peers.Step) {
	a := &peers.Assignment{
		At: at, Model: "m", Version: version, Steps: steps, Origin: "origin:1", OriginRate: 9e5, Bytes: pieceCount * pieceBytes,
	}
	for i, r := range s.replicas {
		r.mu.Lock()
		a.Replicas = append(a.Replicas, peers.Replica{Addr: ip(i) + ":80", Hall: "h", Version: r.report.Version})
		r.mu.Unlock()
	}
	for _, ag := range s.agents {
		ag.now.set(a, "test")
	}
}

func withVersion(v uint64) *fakeReplica {
	r := &fakeReplica{report: Report{Model: "m", Version: v}, staged: map[int][]byte{}}
	for n := range pieceCount {
		if v > 0 {
			r.staged[n] = pieceOf(v, n)
		}
	}
	return r
}

func (s *site) holding() map[uint64]int {
	out := map[uint64]int{}
	for _, r := range s.replicas {
		r.mu.Lock()
		out[r.report.Version]++
		r.mu.Unlock()
	}
	return out
}

// A fresh replica is filled by the others alone; a new version leaves the origin
// about once and is everywhere before the older one's time is over, by one order
// for each replica; one that restarts is given its weights again; and no order is
// given while what is staged is not whole.
func TestBoxesBringVersionsToTheirReplicas(t *testing.T) {
	play(t, func(is *is.I, s *site) {
		for range 4 {
			s.add(t, withVersion(1))
		}
		s.assign(1, 1)
		time.Sleep(2 * time.Second)
		s.add(t, withVersion(0))
		s.assign(2, 1)
		time.Sleep(3 * time.Second)
		is.Equal(s.holding(), map[uint64]int{1: 5})
		is.Equal(s.fetched, 0) // Not a piece of what others hold.

		s.spoilManifest = s.manifests + 1
		s.assign(3, 2, peers.Step{Version: 2})
		time.Sleep(7500 * time.Millisecond)
		is.Equal(s.holding(), map[uint64]int{2: 5})
		is.True(s.fetched <= pieceCount+2)

		s.replicas[0].restart()
		time.Sleep(2 * time.Second)
		is.Equal(s.holding(), map[uint64]int{2: 5})
		for i, r := range s.replicas {
			is.Equal(r.spoilt, 0)
			want := []uint64{2}
			if i == 0 || i == 4 {
				want = map[int][]uint64{0: {2, 2}, 4: {1, 2}}[i]
			}
			is.Equal(r.orders, want)
		}
	})
}

// A box that starts before its replica fetches from the others meanwhile, and asks
// the origin for nothing: the replica may have it all.
func TestWeightsComeWhileTheReplicaStarts(t *testing.T) {
	play(t, func(is *is.I, s *site) {
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
		is.Equal(s.holding(), map[uint64]int{1: 4})
		is.Equal(s.fetched, 0)
	})
}

// A box's connection to its replica goes silent while pieces are staged, or read back: the
// call that lay on it gets no answer, and is given up and made anew. In a run of joined
// gateways and agents 7 of 9 loaders hung in such a call for ever, and five replicas kept a
// version of which three newer ones were named.
func TestSilentReplicaIsAskedAgain(t *testing.T) {
	for name, hangs := range map[string]int{"while staging": 1, "twice while staging": 2} {
		t.Run(name, func(t *testing.T) {
			play(t, func(is *is.I, s *site) {
				r := withVersion(1)
				s.add(t, r)
				s.assign(1, 1)
				time.Sleep(2 * time.Second)
				r.mu.Lock()
				r.hangs = hangs
				r.mu.Unlock()
				s.assign(2, 2, peers.Step{Version: 2})
				time.Sleep(7500 * time.Millisecond)
				is.Equal(s.holding(), map[uint64]int{2: 1})
			})
		})
	}
	t.Run("while reading back", func(t *testing.T) {
		play(t, func(is *is.I, s *site) {
			r := withVersion(1)
			r.restart()
			r.hangs = 2
			s.add(t, r)
			s.assign(1, 1)
			time.Sleep(6 * time.Second)
			is.Equal(s.holding(), map[uint64]int{1: 1})
		})
	})
}

// What lies staged is not fetched again from the origin, though the replica that has
// it answers only a while after the box has started.
func TestStagedPiecesAreNotFetchedAgain(t *testing.T) {
	play(t, func(is *is.I, s *site) {
		r := withVersion(1)
		r.restart()
		r.upAt = time.Now().Add(1500 * time.Millisecond)
		s.add(t, r)
		s.assign(1, 1)
		time.Sleep(3 * time.Second)
		is.Equal(s.holding(), map[uint64]int{1: 1})
		is.Equal(s.fetched, 0)
		is.Equal(r.puts, 0) // Nor is it staged again.
	})
}

// An older assignment, from a gateway that is behind, changes nothing.
func TestOlderAssignmentIsIgnored(t *testing.T) {
	is := is.New(t)
	var a assignments
	a.set(&peers.Assignment{At: 5, Model: "m", Version: 3}, "a")
	a.set(&peers.Assignment{At: 4, Model: "m", Version: 4}, "b")
	a.set(&peers.Assignment{At: 6, Model: "m", Version: 2}, "c")
	now, _, _ := a.watch()
	is.Equal(now.Version, uint64(3))
}
