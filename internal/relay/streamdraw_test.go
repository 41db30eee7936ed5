package relay_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// allDrawn is how many events a whole stream has in plays of drawn ends.
const allDrawn = 6

// drawnEnd is how a faulty replica answers a stream.
type drawnEnd struct {
	framing framing
	from    int  // First event that it sends; 0 for the one after Last-Event-Id.
	to      int  // Last complete event that it sends.
	piece   int  // Bytes of the next event.
	breaks  bool // The connection breaks before the framing ends.
	lineEnd string
	reset   drawnReset
}

// drawnReset is whether and when a replica resets its connection in place of the end of an answer.
type drawnReset int

// Values of drawnReset.
const (
	notReset     drawnReset = iota
	resetAtOnce             // Before the gateway reads on.
	resetWaiting            // When the gateway has read all and waits.
)

// drawReset draws whether the answer is reset. One that is ends anywhere, also between two events.
func (e drawnEnd) drawReset(r *rand.Rand) drawnEnd {
	const resetShare = 4
	if r.IntN(resetShare) > 0 {
		return e
	}
	e.reset = resetAtOnce + drawnReset(r.IntN(2))
	if r.IntN(2) == 0 {
		e.piece = 0
	}
	return e
}

func drawEnd(r *rand.Rand) drawnEnd {
	e := drawnEnd{framing: framings[r.IntN(len(framings))], to: r.IntN(allDrawn), lineEnd: []string{"\n", "\r\n", "\r"}[r.IntN(3)]}
	// At least one byte of the next event: nothing tells an answer that ends between two events by its
	// framing from a whole one.
	e.piece = 1 + r.IntN(len(events(1, 1))-2)
	if r.IntN(3) == 0 {
		e.from, e.to, e.piece = 1, allDrawn, 0 // It begins again, and ends as a whole stream does.
	}
	e.breaks = e.piece > 0 && r.IntN(2) == 0
	return e
}

// play answers a request. An answer that continues nothing and is whole is a sound one.
func (e drawnEnd) play(x *platformtest.Exchange) {
	first, last := e.from, 0
	_, _ = fmt.Sscan(x.Request.Header.Get("Last-Event-Id"), &last)
	if first == 0 {
		first = last + 1
	}
	to := max(e.to, first-1)
	piece := ""
	if to < allDrawn { // A reset may have come after the last event; none follows that.
		piece = events(to+1, to+1)[:e.piece]
	}
	body := withLineEnds(events(first, to)+piece, e.lineEnd)
	if e.reset != notReset {
		announced := max(len(body), len(withLineEnds(events(first, allDrawn), e.lineEnd)))
		resetAnswer(x, e.framing, "text/event-stream", body, announced, e.reset == resetWaiting)
		return
	}
	if e.breaks {
		cutStream(x, body)
		return
	}
	answerStream(x, e.framing, body)
}

// checkEvents returns how what a caller got breaks the rules on streams.
func checkEvents(got reply) string {
	body := strings.ReplaceAll(strings.ReplaceAll(got.body, "\r\n", "\n"), "\r", "\n")
	switch {
	case got.status == http.StatusBadGateway:
		return ""
	case got.status != http.StatusOK:
		return fmt.Sprint("status ", got.status)
	case got.truncated && strings.HasPrefix(events(1, allDrawn), body) && (body == "" || strings.HasSuffix(body, "\n\n")):
		return ""
	case !got.truncated && body == events(1, allDrawn):
		return ""
	}
	return fmt.Sprintf("truncated %t, %q", got.truncated, got.body)
}

// Streams end early by every framing, anywhere, at up to three replicas: no caller gets a piece of an
// event, an event twice, or a complete end without all events, and a sound replica's stream is whole.
func TestDrawnEndsOfStreams(t *testing.T) {
	from, to, draws := uint64(1), uint64(1), 200
	if seeds := os.Getenv("POSTSTAND_SEEDS"); seeds != "" {
		_, err := fmt.Sscanf(seeds, "%d-%d", &from, &to)
		is.New(t).NoErr(err)
		draws = 2000
	}
	for seed := from; seed <= to; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playDrawnEnds(t, seed, draws) })
	}
}

func playDrawnEnds(t *testing.T, seed uint64, draws int) {
	r, resets := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 1))
	whole, reset := 0, 0
	for n := range draws {
		var plays []func(x *platformtest.Exchange)
		var drawn []drawnEnd
		for range r.IntN(4) {
			e := drawEnd(r).drawReset(resets)
			if e.reset != notReset {
				reset++
			}
			plays, drawn = append(plays, e.play), append(drawn, e)
		}
		target := []string{"/s/x", "/once/x"}[r.IntN(2)]
		got, _ := sendStream(t, target, nil, plays...)
		if wrong := checkEvents(got); wrong != "" {
			t.Errorf("draw %d: %s: %+v: %s", n, target, drawn, wrong)
		}
		if !got.truncated && got.status == http.StatusOK {
			whole++
		} else if target == "/s/x" && len(drawn) < 3 {
			t.Errorf("draw %d: %s: %+v: a sound replica was left, status %d", n, target, drawn, got.status)
		}
	}
	t.Logf("%d of %d streams were whole, %d answers were reset", whole, draws, reset)
	is.New(t).True(whole > draws/3)
	is.New(t).True(reset > draws/10)
}
