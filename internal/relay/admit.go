package relay

import (
	"sync"
	"time"

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/dispatch"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/route"
)

// admissions holds what admission to each service is decided from. The zero value is empty.
type admissions struct {
	mu       sync.Mutex
	cfg      *config.Config               // Configuration that services was built from.
	services map[string]admission.Service // Those with an engine, keyed by name.
	states   map[string]*admissionState   // Keyed by service; bounded by the configuration.
}

// admissionState is the recent demand for a service.
type admissionState struct {
	shares   admission.Shares
	pressure admission.Pressure
}

// admissionRecord is what was decided on a request, for the log.
type admissionRecord struct {
	decision admission.Decision // The last one; zero if none was made.
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

// demand returns what is to be decided on.
func (a *admissions) demand(now time.Time, rq *request) *admission.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, p := a.state(rq.service), rq.profile()
	d := &admission.Demand{
		Rank: rq.rank, Attempt: rq.attempt, Target: rq.route.TargetLatency, ArrivedAt: rq.arrivedAt, Deadline: rq.deadline,
		Starved: s.shares.Starved(now, &p),
	}
	if s.pressure.Refusing(now) {
		d.OverShare = s.shares.OverShare(now, rq.organisation)
	}
	return d
}

// record counts a request that was sent, or refused for lack of room.
func (a *admissions) record(now time.Time, rq *request, sent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, p := a.state(rq.service), rq.profile()
	s.shares.Record(now, &p, sent)
	if !sent {
		s.pressure.RecordRefusal(now)
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
	rq.admission.decision = s.Decide(now, g.admissions.demand(now, rq), admission.Prediction{Wait: c.QueueWait, FirstEvent: c.Predicted})
	return rq.admission.decision.Verdict == admission.Send
}

// admissionRefusal returns the result of a request that is refused for lack of room or time.
func (g *Relay) admissionRefusal(now time.Time, rq *request, queueWait time.Duration) dispatch.Result {
	res := notRun(fault.QueueFull)
	if rq.admission.decision.Cause == admission.DeadlineTooClose {
		res.Reason = fault.PastDeadline
	}
	res.RetryAt = g.retryTime(now, rq, queueWait)
	return res
}

// admit chooses a replica for the next attempt, like choose. A request that has reached no
// replica yet is sent only if it is admitted.
func (g *Relay) admit(d *delivery) (route.Choice, dispatch.Result, bool) {
	rq := d.rq
	choose := func() (route.Choice, dispatch.Result, bool) {
		rq.admission.decision = admission.Decision{}
		return g.choose(d.ctx, rq, d.exclude, d.arrivals)
	}
	if s := g.admissions.service(rq.catalog.Config, rq.service); d.arrivals > 0 || s.Target <= 0 {
		return choose()
	}
	choice, res, ok := choose()
	refused := rq.admission.decision.Verdict != admission.Send
	if ok || refused {
		now := time.Now()
		g.admissions.record(now, rq, ok)
		if refused {
			res = g.admissionRefusal(now, rq, choice.QueueWait)
			g.Metrics.NotAdmitted(string(rq.admission.decision.Cause), rq.rank)
		}
	}
	return choice, res, ok
}
