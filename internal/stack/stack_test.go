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

// runInBubble starts a deployment in a synctest bubble, in virtual time, and runs a test on it.
func runInBubble(t *testing.T, s *Stack, test func(t *testing.T, s *Stack)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		defer s.Stop()
		if err := s.WaitReady("v1"); err != nil {
			t.Fatal(err)
		}
		test(t, s)
	})
}

// shortLimits are configuration sections with short deadlines and key windows, to keep runs short.
const shortLimits = "limits: {deadline: 5s, max_deadline: 5s, key_window: 18s}\nweights: {window: 400ms}\n"

// newLoad returns a load on all gateways that checks the ledgers of all boxes.
func (s *Stack) newLoad(rate float64, duration time.Duration) *load.Run {
	r := &load.Run{
		Services: []string{"chat", "chat:" + adapter}, PlainServices: []string{"plain"}, Rate: rate, Duration: duration, Timeout: 5 * time.Second,
		Tokens: 12, Mix: load.Mix{Unstreamed: 3, Stream: 3, Plain: 1, Unsafe: 2, Keyed: 2}, Seed: 1, Client: s.Client(),
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

// requireNoViolations fails the test if an answer was wrong, lost or falsely reported as not run,
// or an unsafe request ran twice.
func requireNoViolations(t *testing.T, sum *load.Summary) {
	t.Helper()
	if sum.Wrong+sum.Lost+sum.Doubled+sum.FalseNotRun > 0 {
		t.Fatalf("a guarantee to callers was violated: %+v", *sum)
	}
}

func TestWholePathWithoutFaults(t *testing.T) {
	runInBubble(t, &Stack{Halls: 3, Gateways: 2, Engines: 2, PlainBoxes: 1, Config: shortLimits}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		time.Sleep(20 * time.Second) // Until the homes accept keys.
		sum, err := s.newLoad(100, 5*time.Second).Do(t.Context())
		is.NoErr(err)
		requireNoViolations(t, sum)
		is.Equal(sum.Answers, sum.Sent)
	})
}

// Versions change back and forth under load, and every answer is of one version. Agents ensure
// that also for engines that do not check orders.
func TestSwapUnderLoadMixesNothing(t *testing.T) {
	runInBubble(t, &Stack{Halls: 2, Gateways: 1, Engines: 3, PlainBoxes: 1, Config: shortLimits}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		go func() {
			for i := range 6 {
				time.Sleep(1500 * time.Millisecond)
				s.PublishVersion([]string{"v2", "v1"}[i%2])
			}
		}()
		sum, err := s.newLoad(100, 10*time.Second).Do(t.Context())
		is.NoErr(err)
		requireNoViolations(t, sum)
		is.Equal(len(sum.Versions), 2) // Both versions gave answers.
		is.Equal(sum.Unknown, 0)       // A planned change interrupts no request.
	})
}

// limitedConn is a connection that closes once its box has sent the remaining number of bytes.
type limitedConn struct {
	net.Conn
	remaining *atomic.Int64
}

func (c *limitedConn) Write(b []byte) (int, error) {
	remaining := c.remaining.Add(-int64(len(b)))
	if remaining >= 0 || remaining < -int64(len(b)) {
		return c.Conn.Write(b)
	}
	_, _ = c.Conn.Write(b[:int64(len(b))+remaining])
	_ = c.Conn.Close()
	return 0, net.ErrClosed
}

// The connection of an answer breaks after a number of bytes that grows in steps of 7, on the
// agent's side and on the gateway's. The caller still gets the complete answer: the gateway asks
// for the state of the request and attaches to the rest of the answer.
func TestCutAtEveryByteOfAnAnswer(t *testing.T) {
	var remaining atomic.Int64
	for _, side := range []string{"h0-engine0", "h0-gateway0"} {
		t.Run(side, func(t *testing.T) {
			s := &Stack{Gateways: 1, Engines: 1, Config: shortLimits}
			s.WrapConn = func(nc net.Conn, from, _ string) net.Conn {
				if from != side {
					return nc
				}
				return &limitedConn{nc, &remaining}
			}
			remaining.Store(1 << 40)
			runInBubble(t, s, func(t *testing.T, s *Stack) {
				is := is.New(t)
				limit := int64(700)
				if side == "h0-gateway0" {
					limit = 400
				}
				for at := int64(0); at < limit; at += 7 {
					remaining.Store(at)
					r := s.newLoad(1, time.Millisecond)
					r.Mix, r.Tokens, r.Seed = load.Mix{Stream: 1}, 4, uint64(1000+at)
					sum, err := r.Do(t.Context())
					is.NoErr(err)
					requireNoViolations(t, sum)
					is.Equal(fmt.Sprint(at, sum.Answers), fmt.Sprint(at, sum.Sent))
					remaining.Store(1 << 40)
					time.Sleep(6 * time.Second)
				}
			})
		})
	}
}

