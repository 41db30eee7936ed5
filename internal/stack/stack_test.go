package stack

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"k8s.io/klog/v2"

	"github.com/poststand/poststand/internal/load"
	"github.com/poststand/poststand/internal/standin"
)

func TestMain(m *testing.M) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("logtostderr", "false")
	klog.SetOutput(io.Discard)
	m.Run()
}

// bubble runs a test on a started deployment in virtual time.
func bubble(t *testing.T, s *Stack, fn func(t *testing.T, s *Stack)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		defer s.Stop()
		if err := s.Ready("v1"); err != nil {
			t.Fatal(err)
		}
		fn(t, s)
	})
}

// limits makes keys and deadlines short, so that runs are.
const limits = "limits: {deadline: 5s, max_deadline: 5s, key_window: 18s}\nweights: {window: 400ms}\n"

// runner returns a load on all gateways and ledgers.
func (s *Stack) runner(rate float64, over time.Duration) *load.Run {
	r := &load.Run{
		Services: []string{"chat", "chat:" + adapter}, Plains: []string{"plain"}, Rate: rate, For: over, Timeout: 5 * time.Second,
		Tokens: 12, Mix: load.Mix{Whole: 3, Stream: 3, Plain: 1, Unsafe: 2, Keyed: 2}, Seed: 1, Client: s.Client(),
	}
	for name, b := range s.Boxes {
		if b.Class == "gateway" {
			r.Gateways = append(r.Gateways, "http://"+name+":80")
		} else {
			r.Ledgers = append(r.Ledgers, "http://"+name+":7200")
		}
	}
	return r
}

func noPromiseBroken(t *testing.T, sum *load.Summary) {
	t.Helper()
	if sum.Wrong+sum.Lost+sum.Doubled+sum.FalseNotRun > 0 {
		t.Fatalf("a promise was broken: %+v", *sum)
	}
}

func TestWholePathWithoutFaults(t *testing.T) {
	bubble(t, &Stack{Halls: 3, Gateways: 2, Engines: 2, Plains: 1, Config: limits}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		time.Sleep(20 * time.Second) // Homes of keys have settled.
		sum, err := s.runner(100, 5*time.Second).Do(t.Context())
		is.NoErr(err)
		noPromiseBroken(t, sum)
		is.Equal(sum.Answers, sum.Sent)
	})
}

// Versions change under load, there and back, and every answer is one
// version's; engines that do not check orders are guarded by their agents.
func TestSwapUnderLoadMixesNothing(t *testing.T) {
	bubble(t, &Stack{Halls: 2, Gateways: 1, Engines: 3, Plains: 1, Config: limits}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		go func() {
			for i := range 6 {
				time.Sleep(1500 * time.Millisecond)
				s.Apply([]string{"v2", "v1"}[i%2])
			}
		}()
		sum, err := s.runner(100, 10*time.Second).Do(t.Context())
		is.NoErr(err)
		noPromiseBroken(t, sum)
		is.Equal(len(sum.Versions), 2) // Both versions answered.
		is.Equal(sum.Unknown, 0)       // A planned change cuts off nothing.
	})
}

// cutter closes a connection from a box after it has sent some bytes.
type cutter struct {
	net.Conn
	left *atomic.Int64
}

func (c *cutter) Write(b []byte) (int, error) {
	left := c.left.Add(-int64(len(b)))
	if left >= 0 || left < -int64(len(b)) {
		return c.Conn.Write(b)
	}
	_, _ = c.Conn.Write(b[:int64(len(b))+left])
	_ = c.Conn.Close()
	return 0, net.ErrClosed
}

