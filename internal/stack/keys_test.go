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

// sendKeyed sends one unsafe request with an idempotency key to the plain service, and returns
// the status and body of the answer.
func (s *Stack) sendKeyed(t *testing.T, gw, key string) (int, string) {
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

// runCount returns how many times a request ran, by the ledgers of all boxes.
func (s *Stack) runCount(ref string) int {
	n := 0
	for _, l := range s.Ledgers {
		n += l.Runs()[ref]
	}
	return n
}

// homeOf returns the home box of a key of the plain service.
func (s *Stack) homeOf(key string) string {
	var boxes []string
	for name, b := range s.Boxes {
		if b.Class == "plain" {
			boxes = append(boxes, name)
		}
	}
	return rendezvous.First("\x00"+key, boxes)
}

func newKeyStack() *Stack { return &Stack{Halls: 2, Gateways: 2, PlainBoxes: 2, Config: shortLimits} }

const keyWindow = 18 * time.Second // As in shortLimits.

// runKeyOnce waits until the homes accept keys, and runs a request with key k1.
func (s *Stack) runKeyOnce(t *testing.T, is *is.I) {
	t.Helper()
	time.Sleep(keyWindow)
	status, _ := s.sendKeyed(t, "h0-gateway0", "k1")
	is.Equal(status, http.StatusOK)
}

func TestKeyRepeatedThroughAnotherGatewayGetsTheFirstAnswer(t *testing.T) {
	runInBubble(t, newKeyStack(), func(t *testing.T, s *Stack) {
		is := is.New(t)
		time.Sleep(keyWindow)
		status, first := s.sendKeyed(t, "h0-gateway0", "k1")
		is.Equal(status, http.StatusOK)
		for _, gw := range []string{"h0-gateway1", "h1-gateway0", "h1-gateway1"} {
			status, again := s.sendKeyed(t, gw, "k1")
			is.Equal(status, http.StatusOK)
			is.Equal(again, first)
		}
		is.Equal(s.runCount("k1"), 1)
	})
}

// The home of a key restarts, as when its box is replaced, and has lost the record of the first
// run.
func TestKeyIsNotRunAgainByARestartedHome(t *testing.T) {
	runInBubble(t, newKeyStack(), func(t *testing.T, s *Stack) {
		is := is.New(t)
		s.runKeyOnce(t, is)
		s.Kill(s.homeOf("k1"))
		status, text := s.sendKeyed(t, "h1-gateway0", "k1")
		is.True(status >= 500)
		is.True(strings.Contains(text, "key_home_unreachable"))
		is.NoErr(s.StartBox(s.homeOf("k1")))
		for range 5 {
			time.Sleep(2 * time.Second)
			status, text = s.sendKeyed(t, "h1-gateway0", "k1")
			is.True(status >= 500)
			is.True(strings.Contains(text, `"not_run"`))
		}
		is.Equal(s.runCount("k1"), 1)
		time.Sleep(2 * keyWindow) // After the window the key counts as new.
		status, _ = s.sendKeyed(t, "h1-gateway0", "k1")
		is.Equal(status, http.StatusOK)
	})
}

// A gateway is killed between its dispatch and the answer; the caller retries through another one.
func TestKeyOutlivesItsGateway(t *testing.T) {
	runInBubble(t, newKeyStack(), func(t *testing.T, s *Stack) {
		is := is.New(t)
		time.Sleep(keyWindow)
		go func() { _, _ = s.sendKeyed(t, "h0-gateway0", "k1") }()
		time.Sleep(3 * time.Millisecond)
		s.Kill("h0-gateway0")
		status, _ := s.sendKeyed(t, "h1-gateway0", "k1")
		is.Equal(status, http.StatusOK)
		is.Equal(s.runCount("k1"), 1)
	})
}

// The home of a key moves, since its box is leaving. The new home accepts the key only when the
// old one's record of it would have expired.
func TestKeyThatMovesHomeIsNotRunAgain(t *testing.T) {
	runInBubble(t, newKeyStack(), func(t *testing.T, s *Stack) {
		is := is.New(t)
		s.runKeyOnce(t, is)
		old := s.homeOf("k1")
		b := s.Boxes[old]
		b.Leaving = true
		s.Boxes[old] = b
		s.Platform.SetFleet(s.Boxes)
		for range 6 {
			time.Sleep(2 * time.Second)
			_, _ = s.sendKeyed(t, "h1-gateway0", "k1")
		}
		is.Equal(s.runCount("k1"), 1)
	})
}
