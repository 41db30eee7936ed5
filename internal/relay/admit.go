package relay

import (
	"maps"
	"sync"
	"time"

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/times"
	"github.com/poststand/poststand/route"
)

// admissions holds what admission to each service is decided from. The zero value is empty.
type admissions struct {
	mu       sync.Mutex
	cfg      *config.Config               // Configuration that services was built from.
	services map[string]admission.Service // Those with an engine, keyed by name.
	states   map[string]*admissionState   // Keyed by service; bounded by the configuration.
	refused  chan struct{}                // Capacity 1; receives when a request is refused.
}

// admissionState is the recent demand for a service.
type admissionState struct {
	shares   admission.Shares
	pressure admission.Pressure
	unsent   unsentState // Collected while this gateway refuses requests.
}

// admissionRecord is what was decided on a request, for the log.
type admissionRecord struct {
	decision admission.Decision // The last one; zero if none was made.
	waiting  bool               // The request waits or has waited at the gateway.
	waited   time.Duration      // Time for which the request waited at the gateway.
}

// service returns the admission parameters of a service. Services without an engine, and those
// without a route that has a latency target, have the zero value.
func (a *admissions) service(cfg *config.Config, name string) admission.Service {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cfg != cfg {
		a.cfg, a.services = cfg, admissionServices(cfg)
	}
	return a.services[name]
}

func admissionServices(cfg *config.Config) map[string]admission.Service {
	routes := map[string][]admission.Route{}
	for _, r := range cfg.Routes {
		for name := range r.Services {
			routes[name] = append(routes[name], admission.Route{Rank: r.Priority, Target: r.TargetLatency})
		}
	}
	out := map[string]admission.Service{}
	for name, s := range cfg.Services {
		if s.Model != "" {
			out[name] = admission.NewService(routes[name])
		}
	}
	return out
}

// level returns how many ranks of the request's service are more urgent than its own.
func (a *admissions) level(rq *request) int {
	s := a.service(rq.catalog.Config, rq.service)
	return s.Level(rq.rank)
}

// state returns the state of a service. The caller holds a.mu.
func (a *admissions) state(service string) *admissionState {
	s, ok := a.states[service]
	if !ok {
		if a.states == nil {
			a.states = map[string]*admissionState{}
		}
		s = &admissionState{}
		a.states[service] = s
	}
	return s
}

// keep forgets the services for which configured returns false.
func (a *admissions) keep(configured func(service string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.states, func(service string, _ *admissionState) bool { return !configured(service) })
}

// demand returns what is to be decided on.
func (a *admissions) demand(now time.Time, rq *request) *admission.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, p := a.state(rq.service), rq.profile()
	d := &admission.Demand{
		Rank: rq.rank, Attempt: rq.attempt, Target: rq.route.TargetLatency, ArrivedAt: rq.arrivedAt, Deadline: rq.deadline,
		Waited: rq.admission.waiting, Starved: s.shares.Starved(now, &p),
	}
	if s.pressure.Refusing(now) {
		d.OverShare, d.Cut = s.shares.OverShare(now, rq.organisation), s.pressure.Cuts(now, rq.rank)
	}
	return d
}

// allowedWait returns the longest predicted wait with which the request is sent; zero for no limit.
func (a *admissions) allowedWait(now time.Time, rq *request) time.Duration {
	s := a.service(rq.catalog.Config, rq.service)
	return s.AllowedWait(a.demand(now, rq))
}

// record counts a request that was sent, or refused for lack of room or time.
func (a *admissions) record(now time.Time, rq *request, sent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, p := a.state(rq.service), rq.profile()
	s.shares.Record(now, &p, sent)
	if !sent && rq.admission.decision.Cause != admission.DeadlineTooClose {
		s.pressure.RecordRefusal(now)
		select {
		case a.refused <- struct{}{}:
		default:
		}
	}
	if s.pressure.RefusedHere(now) {
		s.unsent.add(rq, sent)
	}
}

// profile returns what is counted of a request.
func (rq *request) profile() admission.Profile {
	return admission.Profile{
		Organisation: rq.organisation, Weight: rq.catalog.Config.Organisations[rq.organisation].Weight, Rank: rq.rank,
		Work: rq.workload.PromptTokens + rq.workload.AnswerTokens,
	}
}

// admits decides whether the request is sent to the chosen replica.
func (g *Relay) admits(now time.Time, rq *request, c route.Choice) bool {
	if !c.Engine {
		return true
	}
	s := g.admissions.service(rq.catalog.Config, rq.service)
	rq.admission.decision = s.Decide(now, g.admissions.demand(now, rq), admission.Prediction{Wait: c.QueueWait, FirstEvent: c.Predicted, Unqueued: c.Unqueued})
	return rq.admission.decision.Verdict == admission.Send
}

// admit chooses a replica for the next attempt, like choose. A request that has reached no
// replica yet is sent only if it is admitted, and may wait until it is.
func (g *Relay) admit(d *delivery) (route.Choice, dispatch.Result, bool) {
	rq := d.rq
	choose := func() (route.Choice, dispatch.Result, bool) {
		rq.admission.decision = admission.Decision{}
		return g.choose(d.ctx, rq, d.exclude, d.arrivals)
	}
	s := g.admissions.service(rq.catalog.Config, rq.service)
	if d.arrivals > 0 || s.Target <= 0 {
		return g.choose(d.ctx, rq, d.exclude, d.arrivals)
	}
	now := time.Now()
	demand := g.admissions.demand(now, rq)
	w, until := rq.waiting(&s, demand.Starved, rq.residency(g).String()), times.Earlier(s.LatestWait(rq.arrivedAt), rq.deadline)
	mustWait := g.waiting.mustWait(&w)
	var choice route.Choice
	var res dispatch.Result
	var ok bool
	if mustWait {
		// A request that would not be sent even with a predicted wait of zero does not wait.
		rq.admission.decision = s.Decide(now, demand, admission.Prediction{})
		mustWait = rq.admission.decision.Verdict == admission.Send
	} else if choice, res, ok = choose(); rq.admission.decision.Verdict == admission.Wait {
		mustWait, until = true, rq.admission.decision.Until
	}
	if mustWait {
		choice, res, ok = g.wait(d.ctx, rq, newWaiter(w), until, choose)
	}
	if ok {
		g.waiting.recordStart(&w)
	}
	return choice, g.recordAdmission(rq, res, ok), ok
}

// recordAdmission counts a request that was sent, or refused for lack of room or time, and
// returns its result. A request whose outcome has another reason is not counted.
func (g *Relay) recordAdmission(rq *request, res dispatch.Result, sent bool) dispatch.Result {
	now, d := time.Now(), &rq.admission.decision
	if !sent && d.Verdict != admission.Refuse {
		return res
	}
	if rq.attempts == 0 {
		g.admissions.record(now, rq, sent)
	}
	if sent {
		return res
	}
	g.Metrics.NotAdmitted(string(d.Cause), rq.rank)
	res = notRun(fault.QueueFull)
	if d.Cause == admission.DeadlineTooClose {
		res.Reason = fault.PastDeadline
	}
	return res
}
