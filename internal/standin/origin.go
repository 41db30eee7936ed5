package standin

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/poststand/poststand/weights"
)

// Artifact describes generated weights: the same name, size and chunk size give the same
// bytes in every process.
type Artifact struct {
	Model     string
	Version   string
	Bytes     int
	ChunkSize int
}

// Make generates the artifact and returns its encoded manifest and its chunks by digest.
func (a Artifact) Make() ([]byte, map[string][]byte, error) {
	seed := sha256.Sum256([]byte(a.Model + "/" + a.Version))
	data := make([]byte, a.Bytes)
	_, _ = rand.NewChaCha8(seed).Read(data)
	file := weights.Split("model.bin", data, a.ChunkSize)
	m := &weights.Manifest{Model: a.Model, Version: a.Version, Files: []weights.File{file}}
	b, err := m.Encode()
	if err != nil {
		return nil, nil, err
	}
	chunks := map[string][]byte{}
	for _, c := range file.Chunks {
		chunks[c.Digest], data = data[:c.Size], data[c.Size:]
	}
	return b, chunks, nil
}

// Origin is a stand-in for the origin of weights, a rate-limited store.
type Origin struct {
	Link          float64 // Bytes per second in total; 0 is no limit.
	BoxLink       float64 // Bytes per second to one address; 0 is no limit.
	MaxConcurrent int     // Concurrent requests; more are refused with 429. 0 is no limit.

	Sent    atomic.Int64
	Refused atomic.Int64

	mu       sync.Mutex
	link     *rate.Limiter
	boxes    map[string]*rate.Limiter
	blobs    map[string][]byte
	inFlight int
	down     bool
}

// Add generates an artifact, serves it and returns the digest of its manifest.
func (o *Origin) Add(a Artifact) (string, error) {
	manifest, chunks, err := a.Make()
	if err != nil {
		return "", err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.blobs == nil {
		o.blobs = map[string][]byte{}
	}
	for d, c := range chunks {
		o.blobs[d] = c
	}
	d := weights.Digest(manifest)
	o.blobs[d] = manifest
	return d, nil
}

const limiterBurst = 64 << 10

func limiter(l **rate.Limiter, perSecond float64) *rate.Limiter {
	if *l == nil && perSecond > 0 {
		*l = rate.NewLimiter(rate.Limit(perSecond), limiterBurst)
	}
	return *l
}

func (o *Origin) admit(r *http.Request) (blob []byte, limits []*rate.Limiter, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	blob, ok := o.blobs[r.PathValue("digest")]
	switch {
	case o.down:
		return nil, nil, http.StatusServiceUnavailable
	case !ok:
		return nil, nil, http.StatusNotFound
	case o.MaxConcurrent > 0 && o.inFlight >= o.MaxConcurrent:
		o.Refused.Add(1)
		return nil, nil, http.StatusTooManyRequests
	}
	o.inFlight++
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	if o.boxes == nil {
		o.boxes = map[string]*rate.Limiter{}
	}
	box := o.boxes[host]
	limits = append(limits, limiter(&o.link, o.Link), limiter(&box, o.BoxLink))
	o.boxes[host] = box
	return blob, limits, http.StatusOK
}

func (o *Origin) release() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
}

// ServeHTTP implements http.Handler.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /blobs/{digest}", o.serveBlob)
	mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, map[string]int64{"sent": o.Sent.Load(), "refused": o.Refused.Load()})
	})
	mux.HandleFunc("POST /control/down", func(w http.ResponseWriter, r *http.Request) {
		var down bool
		if decode(w, r, &down) {
			o.mu.Lock()
			o.down = down
			o.mu.Unlock()
		}
	})
	mux.ServeHTTP(w, r)
}

func (o *Origin) serveBlob(w http.ResponseWriter, r *http.Request) {
	blob, limits, status := o.admit(r)
	if status != http.StatusOK {
		w.Header().Set("Retry-After", "1")
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer o.release()
	w.Header().Set("Content-Length", fmt.Sprint(len(blob)))
	for len(blob) > 0 {
		n := min(limiterBurst/2, len(blob))
		for _, l := range limits {
			if l != nil && l.WaitN(r.Context(), n) != nil {
				return
			}
		}
		if _, err := w.Write(blob[:n]); err != nil {
			return
		}
		o.Sent.Add(int64(n))
		blob = blob[n:]
	}
}
