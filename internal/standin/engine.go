package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/poststand/poststand/engine"
	"github.com/poststand/poststand/weights"
)

// Engine is a stand-in for a model engine. It keeps no weights but the digest
// that it computed from what it was sent.
type Engine struct {
	ChecksOrders bool          // Refuse orders with an older fence.
	FirstToken   time.Duration // Before the first token of an answer.
	PerToken     time.Duration // Between tokens while at most Batch run.
	Batch        int           // Requests that run at full speed.
	Prefixes     int           // Prompts' beginnings that are cached; a hit saves most of FirstToken.
	Ledger       Ledger
	HTTP         *http.Client // By which weights are pulled; nil is the default.

	mu      sync.Mutex
	state   engine.State
	running int
	streams map[string]*stream
	cached  []string // The most recently used last.
	hits    int
	asked   int
}

// stream is one answer in the making, kept so that it can be resumed.
type stream struct {
	digest  string
	prompt  string
	adapter string
	tokens  []string
	made    int
	done    bool
	cancel  bool
	grow    chan struct{} // Closed and replaced when made rises or it ends.
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.snapshot()) })
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /cancel/{id}", e.serveCancel)
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /ledger", e.Ledger.serve)
	mux.HandleFunc("POST /control/forget", func(http.ResponseWriter, *http.Request) { e.forget() })
	mux.ServeHTTP(w, r)
}

func (e *Engine) snapshot() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Running = e.running
	return s
}

// forget leaves the engine as a restart would, but for its ledger.
func (e *Engine) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = engine.State{}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !decode(w, r, &o) {
		return
	}
	if !e.fence(o.Fence) {
		http.Error(w, "order is fenced", http.StatusConflict)
		return
	}
	switch o.Kind {
	case engine.OrderLoad:
		if err := e.load(o); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		e.swap(o)
	case engine.OrderUnload:
		e.mu.Lock()
		e.state.Digest, e.state.Adapters = "", nil
		e.mu.Unlock()
	case engine.OrderRole:
		e.mu.Lock()
		e.state.Role = o.Role
		e.mu.Unlock()
	}
	reply(w, e.snapshot())
}

// fence takes an order's fence, or refuses one that is older.
func (e *Engine) fence(f engine.Fence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksOrders && f.Before(e.state.Fence) {
		return false
	}
	e.state.Fence = f
	return true
}

// swap puts new weights in place. What still runs goes on with them, and so
// mixes versions, as an engine would that nobody keeps from it.
func (e *Engine) swap(o engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Digest, e.state.Adapters, e.state.Role = o.Digest, o.Adapters, o.Role
	for _, s := range e.streams {
		for i := s.made; i < len(s.tokens); i++ {
			s.tokens[i] = Token(s.prompt, o.Digest, s.adapter, i)
		}
	}
}

