package mirror

import (
	"sync"
	"time"

	"github.com/poststand/poststand/internal/times"
)

// Record is one value and the revision of its last change.
type Record struct {
	Key   string
	Value []byte
	Rev   uint64
	Gone  bool // Deleted at Rev.
	// NotBefore is a time before which the change was not made: a lower bound, and further
	// back is always safe. It is zero if nothing is proved, by this process's clock, and
	// travels as an age.
	NotBefore time.Time `msgpack:"-"`
	// GapNotBefore is the same of any change between this one and the one before it that is
	// known.
	GapNotBefore time.Time `msgpack:"-"`
	// Doubted is a time before which this process takes the change not to have been made,
	// for want of proof: an allowance and no bound. Others are not told of it.
	Doubted time.Time `msgpack:"-"`
	// Earlier are the key's changes before this one, the oldest first, where
	// Mirror.Keeps holds. They have neither Key nor Earlier.
	Earlier []Record
}

// Delta is what a reader at revision Base lacks up to revision At.
type Delta struct {
	Base    uint64
	At      uint64
	Whole   bool // Records are all that exist; whatever else the reader has is gone.
	Records []Record
	// NotBefore is a time before which nothing that the reader lacked was made, as is proved,
	// and Doubted one before which it takes nothing to have been made. Records that it has
	// already may be older.
	NotBefore time.Time `msgpack:"-"`
	Doubted   time.Time `msgpack:"-"`
}

// PassedOver returns how many records of a delta that was applied are not what the mirror
// holds, and the key of one of them.
func (m *Mirror) PassedOver(d Delta) (n int, key string) {
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
	// Keeps reports for which keys a record remembers the changes before it; if nil, for all.
	Keeps func(key string) bool

	mu      sync.Mutex
	at      uint64 // Every change up to it is in records; never falls.
	floor   uint64 // Deletions up to it may have been forgotten.
	gone    int
	records map[string]Record
	kept    map[string]bool // Keys of records that remember the changes before them.
	changed chan struct{}   // Closed and replaced at each change.
}

func (m *Mirror) init() {
	if m.records == nil {
		m.records, m.kept = map[string]Record{}, map[string]bool{}
		m.changed = make(chan struct{})
	}
}

// Apply takes a delta. One that starts after the mirror's revision would leave
// a gap and is refused; one that ends before it changes nothing. It reports
// whether the mirror now holds every change up to d.At.
func (m *Mirror) Apply(d Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	if !d.Whole && d.Base > m.at {
		return false
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

// put takes a record of a delta.
func (m *Mirror) put(r Record, d Delta) bool {
	old, ok := m.records[r.Key]
	keeps := m.Keeps == nil || m.Keeps(r.Key)
	if ok && old.Rev == r.Rev && keeps {
		return m.learn(old, r)
	}
	if r.Rev <= m.at {
		return false // It is here already, or what overtook it is, which may be a deletion that was forgotten.
	}
	if ok && old.Rev >= r.Rev {
		return false
	}
	if ok && old.Gone {
		m.gone--
	}
	if r.Gone {
		m.gone++
	}
	r.NotBefore, r.Doubted = times.Later(r.NotBefore, d.NotBefore), d.Doubted
	if keeps {
		r.GapNotBefore = times.Later(r.GapNotBefore, d.NotBefore)
		r = joined(old, r.doubted(d.Doubted))
		m.kept[r.Key] = true
	}
	m.records[r.Key] = r
	if m.gone > maxGone {
		m.forget()
	}
	return true
}

// learn takes what another process knows of a record that is here, and reports whether
// anything of it is new.
func (m *Mirror) learn(old, r Record) bool {
	r = joined(old, r)
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
		if !kept[k] && !r.Gone && r.Rev <= d.At {
			m.records[k] = Record{Key: k, Rev: d.At, Gone: true}
			m.gone++
			changed = true
		}
	}
	return changed
}

func (m *Mirror) forget() {
	for k, r := range m.records {
		if r.Gone {
			m.floor = max(m.floor, r.Rev)
			delete(m.records, k)
			delete(m.kept, k)
		}
	}
	m.gone = 0
}

// Since returns what a reader at a revision lacks.
func (m *Mirror) Since(rev uint64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Base: rev, At: m.at, Whole: rev < m.floor || rev == 0}
	for _, r := range m.records {
		if r.Rev > rev && !d.Whole || d.Whole && !r.Gone {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// Watch returns the mirror's revision and a channel that is closed at the next
// change.
func (m *Mirror) Watch() (uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	return m.at, m.changed
}

// At returns the revision up to which the mirror holds every change.
func (m *Mirror) At() uint64 {
	at, _ := m.Watch()
	return at
}

// Records returns the records that exist, by key, and their revision.
func (m *Mirror) Records() (map[string]Record, uint64) {
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
