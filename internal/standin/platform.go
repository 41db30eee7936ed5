package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/feed"
)

// Mode selects the simulated faults of the platform.
type Mode struct {
	Down  bool `json:"down"`  // Every call fails.
	Stale bool `json:"stale"` // Reads return the state from when the mode was set.
}

// Platform is a stand-in for the platform's service. The zero value is ready for use.
type Platform struct {
	CallsPerSecond float64       // Rate limit over all readers; 2000 by default.
	FleetLag       time.Duration // Delay until changes of the fleet list become visible.

	once    sync.Once
	limit   *rate.Limiter
	Calls   atomic.Int64 // All calls; a long poll counts as one.
	Refused atomic.Int64

	mu      sync.Mutex
	mode    Mode
	head    feed.PlatformHead
	fleet   feed.PlatformFleet
	stale   *snapshot
	docs    map[string][]byte
	changed chan struct{}
}

type snapshot struct {
	head  feed.PlatformHead
	fleet feed.PlatformFleet
}

func (p *Platform) init() {
	p.once.Do(func() {
		if p.CallsPerSecond == 0 {
			p.CallsPerSecond = 2000
		}
		p.limit = rate.NewLimiter(rate.Limit(p.CallsPerSecond), int(p.CallsPerSecond))
		p.docs = map[string][]byte{}
		p.changed = make(chan struct{})
	})
}

// Publish replaces the configuration documents and returns their revision.
func (p *Platform) Publish(docs map[string][]byte) uint64 {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.head = feed.PlatformHead{Revision: p.head.Revision + 1, Docs: p.storeDocs(docs)}
	p.notifyWatchers()
	return p.head.Revision
}

// storeDocs stores documents by digest and returns the digests by name. The caller must
// hold p.mu.
func (p *Platform) storeDocs(docs map[string][]byte) map[string]string {
	digests := map[string]string{}
	for name, data := range docs {
		d := config.DocumentDigest(data)
		digests[name], p.docs[d] = d, data
	}
	return digests
}

// SetFleet replaces the fleet list; the change becomes visible after FleetLag.
func (p *Platform) SetFleet(boxes map[string]fleet.Box) {
	p.init()
	set := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.fleet = feed.PlatformFleet{Version: p.fleet.Version + 1, Boxes: boxes}
		p.notifyWatchers()
	}
	if p.FleetLag == 0 {
		set()
		return
	}
	time.AfterFunc(p.FleetLag, set)
}

// SetMode sets the simulated faults.
func (p *Platform) SetMode(m Mode) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Stale && p.stale == nil {
		p.stale = &snapshot{p.head, p.fleet}
	}
	if !m.Stale {
		p.stale = nil
	}
	p.mode = m
	p.notifyWatchers()
}

// SetStale makes reads return the given older revision until a mode without Stale is set.
func (p *Platform) SetStale(revision uint64, docs map[string][]byte) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode.Stale = true
	p.stale = &snapshot{feed.PlatformHead{Revision: revision, Docs: p.storeDocs(docs)}, p.fleet}
	p.notifyWatchers()
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) read() (snapshot, Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale != nil {
		return *p.stale, p.mode, p.changed
	}
	return snapshot{p.head, p.fleet}, p.mode, p.changed
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.init()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", p.rateLimited(p.serveConfig))
	mux.HandleFunc("GET /v1/fleet", p.rateLimited(p.serveFleet))
	mux.HandleFunc("GET /v1/docs/{digest}", p.rateLimited(p.serveDoc))
	mux.HandleFunc("POST /control/publish", p.controlPublish)
	mux.HandleFunc("POST /control/fleet", p.controlFleet)
	mux.HandleFunc("POST /control/mode", p.controlMode)
	mux.HandleFunc("GET /control/stats", p.controlStats)
	mux.ServeHTTP(w, r)
}

func (p *Platform) rateLimited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.Calls.Add(1)
		if _, mode, _ := p.read(); mode.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if !p.limit.Allow() {
			p.Refused.Add(1)
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request) {
	p.wait(r, func(s snapshot) uint64 { return s.head.Revision })
	s, _, _ := p.read()
	reply(w, s.head)
}

func (p *Platform) serveFleet(w http.ResponseWriter, r *http.Request) {
	p.wait(r, func(s snapshot) uint64 { return s.fleet.Version })
	s, _, _ := p.read()
	reply(w, s.fleet)
}

// wait blocks a long poll until the version differs from the reader's known one, the
// requested wait has passed, the request is cancelled or the platform goes down.
func (p *Platform) wait(r *http.Request, version func(snapshot) uint64) {
	known, _ := strconv.ParseUint(r.FormValue("known"), 10, 64)
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s, mode, changed := p.read()
		if version(s) != known || mode.Down {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) serveDoc(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.docs[r.PathValue("digest")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) controlPublish(w http.ResponseWriter, r *http.Request) {
	var docs map[string]string
	if !decode(w, r, &docs) {
		return
	}
	contents := map[string][]byte{}
	for name, text := range docs {
		if len(text) > config.MaxDocument {
			http.Error(w, "document over 1 MB: "+name, http.StatusRequestEntityTooLarge)
			return
		}
		contents[name] = []byte(text)
	}
	reply(w, map[string]uint64{"revision": p.Publish(contents)})
}

func (p *Platform) controlFleet(w http.ResponseWriter, r *http.Request) {
	var boxes map[string]fleet.Box
	if decode(w, r, &boxes) {
		p.SetFleet(boxes)
	}
}

func (p *Platform) controlMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if decode(w, r, &m) {
		p.SetMode(m)
	}
}

func (p *Platform) controlStats(w http.ResponseWriter, _ *http.Request) {
	reply(w, map[string]int64{"calls": p.Calls.Load(), "refused": p.Refused.Load()})
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	const maxBody = 32 << 20
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
