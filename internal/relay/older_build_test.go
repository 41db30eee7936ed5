package relay_test

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/simnet"
	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/platform"
	"github.com/poststand/poststand/platform/platformtest"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/wire"
)

// oldPeerTargets is the number of gateways that an old process contacts.
const oldPeerTargets = 6

// oldPeer is a fake gateway of a build without eras. Its positions are plain revisions, and it
// announces that it watches the store.
type oldPeer struct {
	mirror mirror.Mirror

	mu       sync.Mutex
	received []mirror.Position // All positions that it received.
	pulls    int               // Number of pulls by other gateways.
}

func (o *oldPeer) record(at ...mirror.Position) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.received = append(o.received, at...)
}

func (o *oldPeer) announce(addr string) *peers.Announcement {
	return &peers.Announcement{From: peers.Member{Name: addr, Addr: addr, Hall: watchingHall()}, At: o.mirror.At(), Watching: true}
}

// receive handles a message and records the positions in it.
func (o *oldPeer) receive(m any) {
	switch m := m.(type) {
	case *peers.Announcement:
		o.record(m.At)
		for _, d := range m.ChangeAges {
			o.record(d.Rev)
		}
	case *peers.Records:
		o.record(m.Delta.At, m.Delta.Base)
		for _, r := range m.Delta.Records {
			o.record(r.Rev)
			for _, e := range r.Earlier {
				o.record(e.Rev)
			}
		}
		o.mirror.Apply(m.Delta)
	}
}

// addOldPeer adds an oldPeer that has read the store.
func (cl *testCluster) addOldPeer(addr string) *oldPeer {
	o := &oldPeer{}
	cl.store.OmitEra.Store(true)
	s := &platform.Store{Addr: "store:1", HTTP: &http.Client{Transport: &simnet.Transport{Find: func(string) http.Handler { return cl.store }}}}
	d, err := s.ReadAll(context.Background())
	cl.store.OmitEra.Store(false)
	if err != nil {
		cl.t.Fatal(err)
	}
	o.mirror.Apply(d)
	var hs wire.Handlers
	wire.On(&hs, func(ctx context.Context, s *wire.Stream, m *peers.Announcement) {
		o.receive(m)
		_ = s.SendLast(ctx, o.announce(addr))
	})
	wire.On(&hs, func(_ context.Context, _ *wire.Stream, m *peers.Records) { o.receive(m) })
	wire.On(&hs, func(ctx context.Context, s *wire.Stream, m *peers.Pull) {
		o.mu.Lock()
		o.pulls++
		o.mu.Unlock()
		o.record(m.Since)
		d := o.mirror.Since(m.Since)
		_ = s.SendLast(ctx, &peers.Records{Delta: d, Ages: make([]time.Duration, len(d.Records))})
	})
	const interval = 300 * time.Millisecond
	cl.addOldProcess(addr, watchingHall(), &hs, interval, func(ctx context.Context, c *wire.Conn) { cl.gossipAsOldPeer(ctx, c, o, addr) })
	return o
}

// addOldProcess adds a gateway of a build without messages that are encoded by field name. It calls
// talk for each of the first gateways at an interval.
func (cl *testCluster) addOldProcess(addr, hall string, hs *wire.Handlers, interval time.Duration, talk func(ctx context.Context, c *wire.Conn)) {
	codec := wire.NewCodec(slices.DeleteFunc(slices.Clone(peers.Messages), func(e wire.Entry) bool { return e.ByName }))
	ctx, cancel := context.WithCancel(context.Background())
	pool := &wire.Pool{
		Local: wire.Hello{Cluster: "c", Box: addr, Hall: hall, Role: "gateway", Incarnation: 9}, Codec: codec, Handlers: hs, Lifetime: ctx,
		Options: wire.Options{PingInterval: time.Second, StallTimeout: 3 * time.Second},
		Dial:    func(ctx context.Context, to string) (net.Conn, error) { return cl.net.Dial(ctx, addr, to) },
	}
	srv := &wire.Server{Local: pool.Local, Codec: codec, Handlers: hs, Options: pool.Options}
	cl.net.Add(&simnet.End{Name: addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: srv.ServeConn})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ; ctx.Err() == nil; time.Sleep(interval) {
			for i := range oldPeerTargets {
				if c, err := pool.Get(ctx, gatewayAddr(i)); err == nil {
					talk(ctx, c)
				}
			}
		}
	}()
	cl.stops = append(cl.stops, func() {
		cancel()
		cl.net.Remove(addr)
		<-done
	})
}

