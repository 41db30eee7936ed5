package agent

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
	"github.com/poststand/poststand/internal/bounded/boundedtest"
	"github.com/poststand/poststand/internal/settings"
)

// executeEndless has an agent with a client run a request on an engine that answers without end.
func executeEndless(t *testing.T, c *http.Client, k boundedtest.Kind, stream bool) error {
	a, err := New(&settings.Agent{Engine: "http://" + boundedtest.Serve(t, k)}, Options{Engine: c})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	return execute(t, a, stream)
}

func execute(t *testing.T, a *Agent, stream bool) error {
	d := &dispatch.Dispatch{Method: "POST", Path: "/", Stream: stream}
	return a.execute(t.Context(), &dispatch.Record{Dispatch: d, Answer: &dispatch.Answer{}})
}

// Headers of an engine and of the origin were read for 10 MB.
func TestHeadersWithoutEndAreBrokenOff(t *testing.T) {
	for _, k := range boundedtest.Heads {
		t.Run(k.Name, func(t *testing.T) {
			is := is.New(t)
			limit := strconv.Itoa(bounded.MaxHeader)
			err := executeEndless(t, nil, k, false)
			is.True(err != nil && strings.Contains(err.Error(), limit))

			a, err := New(&settings.Agent{Origin: "http://" + boundedtest.Serve(t, k)}, Options{})
			is.NoErr(err)
			defer a.Close()
			_, err = a.exchange.FetchOrigin(t.Context(), "digest", 1)
			is.True(err != nil && strings.Contains(err.Error(), limit))
		})
	}
}

// A stream of empty lines was read until its deadline, and the caller of an answer that was too large got 413.
func TestAnswersWithoutEndAreBrokenOff(t *testing.T) {
	const maxAnswer, maxWithoutEvent = 17 << 20, 1 << 20 // The last part of 1 MiB may exceed 16 MiB.
	for _, k := range boundedtest.Bodies {
		for name, tc := range map[string]struct {
			stream bool
			limit  int64
		}{"plain": {false, maxAnswer}, "stream": {true, maxWithoutEvent}} {
			t.Run(name+", "+k.Name, func(t *testing.T) {
				is := is.New(t)
				var read atomic.Int64
				err := executeEndless(t, &http.Client{Transport: boundedtest.CountingTransport(&read)}, k, tc.stream)
				is.True(fault.Is(err, fault.AnswerTooLarge))
				is.True(read.Load() <= boundedtest.MaxRead(tc.limit))
			})
		}
	}
}

// endlessEngine answers each request with a text up to 24 MB, and counts the bytes of requests that are not cancelled.
type endlessEngine struct {
	text string

	mu     sync.Mutex
	bodies []*endlessBody
	most   int // Greatest number of bytes at a time.
}

type endlessBody struct {
	engine *endlessEngine
	ctx    context.Context
	read   int // Guarded by engine.mu.
}

// RoundTrip implements http.RoundTripper.
func (e *endlessEngine) RoundTrip(req *http.Request) (*http.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := &endlessBody{engine: e, ctx: req.Context()}
	e.bodies = append(e.bodies, b)
	return &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: b, TransferEncoding: []string{"chunked"}}, nil
}

func (b *endlessBody) Read(p []byte) (int, error) {
	const total = 24 << 20
	e := b.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	if b.read >= total {
		return 0, io.ErrUnexpectedEOF
	}
	n := 0
	for n < len(p) {
		n += copy(p[n:], e.text[(b.read+n)%len(e.text):])
	}
	b.read += n
	sum := 0
	for _, other := range e.bodies {
		if other.ctx.Err() == nil {
			sum += other.read
		}
	}
	e.most = max(e.most, sum)
	return n, nil
}

// Close implements io.Closer.
func (b *endlessBody) Close() error { return nil }

// Each of many answers without end held 16 MiB, and each stream all that it had brought.
func TestManyAnswersWithoutEndHoldLittleMemory(t *testing.T) {
	const answers, maxHeld, free = 40, 18 << 20, 128 << 10
	for name, stream := range map[string]bool{"plain": false, "stream": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &endlessEngine{text: "data: " + strings.Repeat("a", 32<<10) + "\n\n"}
			a, err := New(&settings.Agent{}, Options{Engine: &http.Client{Transport: e}})
			is.NoErr(err)
			defer a.Close()
			var wg sync.WaitGroup
			errs := make([]error, answers)
			for i := range errs {
				wg.Go(func() { errs[i] = execute(t, a, stream) })
			}
			wg.Wait()
			for _, err := range errs {
				is.True(fault.Is(err, fault.AnswerTooLarge))
			}
			t.Logf("%d bytes at most", e.most)
			is.True(e.most <= maxHeld+answers*free)
		})
	}
}