// load pulls every artifact of an order and checks it whole.
func (e *Engine) load(o engine.Order) error {
	digests := []string{o.Digest}
	for _, d := range o.Adapters {
		digests = append(digests, d)
	}
	for _, d := range digests {
		data, err := engine.Pull(e.HTTP, o.Source, d)
		if err != nil {
			return err
		}
		m, err := weights.ParseManifest(data, d)
		if err != nil {
			return err
		}
		for _, c := range m.Chunks() {
			if _, err := engine.Pull(e.HTTP, o.Source, c.Digest); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *Engine) serveCancel(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[r.PathValue("id")]; s != nil {
		s.cancel = true
	}
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req ChatRequest
	if !decode(w, r, &req) {
		return
	}
	id := r.Header.Get(engine.HeaderRequest)
	adapter := r.Header.Get(engine.HeaderAdapter)
	var from int
	_, _ = fmt.Sscan(r.Header.Get(engine.HeaderResume), &from)
	s, status := e.open(id, adapter, &req, from > 0)
	if s == nil {
		http.Error(w, http.StatusText(status), status)
		return
	}
	w.Header().Set(engine.HeaderDigest, s.digest)
	if req.Stream {
		e.writeStream(w, r, s, id, from)
		return
	}
	n := 0
	for n < len(s.tokens) {
		var ok bool
		if n, ok = e.await(r, s, n); !ok {
			return
		}
	}
	e.mu.Lock()
	text := strings.Join(s.tokens, "")
	e.mu.Unlock()
	reply(w, Completion{ID: id, Object: "chat.completion", Model: s.digest, Choices: []Choice{
		{Message: &Message{Role: "assistant", Content: text}, FinishReason: "stop"},
	}})
}

// open starts a request, or finds the one to resume.
func (e *Engine) open(id, adapter string, req *ChatRequest, resume bool) (*stream, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if resume {
		return e.streams[id], http.StatusNotFound
	}
	if e.state.Digest == "" {
		return nil, http.StatusServiceUnavailable
	}
	s := &stream{digest: e.state.Digest, prompt: req.Prompt(), adapter: adapter, grow: make(chan struct{})}
	for i := range req.Tokens() {
		s.tokens = append(s.tokens, Token(req.Prompt(), s.digest, adapter, i))
	}
	if e.streams == nil {
		e.streams = map[string]*stream{}
	}
	e.streams[id] = s
	e.running++
	e.Ledger.Started(req.User)
	go e.generate(id, s, e.untilFirst(req))
	return s, http.StatusOK
}

// untilFirst is how long the first token takes: less when the beginning of the
// prompt, its first message, is cached. The caller holds e.mu.
func (e *Engine) untilFirst(req *ChatRequest) time.Duration {
	if e.Prefixes == 0 || len(req.Messages) < 2 {
		return e.FirstToken
	}
	const saved = 0.7
	prefix := req.Messages[0].Content
	e.asked++
	if i := slices.Index(e.cached, prefix); i >= 0 {
		e.hits++
		e.cached = append(slices.Delete(e.cached, i, i+1), prefix)
		return e.FirstToken - time.Duration(saved*float64(e.FirstToken))
	}
	e.cached = append(e.cached, prefix)
	if len(e.cached) > e.Prefixes {
		e.cached = e.cached[1:]
	}
	return e.FirstToken
}

// CacheHits returns how many prompts found their beginning cached, and of how
// many.
func (e *Engine) CacheHits() (hits, asked int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hits, e.asked
}

// generate makes the tokens at the engine's pace, whoever listens.
func (e *Engine) generate(id string, s *stream, first time.Duration) {
	time.Sleep(first)
	for range s.tokens {
		time.Sleep(e.pace())
		e.mu.Lock()
		if s.cancel {
			e.mu.Unlock()
			break
		}
		s.made++
		close(s.grow)
		s.grow = make(chan struct{})
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.done = true
	close(s.grow)
	e.running--
	const resumable = 30 * time.Second
	time.AfterFunc(resumable, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, id)
	})
}

// pace grows with the requests beyond a full batch.
func (e *Engine) pace() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Batch > 0 && e.running > e.Batch {
		return e.PerToken * time.Duration(e.running) / time.Duration(e.Batch)
	}
	return e.PerToken
}

// await returns how many tokens there are once it is more than n.
func (e *Engine) await(r *http.Request, s *stream, n int) (int, bool) {
	for {
		e.mu.Lock()
		made, done, grow := s.made, s.done, s.grow
		e.mu.Unlock()
		if made > n || done {
			return made, made > n
		}
		select {
		case <-grow:
		case <-r.Context().Done():
			return n, false
		}
	}
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, id string, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n < len(s.tokens) {
		made, ok := e.await(r, s, n)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		for ; n < made; n++ {
			e.mu.Lock()
			token := s.tokens[n]
			e.mu.Unlock()
			event, _ := json.Marshal(Completion{ID: id, Object: "chat.completion.chunk", Model: s.digest, Choices: []Choice{
				{Delta: &Message{Role: "assistant", Content: token}},
			}})
			_, _ = fmt.Fprintf(w, "data: %s\n\n", event)
		}
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}
