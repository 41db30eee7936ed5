package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// A world is a small deployment on loopback: the platform's store, relays as processes of their own, and
// the stand-ins of a case. Its record is the text that a case writes.
type world struct {
	root  string // Of the repository.
	dir   string // Temporary.
	store *platformtest.Store
	addr  string // Of the store.
	began time.Time

	mu    sync.Mutex
	lines []line
	procs []*proc
	stops []func()
}

// errCannotRun is wrapped by errors that mean that the case could not be played.
var errCannotRun = errors.New("the case could not run")

func cannot(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errCannotRun, fmt.Sprintf(format, args...))
}

func newWorld(root string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, store: &platformtest.Store{}, began: time.Now()}
	w.addr, err = w.serve(w.store)
	return w, err
}

// line is a line of the record.
type line struct {
	at   time.Time
	text string
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.noteAt(time.Now(), fmt.Sprintf(format, args...))
}

func (w *world) noteAt(at time.Time, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, line{at, text})
}

// record returns the lines in order of their times, which count from the start of the case.
func (w *world) record() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortStableFunc(w.lines, func(a, b line) int { return a.at.Compare(b.at) })
	var out strings.Builder
	for _, l := range w.lines {
		fmt.Fprintf(&out, "%8.3f s  %s\n", l.at.Sub(w.began).Seconds(), l.text)
	}
	return out.String()
}

// close ends everything that the case started.
func (w *world) close() {
	for _, p := range w.procs {
		p.kill()
	}
	for _, stop := range slices.Backward(w.stops) {
		stop()
	}
	_ = os.RemoveAll(w.dir)
}

// freeAddr returns a loopback address with a free port.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// serve serves h at a free address.
func (w *world) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	w.stops = append(w.stops, func() { _ = srv.Close() })
	return ln.Addr().String(), nil
}

// proc is a process that the case started.
type proc struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *proc) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *proc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// start starts a process at the repository's root.
func (w *world) start(name string, env []string, argv ...string) (*proc, error) {
	log := filepath.Join(w.dir, name+".log")
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	c := exec.Command(argv[0], argv[1:]...)
	c.Dir, c.Stdout, c.Stderr, c.Env = w.root, f, f, append(os.Environ(), env...)
	if err := c.Start(); err != nil {
		return nil, cannot("%s: %v", argv[0], err)
	}
	p := &proc{name: name, cmd: c, log: log, done: make(chan struct{})}
	go func() {
		_ = c.Wait()
		close(p.done)
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.procs = append(w.procs, p)
	return p, nil
}

// role is a role of the deploy file.
type role struct{ run, template string }

var (
	roleLine = regexp.MustCompile(`^\[roles\.([a-z-]+)\]$`)
	wordLine = regexp.MustCompile(`^([a-z]+) = "([^"]*)"$`)
	gap      = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// readRole reads the command and the template of a role from the deploy file.
func (w *world) readRole(name string) (role, error) {
	b, err := os.ReadFile(filepath.Join(w.root, "deploy", "system.toml"))
	if err != nil {
		return role{}, cannot("%v", err)
	}
	var r role
	at := ""
	for _, line := range strings.Split(string(b), "\n") {
		if m := roleLine.FindStringSubmatch(line); m != nil {
			at = m[1]
		}
		if m := wordLine.FindStringSubmatch(line); m != nil && at == name {
			switch m[1] {
			case "run":
				r.run = m[2]
			case "template":
				r.template = m[2]
			}
		}
	}
	if r.run == "" || r.template == "" {
		return role{}, cannot("no role %s in the deploy file", name)
	}
	return r, nil
}

// startRole starts a role with its settings, its template filled as the platform does.
func (w *world) startRole(roleName, name string, fields map[string]any) (*proc, error) {
	r, err := w.readRole(roleName)
	if err != nil {
		return nil, err
	}
	tmpl, err := os.ReadFile(filepath.Join(w.root, r.template))
	if err != nil {
		return nil, cannot("%v", err)
	}
	unknown := ""
	text := gap.ReplaceAllStringFunc(string(tmpl), func(g string) string {
		key, asJSON := strings.CutSuffix(strings.Trim(g, "{}"), "|json")
		v, ok := fields[key]
		if !ok {
			unknown = key
		}
		if asJSON {
			b, _ := json.Marshal(v)
			return string(b)
		}
		return fmt.Sprint(v)
	})
	if unknown != "" {
		return nil, cannot("no value for %s in %s", unknown, r.template)
	}
	file := filepath.Join(w.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	argv := strings.Fields(r.run)
	argv[0] = filepath.Join(w.root, argv[0])
	return w.start(name, []string{"POSTSTAND_CONFIG=" + file}, argv...)
}

// bounds are those of the small deployment dalbit-prod, as far as the templates use them.
var bounds = map[string]any{
	"bounds.grace_s": 8, "bounds.drain_ms": 2000, "bounds.config_apply_ms": 2000, "bounds.version_ms": 8000,
	"bounds.retry_ratio": 0.2, "bounds.retry_window_s": 10, "bounds.retry_slack": 100,
}

// relay is an edge machine.
type relay struct {
	*proc
	front, ready, control string
}

// startRelay starts a relay and waits until it is ready.
func (w *world) startRelay(name, zone string) (*relay, error) {
	var addrs [4]string
	for i := range addrs {
		a, err := freeAddr()
		if err != nil {
			return nil, err
		}
		addrs[i] = a
	}
	ip, port, _ := net.SplitHostPort(addrs[3])
	fields := map[string]any{
		"node_name": name, "zone": zone, "ip": ip, "listen.control": addrs[0], "listen.front": addrs[1], "listen.ready": addrs[2],
		"port_range.0": port, "zones": map[string]string{"z1": "r1", "z2": "r2"}, "platform.addr": w.addr, "seeds": []string{addrs[0]},
	}
	for k, v := range bounds {
		fields[k] = v
	}
	p, err := w.startRole("gateway", name, fields)
	if err != nil {
		return nil, err
	}
	r := &relay{proc: p, front: addrs[1], ready: addrs[2], control: addrs[0]}
	return r, w.await(20*time.Second, name+" to be ready", func() bool {
		resp, err := http.Get("http://" + r.ready + "/-/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// await waits until cond holds.
func (w *world) await(timeout time.Duration, what string, cond func() bool) error {
	for deadline := time.Now().Add(timeout); !cond(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			return cannot("waited %s for %s", timeout, what)
		}
	}
	return nil
}

// logHas reports whether a process has logged a line with all of the texts.
func (p *proc) logHas(texts ...string) bool {
	b, _ := os.ReadFile(p.log)
	for _, line := range bytes.Split(b, []byte("\n")) {
		found := true
		for _, t := range texts {
			found = found && bytes.Contains(line, []byte(t))
		}
		if found {
			return true
		}
	}
	return false
}
