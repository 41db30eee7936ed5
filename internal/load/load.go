package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poststand/poststand/fault"
)

// Mix is the share of each kind of request, in parts of their sum.
type Mix struct {
	Whole  int // Chat completions, answered whole.
	Stream int // Chat completions, streamed.
	Plain  int // Calls of plain services, safe to repeat.
	Unsafe int // Calls of plain services that must run at most once.
	Keyed  int // The same, with an idempotency key, sent twice through two gateways.
}

// Run is one load. Set its fields, then call Do.
type Run struct {
	Gateways      []string // URLs.
	Ledgers       []string // URLs of the stand-ins' ledgers.
	Services      []string // Model services.
	Plains        []string // Plain services.
	Organisations []string
	Rate          float64       // Requests a second.
	For           time.Duration // How long requests arrive.
	BurstAt       time.Duration // When the burst begins.
	BurstFor      time.Duration
	BurstFactor   float64 // Times Rate during the burst.
	Timeout       time.Duration
	Tokens        int
	VaryTokens    bool // Answers have half of Tokens to one and a half times them.
	Prefixes      int  // Prompts begin with one of so many system messages; 0 is none.
	Mix           Mix
	Seed          uint64
	Client        *http.Client // Nil is one with many connections.
	GatewaysDie   bool         // Gateways are killed: their callers' connections end as Cut, not Lost.

	client *http.Client
	mu     sync.Mutex
	sum    Summary
	told   map[string]told // By reference.
	first  *hdrhistogram.Histogram
	gap    *hdrhistogram.Histogram
	whole  *hdrhistogram.Histogram
}

// told is what a caller learnt of a request.
type told struct {
	unsafe  bool
	answers int  // Whole answers.
	notRun  bool // Every reply said "not run".
}

// Summary is the result of a run.
type Summary struct {
	Sent        int            `json:"sent"`
	Answers     int            `json:"answers"`
	Wrong       int            `json:"wrong"`         // Answers that are not the request's own whole one.
	Lost        int            `json:"lost"`          // Neither an answer nor a typed refusal.
	Doubled     int            `json:"doubled"`       // Unsafe requests that ran more than once.
	FalseNotRun int            `json:"false_not_run"` // Told "not run", but in a ledger.
	Cut         int            `json:"cut"`           // The gateway died before it answered.
	Unknown     int            `json:"unknown"`       // Told that it may have run.
	Refused     map[string]int `json:"refused"`       // Told "not run", by reason.
	Versions    map[string]int `json:"versions"`      // Answers by the version that gave them.
	FirstP50    float64        `json:"first_p50_ms"`
	FirstP95    float64        `json:"first_p95_ms"`
	FirstP99    float64        `json:"first_p99_ms"`
	GapP95      float64        `json:"gap_p95_ms"`
	WholeP50    float64        `json:"whole_p50_ms"`
	WholeP99    float64        `json:"whole_p99_ms"`
}

func newHistogram() *hdrhistogram.Histogram {
	const least, most, digits = 1, int64(10 * time.Minute / time.Microsecond), 3
	return hdrhistogram.New(least, most, digits)
}

// Do sends the load, waits for every answer and compares the ledgers.
func (r *Run) Do(ctx context.Context) (*Summary, error) {
	if len(r.Gateways) == 0 || r.Rate <= 0 {
		return nil, fault.New(fault.BadRequest, "a load needs gateways and a rate")
	}
	r.client = r.Client
	if r.client == nil {
		r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	}
	r.told = map[string]told{}
	r.sum = Summary{Refused: map[string]int{}, Versions: map[string]int{}}
	r.first, r.gap, r.whole = newHistogram(), newHistogram(), newHistogram()
	var wg sync.WaitGroup
	rnd := rand.New(rand.NewPCG(r.Seed, 1))
	begin := time.Now()
	next := time.Duration(0)
	for i := 0; next < r.For && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(begin.Add(next)))
		q := r.draw(rnd, i)
		wg.Go(func() { r.send(ctx, q) })
		next += time.Duration(rnd.ExpFloat64() / r.rateAt(next) * float64(time.Second))
	}
	wg.Wait()
	if err := r.compare(ctx); err != nil {
		return nil, err
	}
	r.quantiles()
	return &r.sum, nil
}

func (r *Run) rateAt(t time.Duration) float64 {
	if r.BurstFactor > 0 && t >= r.BurstAt && t < r.BurstAt+r.BurstFor {
		return r.Rate * r.BurstFactor
	}
	return r.Rate
}

func (r *Run) quantiles() {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / 1000
	}
	r.sum.FirstP50, r.sum.FirstP95, r.sum.FirstP99 = ms(r.first, 50), ms(r.first, 95), ms(r.first, 99)
	r.sum.GapP95 = ms(r.gap, 95)
	r.sum.WholeP50, r.sum.WholeP99 = ms(r.whole, 50), ms(r.whole, 99)
}

// kind of a request.
type kind int

const (
	kindWhole kind = iota
	kindStream
	kindPlain
	kindUnsafe
	kindKeyed
)

// query is one request to send.
type query struct {
	kind         kind
	ref          string
	service      string
	gateway      string
	again        string // The gateway of the repeat of a keyed request.
	organisation string
	prompt       string
	tokens       int
	system       string // The first message, or empty.
}

func (r *Run) draw(rnd *rand.Rand, i int) query {
	q := query{ref: fmt.Sprintf("%x-%d", r.Seed, i), kind: r.drawKind(rnd)}
	q.gateway = r.Gateways[rnd.IntN(len(r.Gateways))]
	q.again = r.Gateways[rnd.IntN(len(r.Gateways))]
	if len(r.Organisations) > 0 {
		q.organisation = r.Organisations[rnd.IntN(len(r.Organisations))]
	}
	names := r.Services
	if q.kind >= kindPlain {
		names = r.Plains
	}
	if len(names) > 0 {
		q.service = names[rnd.IntN(len(names))]
	}
	q.tokens = r.Tokens
	if r.VaryTokens {
		q.tokens = r.Tokens/2 + rnd.IntN(r.Tokens+1)
	}
	if r.Prefixes > 0 {
		q.system = fmt.Sprintf("You write for newsroom %d.", rnd.IntN(r.Prefixes))
	}
	q.prompt = fmt.Sprintf("request %s: summarise precinct %d", q.ref, rnd.IntN(1000))
	return q
}

func (r *Run) drawKind(rnd *rand.Rand) kind {
	shares := []int{r.Mix.Whole, r.Mix.Stream, r.Mix.Plain, r.Mix.Unsafe, r.Mix.Keyed}
	total := 0
	for _, s := range shares {
		total += s
	}
	if total == 0 {
		return kindWhole
	}
	n := rnd.IntN(total)
	for k, s := range shares {
		if n < s {
			return kind(k)
		}
		n -= s
	}
	return kindWhole
}
