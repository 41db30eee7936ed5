package peers

import (
	"time"

	"github.com/poststand/poststand/mirror"
)

// newRecords returns a delta with the ages of its records.
func newRecords(d mirror.Delta, now time.Time) *Records {
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

// setTimes converts the ages of records to times by this process's clock. The answer was
// produced after requestedAt, so a time computed by subtracting an age from it is never too
// late.
func (r *Records) setTimes(requestedAt time.Time) {
	for i := range r.Delta.Records {
		if i < len(r.Ages) {
			r.Delta.Records[i].NotBefore = requestedAt.Add(-r.Ages[i])
		}
	}
	for _, h := range r.Histories {
		if h.Record >= 0 && h.Record < len(r.Delta.Records) {
			h.setTimes(&r.Delta.Records[h.Record], requestedAt)
		}
	}
}

func (h *History) setTimes(r *mirror.Record, requestedAt time.Time) {
	if len(h.EarlierAges) != len(r.Earlier) || len(h.GapAges) != len(r.Earlier)+1 {
		r.Earlier = nil // It does not belong to this record.
		return
	}
	for i := range r.Earlier {
		r.Earlier[i].NotBefore = requestedAt.Add(-h.EarlierAges[i])
		r.Earlier[i].GapNotBefore = requestedAt.Add(-h.GapAges[i])
	}
	r.GapNotBefore = requestedAt.Add(-h.GapAges[len(r.Earlier)])
}

// changeAgesFor is how long gateways exchange the ages of a change, so that all time it from
// the same moment.
const changeAgesFor = 10 * time.Second

func changeAges(rs []mirror.Record, now time.Time) []ChangeAge {
	var out []ChangeAge
	for _, r := range rs {
		out = append(out, ChangeAge{Key: r.Key, Rev: r.Rev, Age: now.Sub(r.NotBefore), GapAge: now.Sub(r.GapNotBefore)})
	}
	return out
}

// dropHistory removes the earlier changes from records that were received unsolicited. The ages
// of such records are not used either: if the message was delayed, or waited in the socket while
// this process was paused, they are too low.
func (r *Records) dropHistory() {
	for i := range r.Delta.Records {
		r.Delta.Records[i].Earlier = nil
	}
}
