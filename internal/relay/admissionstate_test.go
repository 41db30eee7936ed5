package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/route"
)

var hallStateConfig = &config.Config{
	Routes:        map[string]config.Route{"r": {TargetLatency: 400 * time.Millisecond, Priority: 1, Services: map[string]int{"llm": 1, "api": 1}}},
	Services:      map[string]config.Service{"llm": {Model: "m"}, "api": {}},
	Organisations: map[string]config.Organisation{"a": {}, "b": {}},
}

func hallStateRequest(organisation string, rank int, d admission.Decision) *request {
	r := hallStateConfig.Routes["r"]
	return &request{
		catalog: &catalog.Catalog{Config: hallStateConfig}, route: &r, service: "llm", organisation: organisation, rank: rank,
		workload: route.Workload{PromptTokens: 100, AnswerTokens: 20}, admission: admissionRecord{decision: d},
	}
}

// What a gateway sends to its hall. While nothing is refused, there is nothing to send and nothing
// is collected. A refusal by the cut of a rank must not be passed on, since gateways would then
// keep each other's cuts alive.
func TestUnsentState(t *testing.T) {
	now := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	sent := admission.Decision{Verdict: admission.Send, Cause: admission.Room}
	noRoom := admission.Decision{Verdict: admission.Refuse, Cause: admission.LongWait, LacksRoom: true}
	cut := admission.Decision{Verdict: admission.Refuse, Cause: admission.CutRank}
	early := admission.Decision{Verdict: admission.Refuse, Cause: admission.LongWait}
	tooLate := admission.Decision{Verdict: admission.Refuse, Cause: admission.DeadlineTooClose}
	one, two := 1, 2
	cases := []struct {
		name      string
		decisions []*request
		want      *peers.AdmissionState
	}{
		{"nothing refused", []*request{hallStateRequest("a", 1, sent)}, nil},
		{"deadline too close", []*request{hallStateRequest("a", 1, tooLate), hallStateRequest("a", 1, sent)}, nil},
		{
			"lack of room",
			[]*request{hallStateRequest("a", 3, noRoom), hallStateRequest("a", 2, noRoom), hallStateRequest("b", 1, sent), hallStateRequest("b", 1, sent)},
			&peers.AdmissionState{Services: map[string]peers.ServiceAdmission{"llm": {RefusedRank: &two, Work: map[string]int{"b": 240}}}},
		},
		{
			"most urgent rank first",
			[]*request{hallStateRequest("a", 1, noRoom), hallStateRequest("a", 2, noRoom)},
			&peers.AdmissionState{Services: map[string]peers.ServiceAdmission{"llm": {RefusedRank: &one, Work: map[string]int{}}}},
		},
		{
			"cut rank, early retry",
			[]*request{hallStateRequest("a", 2, cut), hallStateRequest("a", 1, early)},
			&peers.AdmissionState{Services: map[string]peers.ServiceAdmission{"llm": {Work: map[string]int{}}}},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var a admissions
			for _, rq := range tc.decisions {
				a.record(now, rq, rq.admission.decision.Verdict == admission.Send)
			}
			is.Equal(a.takeUnsent(now), tc.want)
			if tc.want == nil {
				is.Equal(a.state("llm").unsent, unsentState{})
				return
			}
			is.Equal(a.takeUnsent(now.Add(500*time.Millisecond)), &peers.AdmissionState{Services: map[string]peers.ServiceAdmission{"llm": {}}}) // The rest of the second.
			is.Equal(a.takeUnsent(now.Add(time.Second)), nil)
		})
	}
}

// Bad or absurd states change nothing: a gateway of another build must not be able to cut off
// requests or to ruin the shares.
func TestApplyAdmissionState(t *testing.T) {
	now := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	rank := func(r int) *int { return &r }
	cases := []struct {
		name     string
		service  string
		state    peers.ServiceAdmission
		cut      bool // Rank 2 is refused.
		refusing bool
		over     bool // Organisation a is over its share.
	}{
		{"more urgent rank refused", "llm", peers.ServiceAdmission{RefusedRank: rank(1)}, true, true, false},
		{"no rank", "llm", peers.ServiceAdmission{}, false, true, false},
		{"work", "llm", peers.ServiceAdmission{Work: map[string]int{"a": 500, "b": 20}}, false, true, true},
		{"work of an unknown organisation", "llm", peers.ServiceAdmission{Work: map[string]int{"x": 500}}, false, true, false},
		{"negative rank", "llm", peers.ServiceAdmission{RefusedRank: rank(-1), Work: map[string]int{"a": 500}}, false, false, false},
		{"negative work", "llm", peers.ServiceAdmission{RefusedRank: rank(0), Work: map[string]int{"a": -500}}, false, false, false},
		{"plain service", "api", peers.ServiceAdmission{RefusedRank: rank(0)}, false, false, false},
		{"unknown service", "x", peers.ServiceAdmission{RefusedRank: rank(0)}, false, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var a admissions
			sent := admission.Decision{Verdict: admission.Send}
			a.record(now, hallStateRequest("a", 1, sent), true)
			a.record(now, hallStateRequest("b", 1, sent), true)
			a.applyState(now, hallStateConfig, "g2", &peers.AdmissionState{Services: map[string]peers.ServiceAdmission{tc.service: tc.state}})
			for name, s := range a.states {
				is.Equal(name, "llm")
				is.Equal(s.pressure.Cuts(now, 2), tc.cut)
				is.Equal(s.pressure.Refusing(now), tc.refusing)
				is.Equal(s.shares.OverShare(now, "a"), tc.over)
			}
			is.Equal(a.takeUnsent(now), nil) // A received state is not passed on.
		})
	}
}
