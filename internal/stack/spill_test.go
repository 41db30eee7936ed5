package stack

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/load"
)

// The gateway of a hall whose engines are all down sends its requests to the other hall, and
// none runs twice.
func TestLostHallSpills(t *testing.T) {
	runInBubble(t, &Stack{Halls: 2, Gateways: 1, Engines: 2, Config: shortLimits}, func(t *testing.T, s *Stack) {
		is := is.New(t)
		s.Kill("h0-engine0")
		s.Kill("h0-engine1")
		time.Sleep(time.Second)
		for _, stream := range []bool{false, true} {
			resp, text, err := s.chat(t, "safe", stream)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.True(len(text) > 0)
		}
		r := s.newLoad(50, 5*time.Second)
		r.Mix = load.Mix{Unstreamed: 1, Stream: 1}
		sum, err := r.Do(t.Context())
		is.NoErr(err)
		requireNoViolations(t, sum)
		is.Equal(sum.Answers, sum.Sent)
	})
}
