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
	"github.com/poststand/poststand/internal/bounded"
)

// Mix holds the relative weight of each kind of request.
type Mix struct {
	Unstreamed int // Chat completions that are not streamed.
	Stream     int // Chat completions, streamed.
	Plain      int // Calls of plain services that may be retried.
	Unsafe     int // Calls of plain services that must run at most once.
	Keyed      int // Unsafe calls with an idempotency key, each sent twice, through random gateways.
}

// Run describes one load. Set its fields, then call Do.
type Run struct {
	Gateways         []string // URLs of the gateways.
	Ledgers          []string // URLs of the stand-ins' ledgers.
	Services         []string // Model services.
	PlainServices    []string // Plain services.
	Organisations    []string
	Rate             float64       // Requests per second.
	Duration         time.Duration // Duration of the load.
	BurstAt          time.Duration // Start of the burst, from the start of the load.
	BurstFor         time.Duration
	BurstFactor      float64 // Factor on Rate during the burst.
	Timeout          time.Duration
	Tokens           int
	VaryTokens       bool // Draw the tokens of each answer from 0.5 to 1.5 times Tokens.
	Prefixes         int  // Number of different system messages that prompts start with; 0 is none.
	Mix              Mix
	Seed             uint64
	Client           *http.Client // If nil, a client with up to 512 idle connections per gateway is used.
	GatewaysMayCrash bool         // Gateways are killed during the load: lost connections count as Cut, not Lost.

	client     *http.Client
	mu         sync.Mutex
	summary    Summary
	results    map[string]requestResult // Keyed by reference.
	firstEvent *hdrhistogram.Histogram
	eventGap   *hdrhistogram.Histogram
	fullAnswer *hdrhistogram.Histogram
}

// requestResult summarises the replies to a request.
type requestResult struct {
	unsafe  bool
	answers int  // Complete and correct answers.
	notRun  bool // Every reply reported "not run".
}

// Summary is the result of a run.
type Summary struct {
	Sent        int            `json:"sent"`
	Answers     int            `json:"answers"`
	Wrong       int            `json:"wrong"`         // Answers that are broken or not the expected one.
	Lost        int            `json:"lost"`          // Requests with neither an answer nor an error with an outcome.
	Doubled     int            `json:"doubled"`       // Unsafe requests that ran more than once.
	FalseNotRun int            `json:"false_not_run"` // Requests reported as "not run" that are in a ledger.
	Cut         int            `json:"cut"`           // Requests whose gateway died before it answered.
	Unknown     int            `json:"unknown"`       // Requests reported as "unknown": they may have run.
	Refused     map[string]int `json:"refused"`       // Refusals by reason; "unknown_" and "lost_" prefix those of Unknown and Lost.
	Versions    map[string]int `json:"versions"`      // Answers by version.
	FirstP50    float64        `json:"first_p50_ms"`
	FirstP95    float64        `json:"first_p95_ms"`
	FirstP99    float64        `json:"first_p99_ms"`
	GapP95      float64        `json:"gap_p95_ms"`
	WholeP50    float64        `json:"whole_p50_ms"`
	WholeP99    float64        `json:"whole_p99_ms"`
}

func newHistogram() *hdrhistogram.Histogram {
	const lowest, highest, digits = 1, int64(10 * time.Minute / time.Microsecond), 3
	return hdrhistogram.New(lowest, highest, digits)
}

// Do sends the load, waits for every answer and compares the results with the ledgers.
func (r *Run) Do(ctx context.Context) (*Summary, error) {
	if len(r.Gateways) == 0 || r.Rate <= 0 {
		return nil, fault.New(fault.BadRequest, "a load needs at least one gateway and a positive rate")
	}
	r.client = r.Client
	if r.client == nil {
		r.client = bounded.HTTP(&http.Transport{MaxIdleConnsPerHost: 512})
	}
	r.results = map[string]requestResult{}
	r.summary = Summary{Refused: map[string]int{}, Versions: map[string]int{}}
	r.firstEvent, r.eventGap, r.fullAnswer = newHistogram(), newHistogram(), newHistogram()
	var wg sync.WaitGroup
	rnd := rand.New(rand.NewPCG(r.Seed, 1))
	start := time.Now()
	offset := time.Duration(0)
	for i := 0; offset < r.Duration && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(start.Add(offset)))
		q := r.drawRequest(rnd, i)
		wg.Go(func() { r.send(ctx, q) })
		offset += time.Duration(rnd.ExpFloat64() / r.rateAt(offset) * float64(time.Second))
	}
	wg.Wait()
	if err := r.compareLedgers(ctx); err != nil {
		return nil, err
	}
	r.quantiles()
	return &r.summary, nil
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
	r.summary.FirstP50, r.summary.FirstP95, r.summary.FirstP99 = ms(r.firstEvent, 50), ms(r.firstEvent, 95), ms(r.firstEvent, 99)
	r.summary.GapP95 = ms(r.eventGap, 95)
	r.summary.WholeP50, r.summary.WholeP99 = ms(r.fullAnswer, 50), ms(r.fullAnswer, 99)
}

// kind is the kind of a request.
type kind int

const (
	kindWhole kind = iota
	kindStream
	kindPlain
	kindUnsafe
	kindKeyed
)

// requestSpec describes one request to send.
type requestSpec struct {
	kind          kind
	ref           string
	service       string
	gateway       string
	repeatGateway string // The gateway for the second copy of a keyed request.
	organisation  string
	prompt        string
	tokens        int
	system        string // The system message, or empty.
}

func (r *Run) drawRequest(rnd *rand.Rand, i int) requestSpec {
	q := requestSpec{ref: fmt.Sprintf("%x-%d", r.Seed, i), kind: r.drawKind(rnd)}
	q.gateway = r.Gateways[rnd.IntN(len(r.Gateways))]
	q.repeatGateway = r.Gateways[rnd.IntN(len(r.Gateways))]
	if len(r.Organisations) > 0 {
		q.organisation = r.Organisations[rnd.IntN(len(r.Organisations))]
	}
	names := r.Services
	if q.kind >= kindPlain {
		names = r.PlainServices
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
	shares := []int{r.Mix.Unstreamed, r.Mix.Stream, r.Mix.Plain, r.Mix.Unsafe, r.Mix.Keyed}
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