// An answer's connection is cut after each of its bytes in turn, on the agent's
// side and on the gateway's. The caller gets the whole answer all the same: the
// gateway asks what became of the request and attaches to the rest.
func TestCutAtEveryByteOfAnAnswer(t *testing.T) {
	var left atomic.Int64
	for _, side := range []string{"h0-engine0", "h0-gateway0"} {
		t.Run(side, func(t *testing.T) {
			s := &Stack{Gateways: 1, Engines: 1, Config: limits}
			s.WrapConn = func(nc net.Conn, from, _ string) net.Conn {
				if from != side {
					return nc
				}
				return &cutter{nc, &left}
			}
			left.Store(1 << 40)
			bubble(t, s, func(t *testing.T, s *Stack) {
				is := is.New(t)
				most := int64(700)
				if side == "h0-gateway0" {
					most = 400
				}
				for at := int64(0); at < most; at += 7 {
					left.Store(at)
					r := s.runner(1, time.Millisecond)
					r.Mix, r.Tokens, r.Seed = load.Mix{Stream: 1}, 4, uint64(1000+at)
					sum, err := r.Do(t.Context())
					is.NoErr(err)
					noPromiseBroken(t, sum)
					is.Equal(fmt.Sprint(at, sum.Answers), fmt.Sprint(at, sum.Sent))
					left.Store(1 << 40)
					time.Sleep(6 * time.Second)
				}
			})
		})
	}
}

// A box that is to leave gets no new work within the bound of 2 s, by each way
// of knowing: the fleet list, its own announcement, its death.
func TestLeavingBoxGetsNoNewWork(t *testing.T) {
	ways := map[string]func(s *Stack){
		"fleet list": func(s *Stack) {
			b := s.Boxes["h0-engine0"]
			b.Leaving = true
			next := maps.Clone(s.Boxes)
			next[b.Name] = b
			s.Platform.SetFleet(next)
		},
		"announcement": func(s *Stack) { go s.Agent("h0-engine0").Drain(time.Now().Add(time.Minute)) },
		"death":        func(s *Stack) { s.Net.Remove("h0-engine0") },
		"freeze":       func(s *Stack) { s.Freeze("h0-engine0", true) },
	}
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			bubble(t, &Stack{Gateways: 2, Engines: 3, Plains: 1, Config: limits}, func(t *testing.T, s *Stack) {
				is := is.New(t)
				var wg sync.WaitGroup
				wg.Go(func() {
					r := s.runner(200, 8*time.Second)
					r.Mix = load.Mix{Whole: 1, Stream: 1}
					sum, err := r.Do(t.Context())
					is.NoErr(err)
					noPromiseBroken(t, sum)
				})
				time.Sleep(time.Second)
				before := len(s.Ledgers["h0-engine0"].Runs())
				is.True(before > 0)
				leave(s)
				time.Sleep(2 * time.Second)
				atBound := len(s.Ledgers["h0-engine0"].Runs())
				time.Sleep(3 * time.Second)
				is.Equal(len(s.Ledgers["h0-engine0"].Runs()), atBound)
				wg.Wait()
			})
		})
	}
}

// A planned stop under load cuts off nothing.
func TestDrainUnderLoadCutsOffNothing(t *testing.T) {
	slow := func(int) *standin.Engine {
		return &standin.Engine{FirstToken: 20 * time.Millisecond, PerToken: 80 * time.Millisecond, Batch: 64}
	}
	bubble(t, &Stack{Gateways: 2, Engines: 3, Plains: 2, Slots: 64, Queue: 64, Engine: slow, Config: limits}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		go func() {
			for _, name := range []string{"h0-engine0", "h0-plain0", "h0-engine1"} {
				time.Sleep(time.Second)
				s.Agent(name).Drain(time.Now().Add(time.Minute))
				s.Kill(name)
				time.Sleep(time.Second)
				_ = s.StartBox(name)
			}
		}()
		r := s.runner(150, 10*time.Second)
		r.Mix.Keyed = 0 // A key's home is refused while it is away.
		sum, err := r.Do(t.Context())
		is.NoErr(err)
		noPromiseBroken(t, sum)
		is.Equal(sum.Unknown, 0)
		is.Equal(sum.Answers, sum.Sent)
	})
}

