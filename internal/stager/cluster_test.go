package stager

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/weights"
)

// testCluster is a set of boxes with agents and fake replicas, and their origin.
type testCluster struct {
	net        *simnet.Network
	replicas   []*fakeReplica
	agents     []*Stager
	endpoints  []*simnet.End
	stops      []func()
	mu         sync.Mutex
	piecesSent int // Pieces that the origin has sent.
	// manifests counts the manifests that the origin has sent; the one with number
	// corruptManifest is corrupted on the way, 0 for none, and those up to wrongManifests are
	// wrong as wrong makes them.
	manifests, corruptManifest, wrongManifests int
	wrong                                      func(m *weights.Manifest)
	originRate                                 float64 // Pieces a second that the origin sends; 0 for no limit.
	originFreeAt                               time.Time
	originDown                                 bool // The origin is unreachable.
}

func (s *testCluster) setOriginDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.originDown = down
}

// send simulates sending one piece over the origin's link.
func (s *testCluster) send() error {
	s.mu.Lock()
	if s.originDown {
		s.mu.Unlock()
		return fault.New(fault.Unreachable, "origin")
	}
	if now := time.Now(); s.originFreeAt.Before(now) {
		s.originFreeAt = now
	}
	if s.originRate > 0 {
		s.originFreeAt = s.originFreeAt.Add(time.Duration(float64(time.Second) / s.originRate))
	}
	sent := s.originFreeAt
	s.mu.Unlock()
	time.Sleep(time.Until(sent))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.originDown {
		return fault.New(fault.Unreachable, "origin") // The piece is lost in transit.
	}
	s.piecesSent++
	return nil
}

// runCluster runs a test on a new cluster in virtual time.
func runCluster(t *testing.T, test func(is *is.I, s *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testCluster{net: &simnet.Network{Latency: func(string, string) time.Duration { return time.Millisecond }}}
		test(is.New(t), s)
		for _, stop := range s.stops {
			stop()
		}
		time.Sleep(time.Minute)
	})
}

func ip(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

func (s *testCluster) add(t *testing.T, r *fakeReplica) { s.addWithLink(t, r, 9e5) }

// addWithLink adds a box whose incoming link carries down bytes a second.
func (s *testCluster) addWithLink(t *testing.T, r *fakeReplica, down float64) {
	i := len(s.agents)
	s.replicas, s.agents, s.endpoints = append(s.replicas, r), append(s.agents, nil), append(s.endpoints, nil)
	s.stops = append(s.stops, nil)
	s.startAgent(t, i, down)
}

// restartAgent kills the agent of a box and starts it again, with no assignment.
func (s *testCluster) restartAgent(t *testing.T, i int) {
	s.stops[i]()
	s.startAgent(t, i, 9e5)
}

func (s *testCluster) startAgent(t *testing.T, i int, down float64) {
	addr := ip(i) + ":7"
	a, err := New(&settings.Stager{
		DirectCommon:     settings.DirectCommon{Cluster: "c", Box: ip(i), Hall: "h", Listen: addr, Join: []string{"10.9.0.1:1"}},
		StagerReloadable: settings.StagerReloadable{VersionWithin: 8 * time.Second, Link: 7.3},
		Replica:          ip(i) + ":80", Service: "llm",
	}, Options{
		Replica: s.replicas[i].calls(),
		Origin: Origin{
			Manifest: func(_ context.Context, _, _ string, version uint64) (*weights.Manifest, error) {
				m := manifestOf(version)
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.manifests++; s.manifests == s.corruptManifest {
					m.Files[0].Chunks[3].Digest = weights.Digest([]byte("spoilt"))
				}
				if s.manifests <= s.wrongManifests {
					s.wrong(m)
				}
				return m, nil
			},
			Piece: func(_ context.Context, _, _ string, version uint64, n, _ int) ([]byte, error) {
				if err := s.send(); err != nil {
					return nil, err
				}
				return pieceOf(version, n), nil
			},
		},
		Platform: &peers.Follower{},
		Dial:     func(ctx context.Context, to string) (net.Conn, error) { return s.net.Dial(ctx, addr, to) },
	})
	if err != nil {
		t.Fatal(err)
	}
	end := &simnet.End{Name: addr, Up: &simnet.Link{Rate: 9e5}, Down: &simnet.Link{Rate: down}, Serve: a.Server().ServeConn}
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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agents[i], s.endpoints[i] = a, end
	s.stops[i] = func() {
		cancel()
		a.Close()
		s.net.Remove(addr)
		<-done
	}
}

// assign gives every agent an assignment as a gateway would.
func (s *testCluster) assign(at mirror.Position, version uint64, steps ...peers.Step) {
	a := &peers.Assignment{
		At: at, Model: "m", Version: version, Steps: steps, Origin: "origin:1", OriginRate: 9e5, VersionBytes: pieceCount * pieceBytes,
	}
	for i, r := range s.replicas {
		r.mu.Lock()
		a.Replicas = append(a.Replicas, peers.Replica{Addr: ip(i) + ":80", Hall: "h", Version: r.report.Version})
		r.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ag := range s.agents {
		ag.assignments.set(a, "test")
	}
}

func (s *testCluster) versionCounts() map[uint64]int {
	out := map[uint64]int{}
	for _, r := range s.replicas {
		r.mu.Lock()
		out[r.report.Version]++
		r.mu.Unlock()
	}
	return out
}
