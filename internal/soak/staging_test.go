package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// Size of a soak of staging, and the times of its disturbances.
const (
	stagingBoxes     = 4
	stagingDisturbed = 3 // Boxes that are disturbed at once, at least.
	longestStop      = 9 * time.Second
	catchUpTime      = 30 * time.Second // Until all replicas have the last version: some times the 8 s that are allowed for one.
)

// stagingKind is what differs between soaks of staging.
type stagingKind struct {
	outlasts   bool // Staged pieces outlast the process of the replica.
	callTime   time.Duration
	spoilEvery time.Duration
}

// stagedBox is a box whose agent and replica, which has a staging area, are processes of their own.
type stagedBox struct {
	replica, agent *process
	settings       replicaSettings
	mu             sync.Mutex // Held while a disturbance acts on the box.
	ended          string     // Lines of the replica's processes that have ended.
}

// stagingSoak is a deployment whose versions follow each other while replicas and agents are
// stopped, started and killed amid staging.
type stagingSoak struct {
	*world
	origin  *platformtest.Origin
	boxes   []*stagedBox
	version uint64
	acts    atomic.Int64
}

func newStagingSoak(t *testing.T, kind stagingKind) *stagingSoak {
	s := &stagingSoak{world: newWorldWithAgents(t, 1, listenPort, soakConfig(1)), version: 1}
	s.origin = &platformtest.Origin{Weights: platformtest.Weights{Pieces: 24, PieceBytes: 16 << 10}}
	s.origin.Newest.Store(1)
	cfg := soakConfig(1)
	for _, svc := range cfg["services"].([]platformtest.Body) {
		if svc["origin"] != nil {
			svc["origin"] = s.serveHTTP(loopback(), s.origin)
		}
		if e, ok := svc["engine"].(platformtest.Body); ok {
			e["chunks"], e["chunk_bytes"], e["slots"] = s.origin.Weights.Pieces, s.origin.Weights.PieceBytes, engineSlots
		}
	}
	s.store.Put("op/config", cfg)
	s.store.Put("op/version/m", platformtest.Body{"model": "m", "version": 1})
	for i := range stagingBoxes {
		s.addBox(i, kind)
	}
	s.awaitReady()
	return s
}

func (s *stagingSoak) addBox(i int, kind stagingKind) {
	ip := loopback()
	b := &stagedBox{settings: replicaSettings{
		ID: fmt.Sprintf("e%d", i), Addr: fmt.Sprintf("%s:%d", ip, servicePort), Hall: fmt.Sprintf("h%d", 1+i%3), Version: 1,
		Weights: s.origin.Weights, CallTime: kind.callTime, SpoilEvery: kind.spoilEvery,
	}}
	if kind.outlasts {
		b.settings.Dir = filepath.Join(s.dir, b.settings.ID)
		if err := os.Mkdir(b.settings.Dir, 0o700); err != nil {
			s.t.Fatal(err)
		}
	}
	b.replica = &process{t: s.t, name: b.settings.ID, binary: os.Args[0]}
	b.agent = s.newAgent(i, b.settings.Hall, ip, b.settings.Addr)
	s.boxes = append(s.boxes, b)
	s.startReplica(b)
	b.agent.start()
	s.replicas = append(s.replicas, b.settings.ID)
	s.stops = append(s.stops, b.replica.kill, b.agent.kill)
}

// startReplica starts the process of a replica and lists it. A later one has loaded no version.
func (s *stagingSoak) startReplica(b *stagedBox) {
	settings, err := json.Marshal(b.settings)
	if err != nil {
		s.t.Error(err)
		return
	}
	b.replica.env = runAsReplica + "=" + string(settings)
	b.replica.start()
	b.replica.awaitLine("started born=")
	var born int64
	_, _ = fmt.Sscanf(b.replica.lines("started born=")[0], "started born=%d", &born)
	e := &platformtest.Engine{ID: b.settings.ID, Addr: b.settings.Addr, Hall: b.settings.Hall, Slots: engineSlots, Born: born}
	s.store.Put("servers/"+e.ID, e.Record())
	b.settings.Version = 0
}

// restartReplica kills the replica and starts it again at its address, under its ID.
func (s *stagingSoak) restartReplica(b *stagedBox, pause time.Duration) {
	b.replica.kill()
	b.ended += b.replica.log.String()
	time.Sleep(pause)
	s.startReplica(b)
}

// nameVersion names the next version.
func (s *stagingSoak) nameVersion() {
	s.version++
	s.origin.Newest.Store(s.version)
	s.store.Put("op/version/m", platformtest.Body{"model": "m", "version": s.version})
}

// awaitStaging waits until the replica has staged another piece, for at most a time.
func (b *stagedBox) awaitStaging(most time.Duration) {
	const poll = time.Millisecond
	count := func() int { return strings.Count(b.replica.log.String(), "staged piece=") }
	before := count()
	for deadline := time.Now().Add(most); count() == before && time.Now().Before(deadline); {
		time.Sleep(poll)
	}
}

