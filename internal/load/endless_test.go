package load

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded/boundedtest"
	"github.com/poststand/poststand/internal/gateway"
)

// An answer without end took the memory of the process that sends load.
func TestAnswersWithoutEndAreBrokenOff(t *testing.T) {
	for _, k := range slices.Concat(boundedtest.Bodies, []boundedtest.Kind{
		{Name: "comments", Begin: "HTTP/1.1 200 OK\r\n\r\n", Repeat: ": a\n\n"},
	}) {
		for name, answers := range map[string]kind{"stream": kindStream, "whole": kindWhole, "plain": kindPlain} {
			for _, outcome := range []string{"ran", "not_run"} {
				t.Run(strings.Join([]string{k.Name, name, outcome}, ", "), func(t *testing.T) {
					is := is.New(t)
					var read atomic.Int64
					r := &Run{client: &http.Client{Transport: boundedtest.CountingTransport(&read)}, fullAnswer: newHistogram()}
					answer := k
					answer.Begin = strings.Replace(k.Begin, "\r\n", "\r\n"+gateway.HeaderOutcome+": "+outcome+"\r\n", 1)
					p := r.sendTo(t.Context(), requestSpec{kind: answers}, "http://"+boundedtest.Serve(t, answer))
					is.True(!p.correct)
					is.True(read.Load() <= boundedtest.MaxRead(maxAnswer))
				})
			}
		}
	}
}

// A ledger without end took the memory of the process that sends load.
func TestLedgerWithoutEndIsBrokenOff(t *testing.T) {
	is := is.New(t)
	var read atomic.Int64
	r := &Run{client: &http.Client{Transport: boundedtest.CountingTransport(&read)}}
	_, err := r.fetchLedger(t.Context(), "http://"+boundedtest.Serve(t, boundedtest.Bodies[0]))
	is.True(fault.Is(err, fault.TooLarge))
	is.True(read.Load() <= boundedtest.MaxRead(maxLedger))
}
