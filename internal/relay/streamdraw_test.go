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

// drawnEnd is how a faulty replica answers a stream.
type drawnEnd struct {
	framing framing
	from    int  // First event that it sends; 0 for the one after Last-Event-Id.
	to      int  // Last complete event that it sends.
	piece   int  // Bytes of the next event.
	breaks  bool // The connection breaks before the framing ends.
	lineEnd string
}

func drawEnd(r *rand.Rand, all int) drawnEnd {
	e := drawnEnd{framing: framings[r.IntN(len(framings))], to: r.IntN(all), lineEnd: []string{"\n", "\r\n", "\r"}[r.IntN(3)]}
	// At least one byte of the next event: nothing tells an answer that ends between two events by its
	// framing from a whole one.
	e.piece = 1 + r.IntN(len(events(1, 1))-2)
	if r.IntN(3) == 0 {
		e.from, e.to, e.piece = 1, all, 0 // It begins again, and ends as a whole stream does.
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
	body := withLineEnds(events(first, to)+events(to+1, to+1)[:e.piece], e.lineEnd)
	if e.breaks {
		cutStream(x, body)
		return
	}
	answerStream(x, e.framing, body)
}

// checkEvents returns how what a caller got breaks the rules on streams.
func checkEvents(got reply, all int) string {
	body := strings.ReplaceAll(strings.ReplaceAll(got.body, "\r\n", "\n"), "\r", "\n")
	switch {
	case got.status == http.StatusBadGateway:
		return ""
	case got.status != http.StatusOK:
		return fmt.Sprint("status ", got.status)
	case got.truncated && strings.HasPrefix(events(1, all), body) && (body == "" || strings.HasSuffix(body, "\n\n")):
		return ""
	case !got.truncated && body == events(1, all):
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
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playDrawnEnds(t, rand.New(rand.NewPCG(seed, 0)), draws) })
	}
}

func playDrawnEnds(t *testing.T, r *rand.Rand, draws int) {
	const all = 6
	whole := 0
	for n := range draws {
		var plays []func(x *platformtest.Exchange)
		var drawn []drawnEnd
		for range r.IntN(4) {
			e := drawEnd(r, all)
			plays, drawn = append(plays, e.play), append(drawn, e)
		}
		target := []string{"/s/x", "/once/x"}[r.IntN(2)]
		got, _ := sendStream(t, target, nil, plays...)
		if wrong := checkEvents(got, all); wrong != "" {
			t.Errorf("draw %d: %s: %+v: %s", n, target, drawn, wrong)
		}
		if !got.truncated && got.status == http.StatusOK {
			whole++
		} else if target == "/s/x" && len(drawn) < 3 {
			t.Errorf("draw %d: %s: %+v: a sound replica was left, status %d", n, target, drawn, got.status)
		}
	}
	t.Logf("%d of %d streams were whole", whole, draws)
	is.New(t).True(whole > draws/3)
}