// TestRandomFaultsOnTheWholePath kills, freezes, cuts, drains and swaps in any
// order under load, with engines' answers cut as well. Invariants of gate, view
// and queue are asserted in the program; here the callers and the ledgers are
// compared.
func TestRandomFaultsOnTheWholePath(t *testing.T) {
	for seed := range uint64(*longRuns) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &Stack{Halls: 2, Gateways: 2, Engines: 3, Plains: 2, Config: limits}
			rnd := rand.New(rand.NewPCG(seed, 8))
			var cut atomic.Int64
			s.Transport.Wrap = func(r *http.Request, body io.ReadCloser) io.ReadCloser {
				if strings.HasSuffix(r.URL.Path, "/completions") && strings.HasSuffix(r.URL.Host, ":7200") && cut.Add(1)%17 == 0 {
					return &shortBody{body, 300}
				}
				return body
			}
			bubble(t, s, func(t *testing.T, s *Stack) { randomFaults(t, s, rnd, seed) })
		})
	}
}

var longRuns = flag.Int("stack.runs", 4, "random runs of the whole path")

// shortBody ends an engine's answer early.
type shortBody struct {
	io.ReadCloser
	left int
}

func (b *shortBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

func randomFaults(t *testing.T, s *Stack, rnd *rand.Rand, seed uint64) {
	is := is.New(t)
	const over = 40 * time.Second
	var names []string
	for name := range s.Boxes {
		names = append(names, name)
	}
	stop := time.Now().Add(over - 10*time.Second)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for time.Now().Before(stop) {
			name := names[rnd.IntN(len(names))]
			pause := time.Duration(rnd.IntN(3000)) * time.Millisecond
			switch rnd.IntN(5) {
			case 0, 1:
				s.Kill(name)
				time.Sleep(pause)
				_ = s.StartBox(name)
			case 2:
				s.Freeze(name, true)
				time.Sleep(pause * 2)
				s.Freeze(name, false)
			case 3:
				s.Apply([]string{"v1", "v2"}[rnd.IntN(2)])
			case 4:
				other := names[rnd.IntN(len(names))]
				s.Net.Cut(name, other, true)
				time.Sleep(pause)
				s.Net.Cut(name, other, false)
			}
			time.Sleep(pause / 4)
		}
	}()
	r := s.runner(80, over)
	r.Seed, r.GatewaysDie = seed+10, true
	sum, err := r.Do(t.Context())
	is.NoErr(err)
	<-finished
	t.Logf("%+v", *sum)
	noPromiseBroken(t, sum)
	is.True(sum.Answers > sum.Sent/2)
}

// A version is withdrawn while its transfer is under way, wanted again, and then
// rolled back: the service answers throughout, and what a box still holds is
// loaded without a fetch.
func TestVersionChangedInMidTransfer(t *testing.T) {
	slow := strings.Replace(limits, "window: 400ms", "window: 16s", 1)
	const originLink = 8 << 10 // Eight seconds for a copy.
	bubble(t, &Stack{Halls: 2, Gateways: 1, Engines: 3, Plains: 1, Config: slow, OriginLink: originLink}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		done := make(chan *load.Summary)
		go func() {
			r := s.runner(50, 40*time.Second)
			r.Mix.Keyed = 0
			sum, err := r.Do(t.Context())
			is.NoErr(err)
			done <- sum
		}()
		before := s.Origin.Sent.Load()
		s.Apply("v2")
		time.Sleep(2 * time.Second) // Its chunks are on their way.
		is.True(s.Origin.Sent.Load() > before)
		is.True(!s.Agent("h0-engine0").Serves(s.Digests["v2"]))
		s.Apply("v1")
		time.Sleep(5 * time.Second)
		is.NoErr(s.Ready("v1"))
		s.Apply("v2")
		is.NoErr(s.Ready("v2"))
		fetched := s.Origin.Sent.Load()
		s.Apply("v1")
		is.NoErr(s.Ready("v1"))
		is.Equal(s.Origin.Sent.Load(), fetched) // The rollback fetched nothing.
		sum := <-done
		noPromiseBroken(t, sum)
		is.Equal(sum.Unknown, 0)
		is.Equal(len(sum.Versions), 2)
	})
}