// disturb waits until a box stages, and stops, starts or kills its processes.
func (s *stagingSoak) disturb(r *rand.Rand) {
	b := s.boxes[r.IntN(len(s.boxes))]
	b.mu.Lock()
	defer b.mu.Unlock()
	s.acts.Add(1)
	b.awaitStaging(3 * time.Second)
	if r.IntN(2) == 0 {
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
	stop := time.Second + time.Duration(r.Int64N(int64(longestStop-time.Second)))
	pause := time.Duration(r.IntN(400)) * time.Millisecond
	switch r.IntN(7) {
	case 0, 1:
		b.replica.signal(syscall.SIGSTOP)
		time.Sleep(stop)
		b.replica.signal(syscall.SIGCONT)
	case 2:
		s.restartReplica(b, pause)
	case 3:
		b.agent.signal(syscall.SIGSTOP)
		time.Sleep(stop)
		b.agent.signal(syscall.SIGCONT)
	case 4:
		b.agent.signal(syscall.SIGSTOP)
		time.Sleep(pause) // The call in hand may be answered.
		s.restartReplica(b, pause)
		b.agent.signal(syscall.SIGCONT)
	case 5:
		b.restartAgent(r.IntN(2) == 0, pause)
	case 6:
		b.replica.signal(syscall.SIGSTOP)
		time.Sleep(stop / 3)
		b.restartAgent(false, pause)
		time.Sleep(stop / 3)
		b.replica.signal(syscall.SIGCONT)
	}
}

// restartAgent ends the agent, as the platform does or at once, and starts it again.
func (b *stagedBox) restartAgent(term bool, pause time.Duration) {
	if term {
		_ = b.agent.stop(grace)
	} else {
		b.agent.kill()
	}
	time.Sleep(pause)
	b.agent.start()
}

// play names a version every few seconds while boxes are disturbed, and checks every order.
func (s *stagingSoak) play(seed uint64, duration time.Duration) {
	const minPause, spread = 1000, 4000 // Milliseconds between versions.
	end := time.Now().Add(duration)
	var work sync.WaitGroup
	for n := range stagingDisturbed {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		work.Go(func() {
			for time.Now().Before(end) {
				s.disturb(r)
			}
		})
	}
	for r := rand.New(rand.NewPCG(seed, stagingDisturbed)); time.Now().Before(end); {
		s.nameVersion()
		time.Sleep(time.Duration(minPause+r.IntN(spread)) * time.Millisecond)
	}
	work.Wait()
	s.nameVersion()
	for _, b := range s.boxes {
		s.awaitVersion(b)
	}
	orders, wrong := 0, 0
	for _, b := range s.boxes {
		for _, line := range strings.Split(b.ended+b.replica.log.String(), "\n") {
			var version, pieces int
			if n, _ := fmt.Sscanf(line, "order version=%d wrong=%d", &version, &pieces); n < 2 {
				continue
			}
			orders++
			if pieces > 0 {
				wrong++
				s.t.Errorf("WHOLE: %s: %s", b.settings.ID, line)
			}
		}
	}
	s.t.Logf("%d versions, %d disturbances, %d orders, %d with wrong pieces", s.version, s.acts.Load(), orders, wrong)
	if orders == 0 {
		s.t.Error("no order was taken")
	}
}

// state tells how the process has ended, if it has, and what it has written.
func (p *process) state() string {
	if p.ended() {
		return fmt.Sprintf("ended: %v: %s", p.wait(), p.log.String())
	}
	return p.log.String()
}

// awaitVersion waits until a replica has taken an order for the last version.
func (s *stagingSoak) awaitVersion(b *stagedBox) {
	const poll = 50 * time.Millisecond
	want := fmt.Sprintf("order version=%d ", s.version)
	for deadline := time.Now().Add(catchUpTime); len(b.replica.lines(want)) == 0; time.Sleep(poll) {
		if time.Now().After(deadline) {
			s.t.Errorf("%s has not been ordered to load version %d: agent: %s\nreplica: %s", b.settings.ID, s.version, b.agent.state(), b.replica.state())
			return
		}
	}
}

// Replicas loaded pieces that were missing or of another version when processes stopped or started again amid staging.
func TestEveryOrderFindsItsPieces(t *testing.T) {
	kinds := map[string]stagingKind{
		"staged pieces are lost":   {callTime: 20 * time.Millisecond},
		"staged pieces outlast it": {callTime: 20 * time.Millisecond, outlasts: true},
		"staged pieces turn bad":   {callTime: 60 * time.Millisecond, spoilEvery: time.Second},
	}
	from, to, duration := uint64(1), uint64(1), 15*time.Second
	if seeds := os.Getenv("POSTSTAND_SEEDS"); seeds != "" {
		if _, err := fmt.Sscanf(seeds, "%d-%d", &from, &to); err != nil {
			t.Fatal(err)
		}
		duration = time.Minute
	}
	for name, kind := range kinds {
		for seed := from; seed <= to; seed++ {
			t.Run(name+"/"+strconv.FormatUint(seed, 10), func(t *testing.T) { newStagingSoak(t, kind).play(seed, duration) })
		}
	}
}
