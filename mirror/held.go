package mirror

import (
	"bytes"
	"math"
	"time"
)

// Forever is how long a record outlasts a copy that nothing but news ends.
const Forever = time.Duration(math.MaxInt64)

// HoldPolicy tells for how long what was known of a key, before a service came back from a copy,
// holds against what the service says of it since, or 0 where it does not. If the service lacks
// the key, said is Gone; if what was known is that it was deleted, known is.
type HoldPolicy func(known, said Record) time.Duration

// HeldRecord is a record that holds against what the service says of its key since it came back from
// a copy.
type HeldRecord struct {
	Record
	Until time.Time // It holds no longer than this; zero if only news ends it.
}

// holding is what a Mirror knows of a record that it holds.
type holding struct {
	said  Record    // What the service says instead; Gone if it lacks the key.
	until time.Time // See Held.
}

// ends reports whether a time alone ends it.
func (h holding) ends() bool { return !h.until.IsZero() }

// lacking stands for what a service that lacks a key says of it.
func lacking(key string, at Position) Record { return Record{Key: key, Rev: at, Gone: true} }

// Kinds of a Note.
const (
	EventNewEra   = "era"      // The service came back from a copy.
	EventHeld     = "held"     // A record outlasts what the service says.
	EventReleased = "released" // What the service says is taken again.
)

// Event tells of what a Mirror made of a copy.
type Event struct {
	Kind      string
	Key       string
	Known     Record // What was known; for NoteEra only its Rev.
	Published Record // What the service says; Gone if it lacks the key.
	Until     time.Time
	HeldCount int // Records that are held, after NoteEra.
}

func (m *Mirror) note(n Event) {
	if m.OnEvent != nil {
		m.OnEvent(n)
	}
}

func (m *Mirror) outlasts(known, said Record) time.Duration {
	if m.HoldPolicy == nil || known.Rev == 0 {
		return 0
	}
	return m.HoldPolicy(known, said)
}

// enterEra takes a whole of a later era. What outlasts the copy is held against it.
func (m *Mirror) enterEra(d Delta, now time.Time) {
	before := m.at
	m.held = map[string]holding{}
	m.declined = map[string]Position{}
	told := make(map[string]bool, len(d.Records))
	for _, r := range d.Records {
		told[r.Key] = true
		m.compare(m.records[r.Key], r, d, now)
	}
	for key, old := range m.records {
		if !told[key] && !old.Gone {
			m.compare(old, lacking(key, d.At), d, now)
		}
	}
	m.at, m.floor, m.entered = d.At, d.At, d.At
	m.note(Event{Kind: EventNewEra, Known: Record{Rev: before}, Published: Record{Rev: d.At}, HeldCount: len(m.held)})
}

// compare takes what a later era says of a key, unless what is known of it is the same change
// or outlasts that.
func (m *Mirror) compare(old, r Record, d Delta, now time.Time) {
	if old.sameChange(&r) {
		old.FirstKnownAt = old.FirstPosition()
		old.Rev = max(old.Rev, r.Rev)
		m.set(old)
		m.holdAsTold(old, d)
		if r.Rev = old.Rev; m.keeps(r.Key) {
			m.learn(old, r)
		}
		return
	}
	if f := m.outlasts(old, r); f > 0 {
		m.hold(old, r, f, now)
		return
	}
	if r.Rev <= old.Rev {
		// Another process holds it, and here it was overtaken by one that is lost.
		r.Rev = min(d.At, NewPosition(d.At.Era(), r.Rev.Revision()))
	}
	m.take(old, r, d)
}

// sameChange reports whether two records of a key are of one change, which a copy had.
func (r *Record) sameChange(o *Record) bool {
	return r.Rev.Revision() == o.Rev.Revision() && r.Gone == o.Gone && bytes.Equal(r.Value, o.Value)
}

func (m *Mirror) hold(known, said Record, f time.Duration, now time.Time) {
	h := holding{said: said}
	if f < Forever {
		h.until = now.Add(f)
		time.AfterFunc(f, m.expireNow)
	}
	m.held[known.Key] = h
	m.note(Event{Kind: EventHeld, Key: known.Key, Known: known, Published: said, Until: h.until})
}

