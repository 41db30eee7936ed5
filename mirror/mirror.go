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
	// FirstKnownAt is the position at which this process first received the change, if that is
	// before Rev: the store was restored from a backup that contains the change. It is not sent.
	FirstKnownAt Position `msgpack:"-"`
	// NotBefore is a proven lower bound of the time at which the change was made, by this
	// process's clock; an earlier bound is always safe. It is zero if nothing is proven, and is
	// sent as an age.
	NotBefore time.Time `msgpack:"-"`
	// GapNotBefore is the same bound for any change between this one and the previous known
	// one.
	GapNotBefore time.Time `msgpack:"-"`
	// AssumedNotBefore is the time before which this process assumes, without proof, that the
	// change was not made. It is an allowance rather than a bound, and is not sent.
	AssumedNotBefore time.Time `msgpack:"-"`
	// Earlier lists the key's previous changes, oldest first, for keys that
	// Mirror.KeepsHistory selects. Its records have neither Key nor Earlier.
	Earlier []Record
}

// FirstPosition returns the position at which this process first received the change.
func (r *Record) FirstPosition() Position {
	if r.FirstKnownAt > 0 {
		return r.FirstKnownAt
	}
	return r.Rev
}

// Delta holds the changes that take a reader from position Base to position At.
type Delta struct {
	Base    Position
	At      Position
	Whole   bool // A full snapshot: keys that Records does not list do not exist.
	Records []Record
	// NotBefore is a proven lower bound of the times of all changes that the reader did not have,
	// and AssumedNotBefore an assumed one. Records that it has already may be older.
	NotBefore        time.Time `msgpack:"-"`
	AssumedNotBefore time.Time `msgpack:"-"`
}

// NotApplied returns how many records of an applied delta differ from those that the mirror
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