// gossipAsOldPeer sends an announcement of the old peer, and pulls the records that it lacks.
func (cl *testCluster) gossipAsOldPeer(ctx context.Context, c *wire.Conn, o *oldPeer, addr string) {
	m, err := c.Call(ctx, o.announce(addr))
	if err != nil {
		return
	}
	o.receive(m)
	if a, ok := m.(*peers.Announcement); ok && a.At > o.mirror.At() {
		if m, err = c.Call(ctx, &peers.Pull{Since: o.mirror.At()}); err == nil {
			o.receive(m)
		}
	}
}

// watchingHall returns the one of three halls whose gateway watches the store for all.
func watchingHall() string {
	return slices.MaxFunc([]string{"h1", "h2", "h3"}, func(a, b string) int {
		return cmp.Compare(rendezvous.Score("watch/hall", a), rendezvous.Score("watch/hall", b))
	})
}

// watchingAddr returns an address that precedes those of six gateways in the order of watching.
func watchingAddr() string {
	for i := 9; ; i++ {
		all := []string{fmt.Sprintf("10.0.9.%d:1", i)}
		for j := range oldPeerTargets {
			all = append(all, gatewayAddr(j))
		}
		if rendezvous.First("watch", all) == all[0] {
			return all[0]
		}
	}
}

// withEra returns the positions that contain an era.
func withEra(ps []mirror.Position) (out []mirror.Position) {
	for _, p := range ps {
		if p.Era() > 0 {
			out = append(out, p)
		}
	}
	return out
}

// A build without eras would take a position with an era for a revision that the store doesn't
// have, and would read all records again and again. So it must receive plain revisions only.
func TestOlderBuildIsToldRevisionsAlone(t *testing.T) {
	addr := watchingAddr()
	for _, restored := range []bool{false, true} {
		check := is.New(t)
		var o *oldPeer
		var got map[int]int
		var pageReads int
		var at, newest mirror.Position
		runInHalls(t, plainReplicas(3), func(cl *testCluster) {
			o = cl.addOldPeer(addr)
			cl.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
			time.Sleep(time.Second)
			if restored {
				cl.restoreWithout(func() { cl.writeChanges(4) })
			}
			time.Sleep(2 * time.Second)
			pageReads = cl.store.PageReads()
			cl.store.Put("op/config", configWithoutSafe(2))
			time.Sleep(2 * time.Second)
			pageReads = cl.store.PageReads() - pageReads
			got = cl.countStatuses("/safe/", nil)
			at, newest = o.mirror.At(), mirror.NewPosition(0, cl.store.Revision())
		})
		check.True(len(o.received) > 0)
		check.Equal(withEra(o.received), nil)
		check.Equal(got, map[int]int{http.StatusNotFound: 6}) // Other gateways watch too, though it announces that it watches.
		check.Equal(pageReads, 0)
		check.Equal(o.pulls, 0)              // Its records can't be assigned to an era.
		check.True(restored || at == newest) // It still receives changes.
	}
}

// A gateway that starts while the store is unavailable uses the records of an older build until it
// can read the store.
func TestGatewayThatStartsAmongOlderBuilds(t *testing.T) {
	check := is.New(t)
	var duringOutage, afterOutage int
	runCluster(t, 0, plainReplicas(3), func(_ *is.I, cl *testCluster) {
		const addr = "10.0.0.99:1"
		cl.addOldPeer(addr)
		cl.join = []string{addr}
		cl.store.Refuse(http.StatusServiceUnavailable)
		cl.addGateway(0, withLatency(cl.store))
		time.Sleep(3 * time.Second)
		duringOutage = cl.send(0, "GET", "/safe/", nil).status
		cl.store.Put("op/config", configWithoutSafe(2))
		cl.store.Refuse(0)
		time.Sleep(3 * time.Second)
		afterOutage = cl.send(0, "GET", "/safe/", nil).status
	})
	check.Equal(duringOutage, http.StatusOK)
	check.Equal(afterOutage, http.StatusNotFound)
}
