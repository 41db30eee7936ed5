package mirror

import (
	"bytes"
	"math"
	"time"
)

// Forever is the duration of a hold that ends only when the store publishes a record that the
// HoldPolicy prefers.
const Forever = time.Duration(math.MaxInt64)

// HoldPolicy returns for how long the record known before the store was restored from a backup is
// held in place of the one that the store publishes since, or 0 to use the published one. published
// is Gone if the store lacks the key, and known is Gone if the key had been deleted.
type HoldPolicy func(known, published Record) time.Duration

// HeldRecord is a record that is held in place of the one that the store publishes since it was
// restored from a backup.
type HeldRecord struct {
	Record
	Until time.Time // When the hold expires; zero if it has no time limit.
}

// holdState is the state of a record that a Mirror holds.
type holdState struct {
	published Record    // The store's record of the key; Gone if the store lacks the key.
	until     time.Time // See HeldRecord.Until.
}

// expires reports whether the hold has a time limit.
func (h holdState) expires() bool { return !h.until.IsZero() }

// tombstone returns a deleted record, for a key that the store lacks.
func tombstone(key string, at Position) Record { return Record{Key: key, Rev: at, Gone: true} }

// Kinds of an Event.
const (
	EventNewEra   = "era"      // The store was restored from a backup.
	EventHeld     = "held"     // A record is held in place of the published one.
	EventReleased = "released" // The hold ended; the published record is used again.
)

// Event reports how a Mirror handles a restore of the store.
type Event struct {
	Kind      string
	Key       string
	Known     Record // The record before the restore; for EventNewEra only Rev is set.
	Published Record // The store's record; Gone if the store lacks the key.
	Until     time.Time
	HeldCount int // Number of held records, for EventNewEra.
}

func (m *Mirror) emit(e Event) {
	if m.OnEvent != nil {
		m.OnEvent(e)
	}
}

func (m *Mirror) holdDuration(known, published Record) time.Duration {
	if m.HoldPolicy == nil || known.Rev == 0 {
		return 0
	}
	return m.HoldPolicy(known, published)
}

// enterEra applies a snapshot of a later era, and holds the records that the HoldPolicy selects.
func (m *Mirror) enterEra(d Delta, now time.Time) {
	before := m.at
	m.held = map[string]holdState{}
	m.declined = map[string]Position{}
	listed := make(map[string]bool, len(d.Records))
	for _, r := range d.Records {
		listed[r.Key] = true
		m.reconcile(m.records[r.Key], r, d, now)
	}
	for key, old := range m.records {
		if !listed[key] && !old.Gone {
			m.reconcile(old, tombstone(key, d.At), d, now)
		}
	}
	m.at, m.floor, m.eraStart = d.At, d.At, d.At
	m.emit(Event{Kind: EventNewEra, Known: Record{Rev: before}, Published: Record{Rev: d.At}, HeldCount: len(m.held)})
}

// reconcile replaces the known record of a key by that of a later era, unless both are the same
// change or the known one is to be held.
func (m *Mirror) reconcile(old, r Record, d Delta, now time.Time) {
	if old.sameChange(&r) {
		old.FirstKnownAt = old.FirstPosition()
		old.Rev = max(old.Rev, r.Rev)
		m.set(old)
		m.copyHold(old, d)
		if r.Rev = old.Rev; m.keepsHistory(r.Key) {
			m.mergeHistory(old, r)
		}
		return
	}
	if ttl := m.holdDuration(old, r); ttl > 0 {
		m.hold(old, r, ttl, now)
		return
	}
	if r.Rev <= old.Rev {
		// Another process holds r, and here a change that the restore lost superseded it.
		r.Rev = min(d.At, NewPosition(d.At.Era(), r.Rev.Revision()))
	}
	m.replace(old, r, d)
}

// sameChange reports whether two records of a key, before and after a restore, are the same change.
func (r *Record) sameChange(o *Record) bool {
	return r.Rev.Revision() == o.Rev.Revision() && r.Gone == o.Gone && bytes.Equal(r.Value, o.Value)
}

func (m *Mirror) hold(known, published Record, ttl time.Duration, now time.Time) {
	h := holdState{published: published}
	if ttl < Forever {
		h.until = now.Add(ttl)
		time.AfterFunc(ttl, m.expireNow)
	}
	m.held[known.Key] = h
	m.emit(Event{Kind: EventHeld, Key: known.Key, Known: known, Published: published, Until: h.until})
}

