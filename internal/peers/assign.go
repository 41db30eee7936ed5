package peers

import (
	"slices"
	"strings"
	"time"

	"github.com/poststand/poststand/catalog"
	"github.com/poststand/poststand/quarantine"
)

// firstVersion is what replicas may hold before any version was named.
const firstVersion = 1

// Assign works out what concerns the replicas of a service, or returns nil where
// the service has no weights or nothing is known yet. It knows no gateways. It is pure.
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
	newest := uint64(firstVersion)
	for _, u := range c.UpstreamsOf(service) {
		newest = max(newest, u.Version)
		a.Replicas = append(a.Replicas, Replica{Addr: u.Addr, Hall: u.Hall, Version: u.Version, Leaving: u.Leaving})
	}
	slices.SortFunc(a.Replicas, func(x, y Replica) int { return strings.Compare(x.Addr, y.Addr) })
	a.Version = newest
	if w, ok := c.Targets[s.Model]; ok && w.Version >= newest {
		a.Version = w.Version
		for _, s := range w.Changes {
			a.Steps = append(a.Steps, Step{Version: s.Version, Age: now.Sub(s.SetAt), Named: s.SetAt})
		}
	}
	return a
}

// SameForAgent reports whether two assignments say the same to an agent: how old they
// are, and by which revision, is no difference.
func (a *Assignment) SameForAgent(b *Assignment) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Origin == b.Origin && a.OriginRate == b.OriginRate &&
		a.VersionBytes == b.VersionBytes && a.ReportTargets == b.ReportTargets && slices.EqualFunc(a.Steps, b.Steps, sameStep) && slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.Gateways, b.Gateways) &&
		slices.EqualFunc(a.Quarantined, b.Quarantined, sameKey)
}

func sameKey(a, b quarantine.Report) bool { return a.Key == b.Key }

// sameStep reports whether two namings are the same to an agent: it need not be told of a
// time that is hardly nearer.
func sameStep(a, b Step) bool {
	const near = 50 * time.Millisecond
	return a.Version == b.Version && a.Named.Sub(b.Named).Abs() < near
}

// UrgentChange reports whether b differs from a in more than who else there is.
func (a *Assignment) UrgentChange(b *Assignment) bool {
	return a.Model != b.Model || a.Version != b.Version || a.Origin != b.Origin || len(b.Gateways) == 0
}
