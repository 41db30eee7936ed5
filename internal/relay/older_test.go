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

// halfDozen is how many gateways an older one asks.
const halfDozen = 6

// older is a gateway of a build that knows no eras: it counts revisions alone, and says that it
// watches the store.
type older struct {
	mirror mirror.Mirror

	mu    sync.Mutex
	told  []mirror.Position // What it was told of, whatever it made of it.
	pulls int               // How often others asked it.
}

func (o *older) note(at ...mirror.Position) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.told = append(o.told, at...)
}

func (o *older) announce(addr string) *peers.Announcement {
	return &peers.Announcement{From: peers.Member{Name: addr, Addr: addr, Hall: leadingHall()}, At: o.mirror.At(), Watching: true}
}

// hears takes what a message tells.
func (o *older) hears(m any) {
	switch m := m.(type) {
	case *peers.Announcement:
		o.note(m.At)
		for _, d := range m.ChangeAges {
			o.note(d.Rev)
		}
	case *peers.Records:
		o.note(m.Delta.At, m.Delta.Base)
		for _, r := range m.Delta.Records {
			o.note(r.Rev)
			for _, e := range r.Earlier {
				o.note(e.Rev)
			}
		}
		o.mirror.Apply(m.Delta)
	}
}

// addOlderOne adds a gateway of an older build that has read the store.
func (w *world) addOlderOne(addr string) *older {
	o := &older{}
	w.store.OmitEra.Store(true)
	s := &platform.Store{Addr: "store:1", HTTP: &http.Client{Transport: &simnet.Transport{Find: func(string) http.Handler { return w.store }}}}
	d, err := s.Whole(context.Background())
	w.store.OmitEra.Store(false)
	if err != nil {
		w.t.Fatal(err)
	}
	o.mirror.Apply(d)
	var hs wire.Handlers
	wire.On(&hs, func(ctx context.Context, s *wire.Stream, m *peers.Announcement) {
		o.hears(m)
		_ = s.SendLast(ctx, o.announce(addr))
	})
	wire.On(&hs, func(_ context.Context, _ *wire.Stream, m *peers.Records) { o.hears(m) })
	wire.On(&hs, func(ctx context.Context, s *wire.Stream, m *peers.Pull) {
		o.mu.Lock()
		o.pulls++
		o.mu.Unlock()
		o.note(m.Since)
		d := o.mirror.Since(m.Since)
		_ = s.SendLast(ctx, &peers.Records{Delta: d, Ages: make([]time.Duration, len(d.Records))})
	})
	const every = 300 * time.Millisecond
	w.addOlderProcess(addr, leadingHall(), &hs, every, func(ctx context.Context, c *wire.Conn) { w.asOlder(ctx, c, o, addr) })
	return o
}

// addOlderProcess adds a gateway of a build that knows no messages by field names. It says
// something to each other gateway every so often.
func (w *world) addOlderProcess(addr, hall string, hs *wire.Handlers, every time.Duration, say func(ctx context.Context, c *wire.Conn)) {
	codec := wire.NewCodec(slices.DeleteFunc(slices.Clone(peers.Messages), func(e wire.Entry) bool { return e.ByName }))
	ctx, cancel := context.WithCancel(context.Background())
	pool := &wire.Pool{
		Local: wire.Hello{Cluster: "c", Box: addr, Hall: hall, Role: "gateway", Incarnation: 9}, Codec: codec, Handlers: hs, Lifetime: ctx,
		Options: wire.Options{PingInterval: time.Second, StallTimeout: 3 * time.Second},
		Dial:    func(ctx context.Context, to string) (net.Conn, error) { return w.net.Dial(ctx, addr, to) },
	}
	srv := &wire.Server{Local: pool.Local, Codec: codec, Handlers: hs, Options: pool.Options}
	w.net.Add(&simnet.End{Name: addr, Up: &simnet.Link{}, Down: &simnet.Link{}, Serve: srv.ServeConn})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ; ctx.Err() == nil; time.Sleep(every) {
			for i := range halfDozen {
				if c, err := pool.Get(ctx, gatewayAddr(i)); err == nil {
					say(ctx, c)
				}
			}
		}
	}()
	w.stops = append(w.stops, func() {
		cancel()
		w.net.Remove(addr)
		<-done
	})
}

