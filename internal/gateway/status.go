package gateway

import (
	"time"

	"github.com/poststand/poststand/route"
)

// Status is the status that a gateway reports on its admin port.
type Status struct {
	Role      string                 `json:"role"`
	Box       string                 `json:"box"`
	Hall      string                 `json:"hall"`
	Revision  uint64                 `json:"revision"`
	Digest    string                 `json:"configuration"`
	Fleet     uint64                 `json:"fleet"`
	Fresh     bool                   `json:"fresh"` // The platform has confirmed the view recently.
	Draining  bool                   `json:"draining"`
	Services  map[string]ServiceLoad `json:"services"`
	Upstreams []UpstreamStatus       `json:"upstreams"`
	Short     map[string]int         `json:"short"` // Number of replicas without a box, by service.
}

// ServiceLoad is the load of a service at this gateway.
type ServiceLoad struct {
	Running  int            `json:"running"`
	Waiting  int            `json:"waiting"`
	Versions map[string]int `json:"versions"` // Number of ready replicas in this hall, by version.
}

// UpstreamStatus is the state of an upstream in this gateway's router.
type UpstreamStatus struct {
	Box      string  `json:"box"`
	Service  string  `json:"service"`
	Version  string  `json:"version"`
	Ready    bool    `json:"ready"`
	Draining bool    `json:"draining"`
	Load     float64 `json:"load"`
}

func (g *Gateway) status() any {
	now := time.Now()
	v := g.holder.Get()
	s := &Status{
		Role: "gateway", Box: g.Settings.Box, Hall: g.Settings.Hall, Revision: v.Revision(), Digest: v.Digest,
		Fleet: v.Fleet.Version, Fresh: now.Before(v.FreshUntil), Draining: g.draining.Load(),
		Services: map[string]ServiceLoad{}, Short: v.Placement.Shortfall,
	}
	if v.Config != nil {
		for name := range v.Config.Services {
			running, waiting := g.queue(name).Load()
			s.Services[name] = ServiceLoad{running, waiting, g.router.Versions(now, name)}
		}
	}
	for _, u := range g.router.Snapshot() {
		s.Upstreams = append(s.Upstreams, upstreamStatus(now, &u))
	}
	return s
}

func upstreamStatus(now time.Time, u *route.Upstream) UpstreamStatus {
	return UpstreamStatus{
		Box: u.Box.Name, Service: u.Report.Service, Version: u.Report.Digest, Ready: u.Report.Ready,
		Draining: u.Report.Draining || u.Box.Leaving, Load: u.Load(now),
	}
}