// holdAsTold holds a record of an era before that of a whole, as who told of the whole does.
func (m *Mirror) holdAsTold(r Record, d Delta) {
	if r.Rev.Era() < d.At.Era() {
		m.held[r.Key] = holding{said: lacking(r.Key, d.At)}
	}
}

// release ends that a record is held, where it is.
func (m *Mirror) release(key string) {
	h, ok := m.held[key]
	if !ok {
		return
	}
	delete(m.held, key)
	m.note(Event{Kind: EventReleased, Key: key, Known: m.records[key], Published: h.said, Until: h.until})
}

// stillHeld reports whether a record is held although a whole of the era lacks its key. It is
// not if the service had the key before, so that it was deleted.
func (m *Mirror) stillHeld(r Record) bool {
	h, ok := m.held[r.Key]
	if !ok || !h.said.Gone {
		return false
	}
	if f := m.outlasts(r, h.said); !h.ends() && f < Forever {
		h.until = time.Now().Add(f) // Who told of it knew what the service says, and this process does not.
		time.AfterFunc(f, m.expireNow)
		m.held[r.Key] = h
	}
	return true
}

func (m *Mirror) expireNow() { m.expire(time.Now()) }

// expire takes what the service says in the place of records whose time is over.
func (m *Mirror) expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for key, h := range m.held {
		if !h.ends() || now.Before(h.until) {
			continue
		}
		m.release(key)
		old := m.records[key]
		if !h.said.Gone {
			m.take(old, h.said, Delta{})
		} else if !old.Gone {
			m.set(Record{Key: key, Value: old.Value, Rev: m.at, Gone: true})
		}
		changed = true
	}
	if changed {
		m.wake()
	}
}

// HeldRecords returns the records that are held.
func (m *Mirror) HeldRecords() []HeldRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []HeldRecord
	for key, h := range m.held {
		out = append(out, HeldRecord{m.records[key], h.until})
	}
	return out
}

// NeedsHeld reports whether a record that another process holds may be news here.
func (m *Mirror) NeedsHeld(key string, at Position) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at > 0 && at.Era() < m.at.Era() && m.records[key].Rev != at && m.declined[key] != at
}

// maxDeclined bounds the records of others that are remembered as declined.
const maxDeclined = 4096

// Hold holds a record as another process does, unless something newer is known, and reports
// whether it does so.
func (m *Mirror) Hold(o HeldRecord, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.at == 0 || o.Rev.Era() >= m.at.Era() {
		return false
	}
	old := m.records[o.Key]
	h, isHeld := m.held[o.Key]
	said := old
	switch {
	case isHeld:
		said = h.said
	case old.Rev == 0 || old.Gone:
		said = lacking(o.Key, m.at)
	}
	left := m.outlasts(o.Record, said)
	if !o.Until.IsZero() {
		left = min(left, o.Until.Sub(now))
	}
	if left <= 0 || !m.outranks(&o.Record, &old, isHeld) {
		m.decline(o.Key, o.Rev)
		return false
	}
	r := o.Record
	if m.keeps(r.Key) {
		m.kept[r.Key] = true
		if isHeld && r.Rev > old.Rev {
			r = joined(old, r)
		}
	}
	m.set(r)
	m.hold(r, said, left, now)
	m.wake()
	return true
}

func (m *Mirror) decline(key string, at Position) {
	if len(m.declined) >= maxDeclined {
		m.declined = map[string]Position{}
	}
	m.declined[key] = at
}

// outranks reports whether a record that another process holds is to be held in the place of
// what is known here.
func (m *Mirror) outranks(o, old *Record, isHeld bool) bool {
	switch {
	case old.Rev == 0:
		return true
	case old.Gone:
		return o.Rev > old.Rev
	case m.outlasts(*o, *old) > 0:
		return !o.Gone || old.Rev <= m.entered // Since then it was written again.
	}
	return isHeld && o.Rev > old.Rev && m.outlasts(*old, *o) == 0
}
