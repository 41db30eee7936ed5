package soak

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/poststand/poststand/cmd/poststand/cmd"
	"github.com/poststand/poststand/internal/telemetry"
)

// runAsPoststand is set in the environment of processes that this test binary starts from
// itself: they run the command line of poststand.
const runAsPoststand = "POSTSTAND_SOAK_COMMAND"

// descriptorLimit is set in the environment of a process to the number of descriptors that it
// may have open; 0 for as many as the test has.
const descriptorLimit = "POSTSTAND_SOAK_DESCRIPTORS"

// binary returns the program to run: another build if POSTSTAND_BINARY names one, or else this
// one.
func binary() string {
	if b := os.Getenv("POSTSTAND_BINARY"); b != "" {
		return b
	}
	return os.Args[0]
}

func limitDescriptors() {
	n, err := strconv.ParseUint(os.Getenv(descriptorLimit), 10, 64)
	if err != nil || n == 0 {
		return
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		fmt.Fprintln(os.Stderr, "descriptors not limited:", err)
	}
}

func TestMain(m *testing.M) {
	if settings := os.Getenv(runAsReplica); settings != "" {
		runReplica(settings)
		return
	}
	if os.Getenv(runAsPoststand) != "" {
		limitDescriptors()
		os.Exit(cmd.Main())
	}
	telemetry.Discard()
	os.Exit(m.Run())
}

// process is one process of the system. It may be started again after it has ended.
type process struct {
	t    *testing.T
	name string
	args []string
	log  lockedBuffer // Output since it was last started.
	// descriptors limits how many descriptors it may have open; 0 for no limit of its own.
	descriptors int
	binary      string // Program to run; binary() if empty.
	env         string // A variable in addition to those of the test.

	mu     sync.Mutex
	cmd    *exec.Cmd
	output *os.File      // The reading end of its standard output.
	done   chan struct{} // Closed when the process has ended.
	err    error         // How it ended; set before done is closed.
}

// lockedBuffer is a buffer that may be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.b.Reset()
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// newProcess returns a process that runs a subcommand with the given settings.
func newProcess(t *testing.T, dir, name, subcommand, settings string) *process {
	file := filepath.Join(dir, name+".yaml")
	const mode = 0o600
	if err := os.WriteFile(file, []byte(settings), mode); err != nil {
		t.Fatal(err)
	}
	return &process{t: t, name: name, args: []string{subcommand, "--settings", file}}
}

// start starts the process. Its output goes to its log.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.reset()
	program := p.binary
	if program == "" {
		program = binary()
	}
	p.cmd = exec.Command(program, p.args...)
	p.cmd.Env = append(os.Environ(), runAsPoststand+"=1", fmt.Sprintf("%s=%d", descriptorLimit, p.descriptors))
	if p.env != "" {
		p.cmd.Env = append(p.cmd.Env, p.env)
	}
	r, out, err := os.Pipe()
	if err != nil {
		p.t.Error(err)
		return
	}
	p.cmd.Stdout, p.cmd.Stderr = out, &p.log
	if err := p.cmd.Start(); err != nil {
		p.t.Error(err)
		return
	}
	_ = out.Close()
	p.output = r
	go func() { _, _ = io.Copy(&p.log, r) }()
	done := make(chan struct{})
	p.done = done
	go func(c *exec.Cmd) {
		err := c.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}(p.cmd)
}

// pid returns the ID of the process, which must have been started.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// buildBinary builds poststand without the race detector, which takes several times the memory, and
// returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "poststand")
	out, err := exec.Command("go", "build", "-o", path, "github.com/poststand/poststand/cmd/poststand").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// closeLog closes the reading end of the log, as when its reader ends.
func (p *process) closeLog() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.output.Close()
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// wait waits until the process has ended and returns how.
func (p *process) wait() error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return nil
	}
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	_ = p.wait()
}

// stop ends the process as the platform does, and kills it if it is not gone after grace.
func (p *process) stop(grace time.Duration) error {
	p.signal(syscall.SIGTERM)
	killer := time.AfterFunc(grace, func() { p.signal(syscall.SIGKILL) })
	defer killer.Stop()
	return p.wait()
}

// neverRan reports whether the process has logged nothing: a signal that comes before it handles
// signals ends it, and it has nothing to cut off.
func (p *process) neverRan() bool { return p.log.String() == "" }

// lines returns the lines of the log that contain all of the given texts.
func (p *process) lines(texts ...string) (out []string) {
	for _, line := range strings.Split(p.log.String(), "\n") {
		found := true
		for _, text := range texts {
			found = found && strings.Contains(line, text)
		}
		if found {
			out = append(out, line)
		}
	}
	return out
}

// nextAddress numbers the addresses of this test process.
var nextAddress atomic.Uint32

// awaitLine waits until the log has a line that contains text.
func (p *process) awaitLine(text string) {
	p.t.Helper()
	const timeout, poll = 30 * time.Second, 10 * time.Millisecond
	for deadline := time.Now().Add(timeout); len(p.lines(text)) == 0; time.Sleep(poll) {
		if p.ended() || time.Now().After(deadline) {
			p.t.Fatalf("%s has no line %s; ended: %v; log: %s", p.name, text, p.ended(), p.log.String())
		}
	}
}

// loopback returns an IP address that nothing else in this test process uses, and hardly any other test
// process: the addresses of two whose IDs differ by a multiple of 1,024 are the same.
func loopback() string {
	const block, parts, hosts = 64, 16, 250
	n, pid := nextAddress.Add(1), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", block+pid%block, pid/block%parts*parts+int(n/hosts), 1+n%hosts)
}
