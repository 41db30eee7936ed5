package mirror

import (
	"cmp"
	"slices"
	"time"

	"github.com/poststand/poststand/internal/times"
)

// maxEarlier bounds the number of previous changes that a record keeps.
const maxEarlier = 32

// WithHistory returns the records that keep a history and may have been changed after since,
// without their previous changes.
func (m *Mirror) WithHistory(since time.Time) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Record
	for key := range m.historyKeys {
		if r := m.records[key]; !r.Gone && r.NotBefore.After(since) {
			r.Earlier = nil
			out = append(out, r)
		}
	}
	return out
}

// UpdateNotBefore raises the lower bound of a record's time to the one that another process has
// of the same record. The other process's bound for unknown earlier changes (GapNotBefore) is not
// used: it covers the changes that the other process missed, and this one may have missed different
// ones. Using it made a gateway that was partitioned while two target versions were set assume the
// first to be 1.8 s younger than it was, and requests started on the superseded version up to 8.5 s
// after it was superseded, where 8 s are allowed.
func (m *Mirror) UpdateNotBefore(key string, rev Position, notBefore time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, ok := m.records[key]
	if !ok || old.Rev != rev || !m.historyKeys[key] {
		return
	}
	if m.mergeHistory(old, Record{Key: key, Rev: rev, Value: old.Value, NotBefore: notBefore}) {
		m.notify()
	}
}

// mergeRecords returns the newer of two records of a key with the combined history of both; a is
// the local one. Where both have a time of a change, both are lower bounds and the later one is
// tighter. Local changes keep their AssumedNotBefore.
func mergeRecords(a, b Record) Record {
	all := slices.Concat(a.history(), b.history())
	slices.SortStableFunc(all, func(x, y Record) int { return cmp.Compare(x.Rev, y.Rev) })
	var out []Record
	for _, r := range all {
		if n := len(out); n > 0 && out[n-1].Rev == r.Rev {
			out[n-1].NotBefore = times.Later(out[n-1].NotBefore, r.NotBefore)
			out[n-1].GapNotBefore = times.Later(out[n-1].GapNotBefore, r.GapNotBefore)
			continue
		}
		out = append(out, r)
	}
	for len(out) > maxEarlier+1 {
		out[1].GapNotBefore = times.Earlier(out[0].GapNotBefore, out[0].NotBefore) // The dropped change becomes part of the gap.
		out = out[1:]
	}
	newest := a
	if b.Rev >= a.Rev {
		newest = b
	}
	last := out[len(out)-1]
	newest.NotBefore, newest.GapNotBefore, newest.AssumedNotBefore, newest.Earlier = last.NotBefore, last.GapNotBefore, last.AssumedNotBefore, out[:len(out)-1]
	return newest
}

// history returns the known changes of the record's key, oldest first and ending with r
// itself; none for the zero record.
func (r Record) history() []Record {
	out := slices.Clone(r.Earlier)
	if r.Rev == 0 {
		return out
	}
	return append(out, Record{Value: r.Value, Rev: r.Rev, Gone: r.Gone, NotBefore: r.NotBefore, GapNotBefore: r.GapNotBefore, AssumedNotBefore: r.AssumedNotBefore})
}

// withAssumedTimes returns r with AssumedNotBefore of its previous changes set to at: this process
// received them only now.
func (r Record) withAssumedTimes(at time.Time) Record {
	r.Earlier = slices.Clone(r.Earlier)
	for i := range r.Earlier {
		r.Earlier[i].AssumedNotBefore = at
	}
	return r
}

// EarliestTime returns the earliest time at which the change may have been made: the later of the
// proven and the assumed lower bound.
func (r *Record) EarliestTime() time.Time { return times.Later(r.NotBefore, r.AssumedNotBefore) }

// GapEarliestTime is like EarliestTime for unknown changes between this one and the previous known
// one.
func (r *Record) GapEarliestTime() time.Time { return times.Later(r.GapNotBefore, r.AssumedNotBefore) }

// SameHistory reports whether two records of a key have the same changes with the same times.
func (r *Record) SameHistory(o *Record) bool {
	same := func(x, y Record) bool {
		return x.Rev == y.Rev && x.NotBefore.Equal(y.NotBefore) && x.GapNotBefore.Equal(y.GapNotBefore)
	}
	return same(*r, *o) && slices.EqualFunc(r.Earlier, o.Earlier, same)
}
