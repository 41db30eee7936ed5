package weights

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/simnet"
)

// The store's refusal is waited out as long as it asks, within a bound, and told
// apart from a failure.
func TestOriginsRefusalIsHonoured(t *testing.T) {
	cases := []struct {
		name   string
		status int
		after  string
		want   fault.Code
		waits  time.Duration
	}{
		{"too many requests", http.StatusTooManyRequests, "2", fault.Throttled, 2 * time.Second},
		{"down for a while", http.StatusServiceUnavailable, "1", fault.Throttled, time.Second},
		{"longer than the bound", http.StatusTooManyRequests, "3600", fault.Throttled, 5 * time.Second},
		{"no time given", http.StatusTooManyRequests, "soon", fault.Throttled, 0},
		{"not there", http.StatusNotFound, "2", fault.UpstreamFailed, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Retry-After", tc.after)
					w.WriteHeader(tc.status)
				})
				o := &OriginClient{URL: "http://origin:1", HTTP: &http.Client{Transport: &simnet.Transport{
					Find: func(string) http.Handler { return h },
				}}}
				began := time.Now()
				_, err := o.Get(t.Context(), "sha256:x")
				is.Equal(fault.CodeOf(err), tc.want)
				is.Equal(time.Since(began), tc.waits)
			})
		})
	}
}

// When the origin comes back, what it has yet to send leaves it at once and from many
// boxes, one chunk each: all boxes have a copy soon after its link can have carried it.
func TestOriginsReturnIsUsedByAll(t *testing.T) {
	is := is.New(t)
	b := small(20)
	b.chunks, b.window, b.sharing = 96, 5*time.Second, true
	b.hook = func(s *sim) {
		time.Sleep(1100 * time.Millisecond)
		s.mu.Lock()
		s.originDown = true
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		s.originDown = false
		s.mu.Unlock()
	}
	f := b.run(t, 12*time.Second)
	t.Log("all boxes whole after the return", f.ready[len(f.ready)-1]-6100*time.Millisecond, "copies", f.origin, "first", f.ready[0]-6100*time.Millisecond)
	is.True(f.ready[len(f.ready)-1] < 6100*time.Millisecond+900*time.Millisecond)
	is.True(f.origin < 1.1)
}