// asOlder announces as an older gateway does, and asks for what it lacks.
func (w *world) asOlder(ctx context.Context, c *wire.Conn, o *older, addr string) {
	m, err := c.Call(ctx, o.announce(addr))
	if err != nil {
		return
	}
	o.hears(m)
	if a, ok := m.(*peers.Announcement); ok && a.At > o.mirror.At() {
		if m, err = c.Call(ctx, &peers.Pull{Since: o.mirror.At()}); err == nil {
			o.hears(m)
		}
	}
}

// leadingHall is the one of three halls whose gateway watches for all.
func leadingHall() string {
	return slices.MaxFunc([]string{"h1", "h2", "h3"}, func(a, b string) int {
		return cmp.Compare(rendezvous.Score("watch/hall", a), rendezvous.Score("watch/hall", b))
	})
}

// leadingAddr is one that watches before any of six gateways.
func leadingAddr() string {
	for i := 9; ; i++ {
		all := []string{fmt.Sprintf("10.0.9.%d:1", i)}
		for j := range halfDozen {
			all = append(all, gatewayAddr(j))
		}
		if rendezvous.First("watch", all) == all[0] {
			return all[0]
		}
	}
}

// withEra returns the positions that name an era.
func withEra(ps []mirror.Position) (out []mirror.Position) {
	for _, p := range ps {
		if p.Era() > 0 {
			out = append(out, p)
		}
	}
	return out
}

// A build that is told of a position with an era would watch the store from a number that it does
// not have, and read all records without end.
func TestOlderBuildIsToldRevisionsAlone(t *testing.T) {
	addr := leadingAddr()
	for _, drill := range []bool{false, true} {
		check := is.New(t)
		var o *older
		var got map[int]int
		var pages int
		var at, newest mirror.Position
		among(t, plain(3), func(w *world) {
			o = w.addOlderOne(addr)
			w.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 2})
			time.Sleep(time.Second)
			if drill {
				w.drill(func() { w.changes(4) })
			}
			time.Sleep(2 * time.Second)
			pages = w.store.PageReads()
			w.store.Put("op/config", withoutSafe(2))
			time.Sleep(2 * time.Second)
			pages = w.store.PageReads() - pages
			got = w.statuses("/safe/", nil)
			at, newest = o.mirror.At(), mirror.NewPosition(0, w.store.Revision())
		})
		check.True(len(o.told) > 0)
		check.Equal(withEra(o.told), nil)
		check.Equal(got, map[int]int{http.StatusNotFound: 6}) // Its word that it watches keeps nobody from doing so.
		check.Equal(pages, 0)
		check.Equal(o.pulls, 0)           // What it has cannot be placed in an era.
		check.True(drill || at == newest) // It hears of changes as before.
	}
}

// One that starts while the store is away knows what older gateways know, until the store tells.
func TestGatewayThatStartsAmongOlderOnes(t *testing.T) {
	check := is.New(t)
	var alone, later int
	run(t, 0, plain(3), func(_ *is.I, w *world) {
		const addr = "10.0.0.99:1"
		w.addOlderOne(addr)
		w.join = []string{addr}
		w.store.Refuse(http.StatusServiceUnavailable)
		w.addGateway(0, slowly(w.store))
		time.Sleep(3 * time.Second)
		alone = w.ask(0, "GET", "/safe/", nil).status
		w.store.Put("op/config", withoutSafe(2))
		w.store.Refuse(0)
		time.Sleep(3 * time.Second)
		later = w.ask(0, "GET", "/safe/", nil).status
	})
	check.Equal(alone, http.StatusOK)
	check.Equal(later, http.StatusNotFound)
}
