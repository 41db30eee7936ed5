package mirror

import (
	"sync"
	"time"

	"github.com/poststand/poststand/internal/times"
)

// Record is one value and the position of its last change.
type Record struct {
	Key   string
	Value []byte
	Rev   Position
	Gone  bool // Deleted at Rev.
	// FirstKnownAt is the position at which this process first knew of the change, if that is before
	// Rev: the service came back from a copy that has the change. Others are not told of it.
	FirstKnownAt Position `msgpack:"-"`
	// NotBefore is a time before which the change was not made: a lower bound, and further
	// back is always safe. It is zero if nothing is proved, by this process's clock, and
	// travels as an age.
	NotBefore time.Time `msgpack:"-"`
	// GapNotBefore is the same of any change between this one and the one before it that is
	// known.
	GapNotBefore time.Time `msgpack:"-"`
	// AssumedNotBefore is a time before which this process takes the change not to have been made,
	// for want of proof: an allowance and no bound. Others are not told of it.
	AssumedNotBefore time.Time `msgpack:"-"`
	// Earlier are the key's changes before this one, the oldest first, where
	// Mirror.KeepsHistory holds. They have neither Key nor Earlier.
	Earlier []Record
}

// FirstPosition returns the position at which the change was first known.
func (r *Record) FirstPosition() Position {
	if r.FirstKnownAt > 0 {
		return r.FirstKnownAt
	}
	return r.Rev
}

// Delta is what a reader at position Base lacks up to position At.
type Delta struct {
	Base    Position
	At      Position
	Whole   bool // Records are all that exist; whatever else the reader has is gone.
	Records []Record
	// NotBefore is a time before which nothing that the reader lacked was made, as is proved,
	// and Doubted one before which it takes nothing to have been made. Records that it has
	// already may be older.
	NotBefore        time.Time `msgpack:"-"`
	AssumedNotBefore time.Time `msgpack:"-"`
}

// NotApplied returns how many records of a delta that was applied are not what the mirror
// holds, and the key of one of them.
func (m *Mirror) NotApplied(d Delta) (n int, key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range d.Records {
		if m.records[r.Key].Rev != r.Rev {
			n, key = n+1, r.Key
		}
	}
	return n, key
}

// Bytes returns the size of the values of d.
func (d *Delta) Bytes() int {
	n := 0
	for _, r := range d.Records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// maxGone bounds the deleted records that a Mirror remembers. A reader from
// before the forgotten ones is sent the whole.
const maxGone = 4096

// Mirror is a copy of published records. The zero value is empty. Methods are
// safe for use by many goroutines.
type Mirror struct {
	// KeepsHistory reports for which keys a record remembers the changes before it; if nil, for all.
	KeepsHistory func(key string) bool

	// HoldPolicy says what holds when the service comes back from a copy; if nil, nothing does.
	HoldPolicy HoldPolicy
	// OnEvent, if set, is told what is made of a copy. It must not call the mirror.
	OnEvent func(Event)

	mu      sync.Mutex
	at      Position // Every change up to it is in records; never falls.
	floor   Position // Deletions up to it may have been forgotten.
	entered Position // Of the first whole of at's era.
	gone    int
	records map[string]Record // Deleted ones have the value that they had.
	kept    map[string]bool   // Keys of records that remember the changes before them.
	// held are the keys of records that hold against what the service says, and declined the
	// records that others hold and that do not here; of at's era.
	held     map[string]holding
	declined map[string]Position
	changed  chan struct{} // Closed and replaced at each change.
}

func (m *Mirror) init() {
	if m.records == nil {
		m.records, m.kept = map[string]Record{}, map[string]bool{}
		m.held, m.declined = map[string]holding{}, map[string]Position{}
		m.changed = make(chan struct{})
	}
}

// Apply takes a delta. One that starts after the mirror's position would leave a
// gap and is refused, and so is one of a later era that is not whole; one that ends
// before it changes nothing. It reports whether the mirror now holds every change
// up to d.At.
func (m *Mirror) Apply(d Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	if !d.Whole && (d.Base > m.at || d.At.Era() > m.at.Era()) {
		return false
	}
	if d.Whole && m.at > 0 && d.At.Era() > m.at.Era() {
		m.enterEra(d, time.Now())
		m.wake()
		return true
	}
	if d.Whole && m.at == 0 {
		m.entered = d.At
	}
	changed := false
	for _, r := range d.Records {
		changed = m.put(r, d) || changed
	}
	if d.Whole && d.At >= m.at {
		changed = m.dropOthers(d) || changed
	}
	if d.At > m.at {
		m.at = d.At
		changed = true
	}
	if changed {
		m.wake()
	}
	return true
}

func (m *Mirror) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Mirror) keeps(key string) bool { return m.KeepsHistory == nil || m.KeepsHistory(key) }

