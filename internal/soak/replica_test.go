package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// runAsReplica is set in the environment of processes that this test binary starts from itself to the
// settings of a replica: they serve it until they are killed.
const runAsReplica = "POSTSTAND_SOAK_REPLICA"

// replicaSettings are the settings of a replica process.
type replicaSettings struct {
	ID, Addr, Hall string
	Version        uint64 // Loaded and staged at the start; 0 for none.
	Weights        platformtest.Weights
	CallTime       time.Duration
	// Dir, if set, keeps the staged pieces when the process ends.
	Dir string
	// SpoilEvery, if set, is the mean time after which a staged piece turns bad.
	SpoilEvery time.Duration
}

// runReplica serves a replica. It writes a line when it starts, stages a piece or takes an order.
func runReplica(encoded string) {
	// The kernel hangs up a stopped process when the shell that started the test ends.
	signal.Ignore(syscall.SIGHUP)
	var s replicaSettings
	if err := json.Unmarshal([]byte(encoded), &s); err != nil {
		fmt.Println("settings:", err)
		os.Exit(1)
	}
	e := &platformtest.Engine{
		ID: s.ID, Addr: s.Addr, Hall: s.Hall, Slots: engineSlots, QueueLimit: engineQueue, Weights: s.Weights,
		LoadTime: 300 * time.Millisecond, CallTime: s.CallTime, Born: time.Now().UnixMilli(),
	}
	e.OnOrder = func(version uint64, wrong int) {
		fmt.Printf("order version=%d wrong=%d born=%d\n", version, wrong, e.Born)
	}
	e.OnStage = func(piece int, data []byte) {
		fmt.Printf("staged piece=%d\n", piece)
		s.keep(piece, data)
	}
	e.Start(s.Version)
	s.restore(e)
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		fmt.Println("listen:", err)
		os.Exit(1)
	}
	fmt.Printf("started born=%d\n", e.Born)
	go s.spoil(e)
	fmt.Println("serve:", http.Serve(ln, e))
}

// keep writes a staged piece to the directory.
func (s *replicaSettings) keep(piece int, data []byte) {
	if s.Dir == "" {
		return
	}
	const mode = 0o600
	name := filepath.Join(s.Dir, strconv.Itoa(piece))
	if err := os.WriteFile(name+".new", data, mode); err == nil {
		_ = os.Rename(name+".new", name)
	}
}

// restore stages the pieces that the directory has.
func (s *replicaSettings) restore(e *platformtest.Engine) {
	for n := range s.Weights.Pieces {
		if data, err := os.ReadFile(filepath.Join(s.Dir, strconv.Itoa(n))); s.Dir != "" && err == nil {
			e.Restore(n, data)
		}
	}
}

// spoil turns staged pieces bad.
func (s *replicaSettings) spoil(e *platformtest.Engine) {
	for s.SpoilEvery > 0 {
		time.Sleep(rand.N(2 * s.SpoilEvery))
		e.Spoil(rand.IntN(s.Weights.Pieces))
	}
}