// Bytes returns the total size of the keys and values of d.
func (d *Delta) Bytes() int {
	n := 0
	for _, r := range d.Records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// maxTombstones bounds the number of deleted records that a Mirror keeps. A reader whose position is
// before the evicted ones receives a full snapshot.
const maxTombstones = 4096

// Mirror is a copy of published records. The zero value is an empty mirror. Its methods
// are safe for concurrent use.
type Mirror struct {
	// KeepsHistory reports whether records of a key keep their previous changes; if nil, all do.
	KeepsHistory func(key string) bool

	// HoldPolicy selects the records to hold when the store is restored; if nil, none are held.
	HoldPolicy HoldPolicy
	// OnEvent, if set, is called for each Event. It must not call the mirror.
	OnEvent func(Event)

	mu          sync.Mutex
	at          Position          // All changes up to here are in records; never decreases.
	floor       Position          // Deletions up to here may have been evicted.
	eraStart    Position          // Position of the first snapshot of the current era.
	tombstones  int               // Deleted records in records.
	records     map[string]Record // Deleted records keep their last value.
	historyKeys map[string]bool   // Keys whose records keep their history.
	// held has the records that are held in place of what the store publishes, by key. declined has
	// the positions of records that peers hold and this mirror rejected. Both are of the current era.
	held     map[string]holdState
	declined map[string]Position
	changed  chan struct{} // Closed and replaced on each change.
}

func (m *Mirror) init() {
	if m.records == nil {
		m.records, m.historyKeys = map[string]Record{}, map[string]bool{}
		m.held, m.declined = map[string]holdState{}, map[string]Position{}
		m.changed = make(chan struct{})
	}
}

// Apply applies a delta and reports whether the mirror now holds every change up to
// d.At. It refuses a delta that starts after the mirror's position, which would leave
// a gap, and an incremental delta of a later era. A delta that ends before the mirror's
// position changes at most the histories of records that the mirror has already.
func (m *Mirror) Apply(d Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	if !d.Whole && (d.Base > m.at || d.At.Era() > m.at.Era()) {
		return false
	}
	if d.Whole && m.at > 0 && d.At.Era() > m.at.Era() {
		m.enterEra(d, time.Now())
		m.notify()
		return true
	}
	if d.Whole && m.at == 0 {
		m.eraStart = d.At
	}
	changed := false
	for _, r := range d.Records {
		changed = m.applyRecord(r, d) || changed
	}
	if d.Whole && d.At >= m.at {
		changed = m.deleteUnlisted(d) || changed
	}
	if d.At > m.at {
		m.at = d.At
		changed = true
	}
	if changed {
		m.notify()
	}
	return true
}

func (m *Mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Mirror) keepsHistory(key string) bool { return m.KeepsHistory == nil || m.KeepsHistory(key) }

// applyRecord applies one record of a delta and reports whether the mirror changed.
func (m *Mirror) applyRecord(r Record, d Delta) bool {
	old, ok := m.records[r.Key]
	if ok && old.Rev == r.Rev && m.keepsHistory(r.Key) {
		return m.mergeHistory(old, r)
	}
	if r.Rev <= m.at {
		return false // Already applied, or superseded, possibly by a deletion that was evicted.
	}
	if ok && old.Rev >= r.Rev {
		return false
	}
	if !r.Gone && !old.Gone && old.Rev.Era() < r.Rev.Era() {
		if ttl := m.holdDuration(old, r); ttl > 0 {
			m.hold(old, r, ttl, time.Now())
			return false
		}
	}
	m.release(r.Key)
	m.replace(old, r, d)
	if m.tombstones > maxTombstones {
		m.evictTombstones()
	}
	return true
}

// replace stores a record of a delta in place of the previous one.
func (m *Mirror) replace(old, r Record, d Delta) {
	r.NotBefore, r.AssumedNotBefore = times.Later(r.NotBefore, d.NotBefore), d.AssumedNotBefore
	m.copyHold(r, d)
	if m.keepsHistory(r.Key) {
		r.GapNotBefore = times.Later(r.GapNotBefore, d.NotBefore)
		r = mergeRecords(old, r.withAssumedTimes(d.AssumedNotBefore))
		m.historyKeys[r.Key] = true
	}
	if r.Gone {
		r.Value = old.Value
	}
	m.set(r)
}

func (m *Mirror) set(r Record) {
	if m.records[r.Key].Gone {
		m.tombstones--
	}
	if r.Gone {
		m.tombstones++
	}
	m.records[r.Key] = r
}

// mergeHistory merges the history that another process has of a record held here, and reports
// whether any of it is new.
func (m *Mirror) mergeHistory(old, r Record) bool {
	r = mergeRecords(old, r)
	r.FirstKnownAt = old.FirstKnownAt
	m.records[r.Key] = r
	return !r.SameHistory(&old)
}

// deleteUnlisted deletes the records that a snapshot does not list. Records newer than the
// snapshot stay.
func (m *Mirror) deleteUnlisted(d Delta) bool {
	if d.At > m.at {
		m.floor = d.At // Deletions between the two positions are unknown.
	}
	listed := make(map[string]bool, len(d.Records))
	for _, r := range d.Records {
		listed[r.Key] = true
	}
	changed := false
	for k, r := range m.records {
		if listed[k] || r.Rev > d.At || m.stillHeld(r) {
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

func (m *Mirror) evictTombstones() {
	for k, r := range m.records {
		if _, isHeld := m.held[k]; r.Gone && !isHeld {
			m.floor = max(m.floor, r.Rev)
			delete(m.records, k)
			delete(m.historyKeys, k)
			m.tombstones--
		}
	}
}

// Since returns the changes after a position. It is a full snapshot where the deletions
// since then may have been evicted.
func (m *Mirror) Since(rev Position) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Base: rev, At: m.at, Whole: rev < m.floor || rev == 0}
	for key := range m.records {
		r := m.peerRecord(key)
		if r.Rev > rev && !d.Whole || d.Whole && !r.Gone {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// peerRecord returns the record of a key that is sent to other mirrors. A record that is held for a
// limited time is replaced by the published one: other mirrors would not notice when the hold expires.
func (m *Mirror) peerRecord(key string) Record {
	r := m.records[key]
	if h := m.held[key]; h.expires() {
		r = h.published
	}
	if r.Gone {
		r.Value = nil
	}
	return r
}

// Watch returns the mirror's position and a channel that is closed on the next
// change.
func (m *Mirror) Watch() (Position, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	return m.at, m.changed
}

// At returns the position up to which the mirror has applied every change.
func (m *Mirror) At() Position {
	at, _ := m.Watch()
	return at
}

// Records returns the existing records by key, and the mirror's position.
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
