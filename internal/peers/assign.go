package peers

import (
	"slices"
	"strings"
	"time"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/quarantine"
)

// initialVersion is the version that replicas may hold before any target version is set.
const initialVersion = 1

// Assign returns the assignment for the replicas of a service, without Gateways. It returns
// nil if the service has no weights or no configuration is known yet. It is a pure function.
func Assign(c *catalog.Catalog, service string, now time.Time) *Assignment {
	if c.Config == nil {
		return nil
	}
	s, ok := c.Config.Services[service]
	if !ok || s.Model == "" {
		return nil
	}
	a := &Assignment{
		At: c.Position, Model: s.Model, Origin: s.Origin, OriginRate: s.OriginRate,
		VersionBytes: s.Engine.Chunks * s.Engine.ChunkBytes,
	}
	newest := uint64(initialVersion)
	for _, u := range c.UpstreamsOf(service) {
		newest = max(newest, u.Version)
		a.Replicas = append(a.Replicas, Replica{Addr: u.Addr, Hall: u.Hall, Version: u.Version, Leaving: u.Leaving})
	}
	slices.SortFunc(a.Replicas, func(x, y Replica) int { return strings.Compare(x.Addr, y.Addr) })
	a.Version = newest
	if w, ok := c.Targets[s.Model]; ok && w.Version >= newest {
		a.Version = w.Version
		for _, step := range w.Changes {
			a.Steps = append(a.Steps, Step{Version: step.Version, Age: now.Sub(step.SetAt), Named: step.SetAt})
		}
	}
	return a
}

// SameForAgent reports whether an agent need not be sent b after a: the position and the ages
// of steps are not compared.
func (a *Assignment) SameForAgent(b *Assignment) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Origin == b.Origin && a.OriginRate == b.OriginRate &&
		a.VersionBytes == b.VersionBytes && a.ReportTargets == b.ReportTargets && slices.EqualFunc(a.Steps, b.Steps, sameStep) && slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.Gateways, b.Gateways) &&
		slices.EqualFunc(a.Quarantined, b.Quarantined, sameKey)
}

func sameKey(a, b quarantine.Report) bool { return a.Key == b.Key }

// sameStep reports whether two steps are equal to an agent. A time that differs by less than
// the tolerance is not worth another message.
func sameStep(a, b Step) bool {
	const tolerance = 50 * time.Millisecond
	return a.Version == b.Version && a.Named.Sub(b.Named).Abs() < tolerance
}

// UrgentChange reports whether b differs from a in more than the lists of replicas and
// gateways, or has no gateways.
func (a *Assignment) UrgentChange(b *Assignment) bool {
	return a.Model != b.Model || a.Version != b.Version || a.Origin != b.Origin || len(b.Gateways) == 0
}
