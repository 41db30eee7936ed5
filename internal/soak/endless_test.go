package soak

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// peakMemory returns the most memory that the process has had, in MiB.
func (p *process) peakMemory(t *testing.T) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kib, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kib >> 10
}

// Replicas that send bytes without end, on many requests at once, made a gateway exceed the memory of its
// box.
func TestManyAnswersWithoutEndHoldLittleMemory(t *testing.T) {
	const (
		requests  = 100
		piece     = 64 << 10 // Bytes that a replica writes at once.
		total     = 96 << 20 // Bytes that it sends if nobody stops it.
		boxMemory = 136      // MiB of the smallest box.
		deadline  = 6 * time.Second
	)
	program := buildBinary(t)
	ok := func(more string) func(x *platformtest.Exchange) string {
		return func(x *platformtest.Exchange) string { return x.Head(http.StatusOK, more) }
	}
	const stream = "Content-Type: text/event-stream\r\n"
	for _, tc := range []struct {
		name, target string
		begin        func(x *platformtest.Exchange) string
		repeat       string
	}{
		{"body", "/unsafe/", ok("\r\n"), "a"},
		{"body of one chunk", "/unsafe/", ok("Transfer-Encoding: chunked\r\n\r\nfffffff\r\n"), "a"},
		{"header line", "/unsafe/", ok("X-A: "), "a"},
		{"header lines", "/unsafe/", ok(""), "X-A: b\r\n"},
		{"event", "/once/", ok(stream + "\r\nid: 1\ndata: "), "a"},
		{"comment", "/once/", ok(stream + "\r\n:"), "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1, testConfig(1))
			text := []byte(strings.Repeat(tc.repeat, piece/len(tc.repeat)))
			for i := range 11 { // Models have 16 slots each.
				r := &platformtest.Replica{ID: fmt.Sprintf("p%d", i), Service: "api", Hall: "h1"}
				if i >= 3 {
					r.ID, r.Service, r.Version = fmt.Sprintf("e%d", i), "llm", 1
				}
				r.Handle = func(_ int, x *platformtest.Exchange) bool {
					x.RecordRun()
					_, err := x.Conn.Write([]byte(tc.begin(x)))
					for sent := 0; err == nil && sent < total; sent += len(text) {
						_, err = x.Conn.Write(text)
					}
					_ = x.Conn.Close()
					return true
				}
				w.addLateReplica(r, 0)
			}
			g := w.gateways[0]
			g.kill()
			g.binary = program
			g.start()
			w.awaitReady()
			var wg sync.WaitGroup
			for i := range requests {
				wg.Go(func() {
					c := &caller{addr: g.callers(), body: fmt.Sprint("body ", i)}
					defer c.close()
					got := c.send(fmt.Sprint("a", i), tc.target, deadline)
					if got.status == http.StatusOK && got.err == nil {
						t.Error("an answer without end is whole")
					}
				})
			}
			wg.Wait()
			peak := g.peakMemory(t)
			t.Logf("peak memory %d MiB, reasons: %v", peak, reasons(g.lines("answer_broken")))
			is.True(peak < boxMemory)
			is.True(!g.ended())
		})
	}
}

// reasons counts the errors of lines.
func reasons(lines []string) map[string]int {
	out := map[string]int{}
	for _, l := range lines {
		_, err, _ := strings.Cut(l, `err="`)
		err, _, _ = strings.Cut(err, `"`)
		if i := strings.LastIndex(err, ": "); strings.HasPrefix(err, "read tcp") && i >= 0 {
			err = err[i+2:]
		}
		out[err]++
	}
	return out
}
