package peers

import (
	"time"

	"github.com/poststand/poststand/mirror"
)

// records adds to a delta how old its records are.
func records(d mirror.Delta, now time.Time) *Records {
	r := &Records{Delta: d, Ages: make([]time.Duration, len(d.Records))}
	for i := range d.Records {
		rec := &d.Records[i]
		r.Ages[i] = now.Sub(rec.NotBefore)
		if rec.GapNotBefore.IsZero() && len(rec.Earlier) == 0 {
			continue
		}
		h := History{Record: i}
		for _, e := range rec.Earlier {
			h.EarlierAges = append(h.EarlierAges, now.Sub(e.NotBefore))
			h.GapAges = append(h.GapAges, now.Sub(e.GapNotBefore))
		}
		h.GapAges = append(h.GapAges, now.Sub(rec.GapNotBefore))
		r.Histories = append(r.Histories, h)
	}
	return r
}

// heardBy puts the times of records by this process's clock: asked is when they were asked
// for. An answer is made after it was asked for, so nothing is dated later than it was.
func (r *Records) heardBy(asked time.Time) {
	for i := range r.Delta.Records {
		if i < len(r.Ages) {
			r.Delta.Records[i].NotBefore = asked.Add(-r.Ages[i])
		}
	}
	for _, h := range r.Histories {
		if h.Record >= 0 && h.Record < len(r.Delta.Records) {
			h.heardBy(&r.Delta.Records[h.Record], asked)
		}
	}
}

func (h *History) heardBy(r *mirror.Record, asked time.Time) {
	if len(h.EarlierAges) != len(r.Earlier) || len(h.GapAges) != len(r.Earlier)+1 {
		r.Earlier = nil // It is no history of this record.
		return
	}
	for i := range r.Earlier {
		r.Earlier[i].NotBefore = asked.Add(-h.EarlierAges[i])
		r.Earlier[i].GapNotBefore = asked.Add(-h.GapAges[i])
	}
	r.GapNotBefore = asked.Add(-h.GapAges[len(r.Earlier)])
}

// datedFor is for how long gateways tell one another when a change was made, so that all
// count from the same time.
const datedFor = 10 * time.Second

func dates(rs []mirror.Record, now time.Time) []ChangeAge {
	var out []ChangeAge
	for _, r := range rs {
		out = append(out, ChangeAge{Key: r.Key, Rev: r.Rev, Age: now.Sub(r.NotBefore), GapAge: now.Sub(r.GapNotBefore)})
	}
	return out
}

// undated takes the times, and with them the changes before, off records that came unasked:
// what was long on its way, or lay in the socket while this process stood still, is older
// than its age says.
func (r *Records) undated() {
	for i := range r.Delta.Records {
		r.Delta.Records[i].Earlier = nil
	}
}
