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

// Engine is a stand-in for a model engine. It pulls and verifies weights but keeps only
// their digest.
type Engine struct {
	ChecksOrders    bool          // Refuse orders with an older fence.
	FirstToken      time.Duration // Delay before the first token of an answer.
	PerToken        time.Duration // Delay between tokens while at most Batch requests run.
	Batch           int           // Requests that run at full speed.
	PrefixCacheSize int           // Size of the cache of prompt prefixes; a hit saves 70% of FirstToken.
	Ledger          Ledger
	HTTP            *http.Client // Client that pulls weights; nil is the default client.

	mu           sync.Mutex
	state        engine.State
	running      int
	streams      map[string]*stream
	cached       []string // Cached prefixes, the most recently used last.
	cacheHits    int
	cacheLookups int
}

// stream is an answer that is being generated, kept so that it can be resumed.
type stream struct {
	digest    string
	prompt    string
	adapter   string
	tokens    []string
	generated int
	done      bool
	cancelled bool
	progress  chan struct{} // Closed and replaced when generated increases, and closed at the end.
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.snapshot()) })
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /cancel/{id}", e.serveCancel)
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /ledger", e.Ledger.serve)
	mux.HandleFunc("POST /control/forget", func(http.ResponseWriter, *http.Request) { e.reset() })
	mux.ServeHTTP(w, r)
}

func (e *Engine) snapshot() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Running = e.running
	return s
}

// reset clears the engine's state, as a restart would, but keeps its ledger.
func (e *Engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = engine.State{}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !decode(w, r, &o) {
		return
	}
	if !e.acceptFence(o.Fence) {
		http.Error(w, "order is fenced", http.StatusConflict)
		return
	}
	switch o.Kind {
	case engine.OrderLoad:
		if err := e.pullWeights(o); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		e.installWeights(o)
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

// acceptFence stores an order's fence. It reports false for an older fence if ChecksOrders
// is set.
func (e *Engine) acceptFence(f engine.Fence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksOrders && f.Before(e.state.Fence) {
		return false
	}
	e.state.Fence = f
	return true
}

// installWeights switches to new weights. Running requests continue on them and so mix
// versions, as a real engine's would if it is not drained first.
func (e *Engine) installWeights(o engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Digest, e.state.Adapters, e.state.Role = o.Digest, o.Adapters, o.Role
	for _, s := range e.streams {
		for i := s.generated; i < len(s.tokens); i++ {
			s.tokens[i] = Token(s.prompt, o.Digest, s.adapter, i)
		}
	}
}

// pullWeights pulls and verifies every chunk of the artifacts of an order.
func (e *Engine) pullWeights(o engine.Order) error {
	digests := []string{o.Digest}
	for _, d := range o.Adapters {
		digests = append(digests, d)
	}
	for _, d := range digests {
		data, err := engine.Pull(e.HTTP, o.Source, d, weights.MaxManifest)
		if err != nil {
			return err
		}
		m, err := weights.ParseManifest(data, d)
		if err != nil {
			return err
		}
		for _, c := range m.Chunks() {
			if _, err := engine.Pull(e.HTTP, o.Source, c.Digest, c.Size); err != nil {
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
		s.cancelled = true
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
	s, status := e.openStream(id, adapter, &req, from > 0)
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
		if n, ok = e.waitForTokens(r, s, n); !ok {
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

// openStream starts a request, or returns the stream to resume.
func (e *Engine) openStream(id, adapter string, req *ChatRequest, resume bool) (*stream, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if resume {
		return e.streams[id], http.StatusNotFound
	}
	if e.state.Digest == "" {
		return nil, http.StatusServiceUnavailable
	}
	s := &stream{digest: e.state.Digest, prompt: req.Prompt(), adapter: adapter, progress: make(chan struct{})}
	for i := range req.Tokens() {
		s.tokens = append(s.tokens, Token(req.Prompt(), s.digest, adapter, i))
	}
	if e.streams == nil {
		e.streams = map[string]*stream{}
	}
	e.streams[id] = s
	e.running++
	e.Ledger.Started(req.User)
	go e.generate(id, s, e.firstTokenDelay(req))
	return s, http.StatusOK
}

// firstTokenDelay returns the delay before the first token, which is shorter if the
// prefix of the prompt, its first message, is cached. The caller must hold e.mu.
func (e *Engine) firstTokenDelay(req *ChatRequest) time.Duration {
	if e.PrefixCacheSize == 0 || len(req.Messages) < 2 {
		return e.FirstToken
	}
	const savedFraction = 0.7
	prefix := req.Messages[0].Content
	e.cacheLookups++
	if i := slices.Index(e.cached, prefix); i >= 0 {
		e.cacheHits++
		e.cached = append(slices.Delete(e.cached, i, i+1), prefix)
		return e.FirstToken - time.Duration(savedFraction*float64(e.FirstToken))
	}
	e.cached = append(e.cached, prefix)
	if len(e.cached) > e.PrefixCacheSize {
		e.cached = e.cached[1:]
	}
	return e.FirstToken
}

// CacheHits returns the number of prefix cache hits and of lookups.
func (e *Engine) CacheHits() (hits, lookups int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cacheHits, e.cacheLookups
}

// generate produces the tokens at the engine's speed, whether or not a client reads them.
func (e *Engine) generate(id string, s *stream, first time.Duration) {
	time.Sleep(first)
	for range s.tokens {
		time.Sleep(e.tokenInterval())
		e.mu.Lock()
		if s.cancelled {
			e.mu.Unlock()
			break
		}
		s.generated++
		close(s.progress)
		s.progress = make(chan struct{})
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.done = true
	close(s.progress)
	e.running--
	const retention = 30 * time.Second
	time.AfterFunc(retention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, id)
	})
}

// tokenInterval returns the delay between tokens, which grows in proportion to the running
// requests if they exceed Batch.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Batch > 0 && e.running > e.Batch {
		return e.PerToken * time.Duration(e.running) / time.Duration(e.Batch)
	}
	return e.PerToken
}

// waitForTokens waits until more than n tokens are generated and returns their number. It
// reports false if the stream or the request ends before.
func (e *Engine) waitForTokens(r *http.Request, s *stream, n int) (int, bool) {
	for {
		e.mu.Lock()
		made, done, grow := s.generated, s.done, s.progress
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
		made, ok := e.waitForTokens(r, s, n)
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
