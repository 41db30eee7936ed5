package relay

import (
	"context"
	"time"

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/kernel"
	"github.com/poststand/poststand/rendezvous"
	"github.com/poststand/poststand/wire"
)

// Sending of admission states.
const (
	hallStateInterval = 200 * time.Millisecond
	// maxHallStateReceivers bounds the gateways that a state is sent to, and so the traffic of a
	// large hall. Each gateway also receives the states of about as many others, which is enough to
	// show what is refused in the hall.
	maxHallStateReceivers = 12
)

// unsentState is what a gateway has not yet sent of its own admission to a service.
type unsentState struct {
	refusedRank int // The most urgent rank refused for lack of room, or admission.NoRank.
	work        map[string]int
}

// add adds a request that was sent or refused.
func (u *unsentState) add(rq *request, sent bool) {
	if u.work == nil {
		u.refusedRank, u.work = admission.NoRank, map[string]int{}
	}
	p, d := rq.profile(), &rq.admission.decision
	switch {
	case sent:
		u.work[p.Organisation] += p.Work
	case d.LacksRoom && (u.refusedRank == admission.NoRank || rq.rank < u.refusedRank):
		u.refusedRank = max(0, rq.rank)
	}
}

// message returns what is unsent, and removes it.
func (u *unsentState) message() peers.ServiceAdmission {
	m := peers.ServiceAdmission{Work: u.work}
	if rank := u.refusedRank; u.work != nil && rank != admission.NoRank {
		m.RefusedRank = &rank
	}
	*u = unsentState{}
	return m
}

// takeUnsent returns the state to be sent, or nil if no request was refused recently.
func (a *admissions) takeUnsent(now time.Time) *peers.AdmissionState {
	a.mu.Lock()
	defer a.mu.Unlock()
	var m *peers.AdmissionState
	for name, s := range a.states {
		if !s.pressure.RefusedHere(now) {
			s.unsent = unsentState{}
			continue
		}
		if m == nil {
			m = &peers.AdmissionState{Services: map[string]peers.ServiceAdmission{}}
		}
		m.Services[name] = s.unsent.message()
	}
	return m
}

// applyState applies the state of another gateway of the hall. Services and organisations that the
// configuration does not have are ignored.
func (a *admissions) applyState(now time.Time, cfg *config.Config, from string, m *peers.AdmissionState) {
	for name, st := range m.Services {
		if !st.Valid() {
			telemetry.Log("admission_state_ignored", "from", from, "service", name, "refused_rank", st.RefusedRank, "work", st.Work)
			continue
		}
		if s := a.service(cfg, name); s.Target <= 0 {
			continue
		}
		a.mu.Lock()
		s, rank := a.state(name), admission.NoRank
		if st.RefusedRank != nil {
			rank = *st.RefusedRank
		}
		s.pressure.RecordState(now, from, rank)
		for organisation, work := range st.Work {
			if o, ok := cfg.Organisations[organisation]; ok {
				s.shares.AddWork(now, organisation, o.Weight, work)
			}
		}
		a.mu.Unlock()
	}
}

// announceAdmission sends the admission state to gateways of the hall while requests are refused,
// until ctx ends.
func (g *Relay) announceAdmission(ctx context.Context) error {
	for {
		select {
		case <-g.admissions.refused:
		case <-ctx.Done():
			return nil
		}
		for m := g.admissions.takeUnsent(time.Now()); m != nil && ctx.Err() == nil; m = g.admissions.takeUnsent(time.Now()) {
			for _, addr := range g.hallStateReceivers() {
				go g.gossip.SendAdmissionState(ctx, addr, m)
			}
			kernel.Sleep(ctx, hallStateInterval)
		}
	}
}

// hallStateReceivers returns the gateways of this hall that the state is sent to.
func (g *Relay) hallStateReceivers() []string {
	var out []string
	for _, m := range g.gossip.Live() {
		if m.Hall == g.Settings.Hall && m.Addr != g.Settings.Listen {
			out = append(out, m.Addr)
		}
	}
	if len(out) > maxHallStateReceivers {
		out = rendezvous.Rank("admission/"+g.Settings.Listen, out)[:maxHallStateReceivers]
	}
	return out
}

func (g *Relay) serveAdmissionState(_ context.Context, s *wire.Stream, m *peers.AdmissionState) {
	c, from := g.catalog.Get(), s.Conn().Remote()
	if c.Config == nil || from.Hall != g.Settings.Hall || from.Role != roleGateway {
		return
	}
	g.admissions.applyState(time.Now(), c.Config, from.Box, m)
}
