package mirror

import (
	"cmp"
	"slices"
	"time"

	"github.com/poststand/poststand/internal/times"
)

// maxEarlier bounds the changes of a key that a record remembers.
const maxEarlier = 32

// WithHistory returns the records that remember the changes before them and may have been made
// since a time, without what was before.
func (m *Mirror) WithHistory(since time.Time) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Record
	for key := range m.kept {
		if r := m.records[key]; !r.Gone && r.NotBefore.After(since) {
			r.Earlier = nil
			out = append(out, r)
		}
	}
	return out
}

// UpdateNotBefore takes what another process knows of when a record was made that is here as well. What
// the other knows of changes before it is not taken: it is of those that the other has not
// seen, and here others may be missing. Where it was taken, a gateway that had been cut off
// over two namings took the first to be 1.8 s younger than it was, and requests began on the
// version before 8.5 s after it, of 8 s.
func (m *Mirror) UpdateNotBefore(key string, rev Position, notBefore time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, ok := m.records[key]
	if !ok || old.Rev != rev || !m.kept[key] {
		return
	}
	if m.learn(old, Record{Key: key, Rev: rev, Value: old.Value, NotBefore: notBefore}) {
		m.wake()
	}
}

// joined returns the newer one of two records of a key with all that either knows of the
// changes before it; a is what is here. Two times of a change are both lower bounds, so the
// later one is nearer. What is here keeps its doubt.
func joined(a, b Record) Record {
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
		out[1].GapNotBefore = times.Earlier(out[0].GapNotBefore, out[0].NotBefore) // It is one that is not known now.
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

// history returns the changes of a record's key that it knows, itself the last; none for
// the zero record.
func (r Record) history() []Record {
	out := slices.Clone(r.Earlier)
	if r.Rev == 0 {
		return out
	}
	return append(out, Record{Value: r.Value, Rev: r.Rev, Gone: r.Gone, NotBefore: r.NotBefore, GapNotBefore: r.GapNotBefore, AssumedNotBefore: r.AssumedNotBefore})
}

// doubted returns r with changes before it that this process heard of only now.
func (r Record) doubted(at time.Time) Record {
	r.Earlier = slices.Clone(r.Earlier)
	for i := range r.Earlier {
		r.Earlier[i].AssumedNotBefore = at
	}
	return r
}

// EarliestTime is the time that the change counts as made: not later than it was, where that is
// known, and not longer ago than this process doubts.
func (r *Record) EarliestTime() time.Time { return times.Later(r.NotBefore, r.AssumedNotBefore) }

// GapEarliestTime is MadeBy of any change before it that is not known.
func (r *Record) GapEarliestTime() time.Time { return times.Later(r.GapNotBefore, r.AssumedNotBefore) }

// SameHistory reports whether two records of a key know the same of its changes.
func (r *Record) SameHistory(o *Record) bool {
	same := func(x, y Record) bool {
		return x.Rev == y.Rev && x.NotBefore.Equal(y.NotBefore) && x.GapNotBefore.Equal(y.GapNotBefore)
	}
	return same(*r, *o) && slices.EqualFunc(r.Earlier, o.Earlier, same)
}
