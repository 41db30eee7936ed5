package stack

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/gateway"
	"github.com/poststand/poststand/rendezvous"
)

// keyed sends one unsafe call of the plain service with an idempotency key.
func (s *Stack) keyed(t *testing.T, gw, key string) (int, string) {
	t.Helper()
	body := `{"user":"` + key + `","text":"send the letter"}`
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+gw+":80/services/plain/send", strings.NewReader(body))
	req.Header.Set(gateway.HeaderKey, key)
	resp, err := s.Client().Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func (s *Stack) runs(ref string) int {
	n := 0
	for _, l := range s.Ledgers {
		n += l.Runs()[ref]
	}
	return n
}

// home is the box that a key of the plain service has as its home.
func (s *Stack) home(key string) string {
	var boxes []string
	for name, b := range s.Boxes {
		if b.Class == "plain" {
			boxes = append(boxes, name)
		}
	}
	return rendezvous.First("\x00"+key, boxes)
}

func keyStack() *Stack { return &Stack{Halls: 2, Gateways: 2, Plains: 2, Config: limits} }

const keyWindow = 18 * time.Second // As in limits.

// firstRun waits until homes take keys, and has key k1 run once.
func (s *Stack) firstRun(t *testing.T, is *is.I) {
	t.Helper()
	time.Sleep(keyWindow)
	status, _ := s.keyed(t, "h0-gateway0", "k1")
	is.Equal(status, http.StatusOK)
}

func TestKeyRepeatedThroughAnotherGatewayGetsTheFirstAnswer(t *testing.T) {
	bubble(t, keyStack(), func(t *testing.T, s *Stack) {
		is := is.New(t)
		time.Sleep(keyWindow)
		status, first := s.keyed(t, "h0-gateway0", "k1")
		is.Equal(status, http.StatusOK)
		for _, gw := range []string{"h0-gateway1", "h1-gateway0", "h1-gateway1"} {
			status, again := s.keyed(t, gw, "k1")
			is.Equal(status, http.StatusOK)
			is.Equal(again, first)
		}
		is.Equal(s.runs("k1"), 1)
	})
}

// The home restarts, as its box is replaced, and knows nothing of the first run.
func TestKeyIsNotRunAgainByARestartedHome(t *testing.T) {
	bubble(t, keyStack(), func(t *testing.T, s *Stack) {
		is := is.New(t)
		s.firstRun(t, is)
		s.Kill(s.home("k1"))
		status, text := s.keyed(t, "h1-gateway0", "k1")
		is.True(status >= 500)
		is.True(strings.Contains(text, "key_home_unreachable"))
		is.NoErr(s.StartBox(s.home("k1")))
		for range 5 {
			time.Sleep(2 * time.Second)
			status, text = s.keyed(t, "h1-gateway0", "k1")
			is.True(status >= 500)
			is.True(strings.Contains(text, `"not_run"`))
		}
		is.Equal(s.runs("k1"), 1)
		time.Sleep(2 * keyWindow) // Past the window the key is a new one.
		status, _ = s.keyed(t, "h1-gateway0", "k1")
		is.Equal(status, http.StatusOK)
	})
}

// A gateway dies between its dispatch and the answer; the caller repeats through
// another one.
func TestKeyOutlivesItsGateway(t *testing.T) {
	bubble(t, keyStack(), func(t *testing.T, s *Stack) {
		is := is.New(t)
		time.Sleep(keyWindow)
		go func() { _, _ = s.keyed(t, "h0-gateway0", "k1") }()
		time.Sleep(3 * time.Millisecond)
		s.Kill("h0-gateway0")
		status, _ := s.keyed(t, "h1-gateway0", "k1")
		is.Equal(status, http.StatusOK)
		is.Equal(s.runs("k1"), 1)
	})
}

// The home moves, since its box is to leave. The new home takes the key only
// when the old one's memory of it would have ended.
func TestKeyThatMovesHomeIsNotRunAgain(t *testing.T) {
	bubble(t, keyStack(), func(t *testing.T, s *Stack) {
		is := is.New(t)
		s.firstRun(t, is)
		old := s.home("k1")
		b := s.Boxes[old]
		b.Leaving = true
		s.Boxes[old] = b
		s.Platform.SetFleet(s.Boxes)
		for range 6 {
			time.Sleep(2 * time.Second)
			_, _ = s.keyed(t, "h1-gateway0", "k1")
		}
		is.Equal(s.runs("k1"), 1)
	})
}