// A box that leaves gets no new requests after the bound of 2 s, however the gateways find out:
// from the fleet list, from its own announcement, or since it was killed or froze.
func TestLeavingBoxGetsNoNewWork(t *testing.T) {
	triggers := map[string]func(s *Stack){
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
	for name, leave := range triggers {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, &Stack{Gateways: 2, Engines: 3, PlainBoxes: 1, Config: shortLimits}, func(t *testing.T, s *Stack) {
				is := is.New(t)
				var wg sync.WaitGroup
				wg.Go(func() {
					r := s.newLoad(200, 8*time.Second)
					r.Mix = load.Mix{Unstreamed: 1, Stream: 1}
					sum, err := r.Do(t.Context())
					is.NoErr(err)
					requireNoViolations(t, sum)
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

// A planned stop under load interrupts no request.
func TestDrainUnderLoadCutsOffNothing(t *testing.T) {
	slow := func(int) *standin.Engine {
		return &standin.Engine{FirstToken: 20 * time.Millisecond, PerToken: 80 * time.Millisecond, Batch: 64}
	}
	runInBubble(t, &Stack{Gateways: 2, Engines: 3, PlainBoxes: 2, Slots: 64, Queue: 64, NewEngine: slow, Config: shortLimits}, func(t *testing.T, s *Stack) {
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
		r := s.newLoad(150, 10*time.Second)
		r.Mix.Keyed = 0 // Requests with keys are refused while the home of the key is down.
		sum, err := r.Do(t.Context())
		is.NoErr(err)
		requireNoViolations(t, sum)
		is.Equal(sum.Unknown, 0)
		is.Equal(sum.Answers, sum.Sent)
	})
}

// TestRandomFaultsOnTheWholePath kills and freezes boxes, cuts connections between boxes and
// swaps versions in random order under load, and truncates some of the engines' answers. The code
// itself asserts the invariants of gate, view and queue; the test compares the answers that
// callers received with the ledgers.
func TestRandomFaultsOnTheWholePath(t *testing.T) {
	for seed := range uint64(*randomRuns) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &Stack{Halls: 2, Gateways: 2, Engines: 3, PlainBoxes: 2, Config: shortLimits}
			rnd := rand.New(rand.NewPCG(seed, 8))
			var answers atomic.Int64
			s.Transport.Wrap = func(r *http.Request, body io.ReadCloser) io.ReadCloser {
				if strings.HasSuffix(r.URL.Path, "/completions") && strings.HasSuffix(r.URL.Host, ":7200") && answers.Add(1)%17 == 0 {
					return &truncatedBody{body, 300}
				}
				return body
			}
			runInBubble(t, s, func(t *testing.T, s *Stack) { randomFaults(t, s, rnd, seed) })
		})
	}
}

var randomRuns = flag.Int("stack.runs", 4, "number of seeds of TestRandomFaultsOnTheWholePath")

// truncatedBody is an engine's answer that breaks off after the remaining number of bytes.
type truncatedBody struct {
	io.ReadCloser
	remaining int
}

func (b *truncatedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

func randomFaults(t *testing.T, s *Stack, rnd *rand.Rand, seed uint64) {
	is := is.New(t)
	const duration = 40 * time.Second
	var names []string
	for name := range s.Boxes {
		names = append(names, name)
	}
	stop := time.Now().Add(duration - 10*time.Second)
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
				s.PublishVersion([]string{"v1", "v2"}[rnd.IntN(2)])
			case 4:
				other := names[rnd.IntN(len(names))]
				s.Net.Cut(name, other, true)
				time.Sleep(pause)
				s.Net.Cut(name, other, false)
			}
			time.Sleep(pause / 4)
		}
	}()
	r := s.newLoad(80, duration)
	r.Seed, r.GatewaysMayCrash = seed+10, true
	sum, err := r.Do(t.Context())
	is.NoErr(err)
	<-finished
	t.Logf("%+v", *sum)
	requireNoViolations(t, sum)
	is.True(sum.Answers > sum.Sent/2)
}

// A version is withdrawn during its transfer, published again, and then rolled back. The service
// answers throughout, and a version that a box still holds is loaded without fetching it again.
func TestVersionChangedInMidTransfer(t *testing.T) {
	slow := strings.Replace(shortLimits, "window: 400ms", "window: 16s", 1)
	const originLink = 8 << 10 // A copy takes eight seconds.
	runInBubble(t, &Stack{Halls: 2, Gateways: 1, Engines: 3, PlainBoxes: 1, Config: slow, OriginLink: originLink}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		done := make(chan *load.Summary)
		go func() {
			r := s.newLoad(50, 40*time.Second)
			r.Mix.Keyed = 0
			sum, err := r.Do(t.Context())
			is.NoErr(err)
			done <- sum
		}()
		before := s.Origin.Sent.Load()
		s.PublishVersion("v2")
		time.Sleep(2 * time.Second) // Its chunks are being transferred.
		is.True(s.Origin.Sent.Load() > before)
		is.True(!s.Agent("h0-engine0").Serves(s.Digests["v2"]))
		s.PublishVersion("v1")
		time.Sleep(5 * time.Second)
		is.NoErr(s.WaitReady("v1"))
		s.PublishVersion("v2")
		is.NoErr(s.WaitReady("v2"))
		fetched := s.Origin.Sent.Load()
		s.PublishVersion("v1")
		is.NoErr(s.WaitReady("v1"))
		is.Equal(s.Origin.Sent.Load(), fetched) // The rollback fetched nothing.
		sum := <-done
		requireNoViolations(t, sum)
		is.Equal(sum.Unknown, 0)
		is.Equal(len(sum.Versions), 2)
	})
}