// copyHold holds a record whose era is before that of the delta, as the sender of the delta does.
func (m *Mirror) copyHold(r Record, d Delta) {
	if r.Rev.Era() < d.At.Era() {
		m.held[r.Key] = holdState{published: tombstone(r.Key, d.At)}
	}
}

// release ends the hold of a key, if there is one.
func (m *Mirror) release(key string) {
	h, ok := m.held[key]
	if !ok {
		return
	}
	delete(m.held, key)
	m.emit(Event{Kind: EventReleased, Key: key, Known: m.records[key], Published: h.published, Until: h.until})
}

// stillHeld reports whether a record stays held although a snapshot of the same era lacks its key.
// It does not if the store had the key earlier in the era, since then the key was deleted.
func (m *Mirror) stillHeld(r Record) bool {
	h, ok := m.held[r.Key]
	if !ok || !h.published.Gone {
		return false
	}
	if ttl := m.holdDuration(r, h.published); !h.expires() && ttl < Forever {
		h.until = time.Now().Add(ttl) // The sender of the hold had the published record; this mirror lacks it.
		time.AfterFunc(ttl, m.expireNow)
		m.held[r.Key] = h
	}
	return true
}

func (m *Mirror) expireNow() { m.expire(time.Now()) }

// expire replaces the records whose hold has expired by the published ones.
func (m *Mirror) expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for key, h := range m.held {
		if !h.expires() || now.Before(h.until) {
			continue
		}
		m.release(key)
		old := m.records[key]
		if !h.published.Gone {
			m.replace(old, h.published, Delta{})
		} else if !old.Gone {
			m.set(Record{Key: key, Value: old.Value, Rev: m.at, Gone: true})
		}
		changed = true
	}
	if changed {
		m.notify()
	}
}

// HeldRecords returns the held records, in no order.
func (m *Mirror) HeldRecords() []HeldRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []HeldRecord
	for key, h := range m.held {
		out = append(out, HeldRecord{m.records[key], h.until})
	}
	return out
}

// NeedsHeld reports whether this mirror may lack a record that another process holds, so that it
// should be requested.
func (m *Mirror) NeedsHeld(key string, at Position) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at > 0 && at.Era() < m.at.Era() && m.records[key].Rev != at && m.declined[key] != at
}

// maxDeclined bounds the number of peers' held records that are remembered as declined.
const maxDeclined = 4096

// Hold holds a record that another process holds, unless the mirror has a newer one, and reports
// whether it does.
func (m *Mirror) Hold(o HeldRecord, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.at == 0 || o.Rev.Era() >= m.at.Era() {
		return false
	}
	old := m.records[o.Key]
	h, isHeld := m.held[o.Key]
	published := old
	switch {
	case isHeld:
		published = h.published
	case old.Rev == 0 || old.Gone:
		published = tombstone(o.Key, m.at)
	}
	remaining := m.holdDuration(o.Record, published)
	if !o.Until.IsZero() {
		remaining = min(remaining, o.Until.Sub(now))
	}
	if remaining <= 0 || !m.supersedes(&o.Record, &old, isHeld) {
		m.decline(o.Key, o.Rev)
		return false
	}
	r := o.Record
	if m.keepsHistory(r.Key) {
		m.historyKeys[r.Key] = true
		if isHeld && r.Rev > old.Rev {
			r = mergeRecords(old, r)
		}
	}
	m.set(r)
	m.hold(r, published, remaining, now)
	m.notify()
	return true
}

func (m *Mirror) decline(key string, at Position) {
	if len(m.declined) >= maxDeclined {
		m.declined = map[string]Position{}
	}
	m.declined[key] = at
}

// supersedes reports whether a record o that another process holds is to be held in place of the
// local record old.
func (m *Mirror) supersedes(o, old *Record, isHeld bool) bool {
	switch {
	case old.Rev == 0:
		return true
	case old.Gone:
		return o.Rev > old.Rev
	case m.holdDuration(*o, *old) > 0:
		return !o.Gone || old.Rev <= m.eraStart // Otherwise the key was written again after its deletion.
	}
	return isHeld && o.Rev > old.Rev && m.holdDuration(*old, *o) == 0
}