// put takes a record of a delta.
func (m *Mirror) put(r Record, d Delta) bool {
	old, ok := m.records[r.Key]
	if ok && old.Rev == r.Rev && m.keeps(r.Key) {
		return m.learn(old, r)
	}
	if r.Rev <= m.at {
		return false // It is here already, or what overtook it is, which may be a deletion that was forgotten.
	}
	if ok && old.Rev >= r.Rev {
		return false
	}
	if !r.Gone && !old.Gone && old.Rev.Era() < r.Rev.Era() {
		if f := m.outlasts(old, r); f > 0 {
			m.hold(old, r, f, time.Now())
			return false
		}
	}
	m.release(r.Key)
	m.take(old, r, d)
	if m.gone > maxGone {
		m.forget()
	}
	return true
}

// take has a record of a delta in the place of the one before it.
func (m *Mirror) take(old, r Record, d Delta) {
	r.NotBefore, r.AssumedNotBefore = times.Later(r.NotBefore, d.NotBefore), d.AssumedNotBefore
	m.holdAsTold(r, d)
	if m.keeps(r.Key) {
		r.GapNotBefore = times.Later(r.GapNotBefore, d.NotBefore)
		r = joined(old, r.doubted(d.AssumedNotBefore))
		m.kept[r.Key] = true
	}
	if r.Gone {
		r.Value = old.Value
	}
	m.set(r)
}

func (m *Mirror) set(r Record) {
	if m.records[r.Key].Gone {
		m.gone--
	}
	if r.Gone {
		m.gone++
	}
	m.records[r.Key] = r
}

// learn takes what another process knows of a record that is here, and reports whether
// anything of it is new.
func (m *Mirror) learn(old, r Record) bool {
	r = joined(old, r)
	r.FirstKnownAt = old.FirstKnownAt
	m.records[r.Key] = r
	return !r.SameHistory(&old)
}

// dropOthers deletes what a whole does not hold. A record that is newer than the
// whole is kept.
func (m *Mirror) dropOthers(d Delta) bool {
	if d.At > m.at {
		m.floor = d.At // What was deleted on the way here is not known.
	}
	kept := make(map[string]bool, len(d.Records))
	for _, r := range d.Records {
		kept[r.Key] = true
	}
	changed := false
	for k, r := range m.records {
		if kept[k] || r.Rev > d.At || m.stillHeld(r) {
			continue
		}
		m.release(k)
		if !r.Gone {
			m.set(Record{Key: k, Value: r.Value, Rev: d.At, Gone: true})
			changed = true
		}
	}
	return changed
}

func (m *Mirror) forget() {
	for k, r := range m.records {
		if _, isHeld := m.held[k]; r.Gone && !isHeld {
			m.floor = max(m.floor, r.Rev)
			delete(m.records, k)
			delete(m.kept, k)
			m.gone--
		}
	}
}

// Since returns what a reader at a position lacks.
func (m *Mirror) Since(rev Position) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Base: rev, At: m.at, Whole: rev < m.floor || rev == 0}
	for key := range m.records {
		r := m.told(key)
		if r.Rev > rev && !d.Whole || d.Whole && !r.Gone {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// told is what other mirrors are told of a key. What is held for a while is left out: they would
// not learn of its end.
func (m *Mirror) told(key string) Record {
	r := m.records[key]
	if h := m.held[key]; h.ends() {
		r = h.said
	}
	if r.Gone {
		r.Value = nil
	}
	return r
}

// Watch returns the mirror's position and a channel that is closed at the next
// change.
func (m *Mirror) Watch() (Position, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	return m.at, m.changed
}

// At returns the position up to which the mirror holds every change.
func (m *Mirror) At() Position {
	at, _ := m.Watch()
	return at
}

// Records returns the records that exist, by key, and their position.
func (m *Mirror) Records() (map[string]Record, Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Record, len(m.records))
	for k, r := range m.records {
		if !r.Gone {
			out[k] = r
		}
	}
	return out, m.at
}
