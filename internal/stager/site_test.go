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
	s.replicas, s.agents, s.ends = append(s.replicas, r), append(s.agents, a), append(s.ends, end)
	s.stops = append(s.stops, func() {
		cancel()
		a.Close()
		s.net.Remove(addr)
		<-done
	})
}

// assign tells every agent what a gateway would.
func (s *site) assign(at mirror.Position, version uint64, steps ...peers.Step) {
	a := &peers.Assignment{
		At: at, Model: "m", Version: version, Steps: steps, Origin: "origin:1", OriginRate: 9e5, VersionBytes: pieceCount * pieceBytes,
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

func (s *site) holding() map[uint64]int {
	out := map[uint64]int{}
	for _, r := range s.replicas {
		r.mu.Lock()
		out[r.report.Version]++
		r.mu.Unlock()
	}
	return out
}
