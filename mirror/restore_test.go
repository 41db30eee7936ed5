package mirror

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// service is a store that publishes records and is restored from backups.
type service struct {
	era     uint64
	history []Record
}

func (s *service) at() Position { return NewPosition(s.era, uint64(len(s.history))) }

func (s *service) publish(t *rapid.T) {
	n := len(s.history) + 1
	s.history = append(s.history, Record{
		Key: fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key")), Value: []byte(fmt.Sprint(s.era, n)),
		Rev: NewPosition(s.era, uint64(n)), Gone: rapid.IntRange(0, 3).Draw(t, "gone") == 0,
	})
}

// restoreFromBackup drops the last changes and moves the others to a new era.
func (s *service) restoreFromBackup(changes int) {
	s.era++
	s.history = slices.Clone(s.history[:len(s.history)-changes])
	for i := range s.history {
		s.history[i].Rev = NewPosition(s.era, s.history[i].Rev.Revision())
	}
}

// values returns the existing values by key.
func (s *service) values() map[string]string {
	out := map[string]string{}
	for _, r := range s.history {
		out[r.Key] = string(r.Value)
		if r.Gone {
			delete(out, r.Key)
		}
	}
	return out
}

func (s *service) snapshot() Delta {
	d := Delta{At: s.at(), Whole: true}
	last := map[string]Record{}
	for _, r := range s.history {
		last[r.Key] = r
	}
	for _, r := range last {
		if !r.Gone {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// since returns the response to a watch, or false if the service does not have the position.
func (s *service) since(at Position) (Delta, bool) {
	if at.Era() != s.era || at.Revision() > uint64(len(s.history)) {
		return Delta{}, false
	}
	return Delta{Base: at, At: s.at(), Records: slices.Clone(s.history[at.Revision():])}, true
}

func values(m *Mirror) map[string]string {
	rs, _ := m.Records()
	out := map[string]string{}
	for k, r := range rs {
		out[k] = string(r.Value)
	}
	return out
}

// Mirrors that read the service at any time, and apply one another's deltas late, repeatedly and in
// any order, never move back to an older era, and hold exactly what exists when they reach the newest
// position.
func TestMirrorsConvergeWhenTheServiceComesBackFromCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &service{era: rapid.Uint64Range(0, 2).Draw(t, "first era")}
		s.publish(t)
		ms := []*Mirror{{}, {}, {}}
		var inFlight []Delta // Sent and not yet delivered; may be delivered more than once.
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m := ms[rapid.IntRange(0, len(ms)-1).Draw(t, "mirror")]
			before := m.At()
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				s.publish(t)
			case 2:
				s.restoreFromBackup(rapid.IntRange(0, min(6, len(s.history)-1)).Draw(t, "lost"))
			case 3:
				m.Apply(s.snapshot())
			case 4:
				if d, ok := s.since(before); ok && before > 0 {
					m.Apply(d)
				}
			case 5:
				d := ms[rapid.IntRange(0, len(ms)-1).Draw(t, "from")].Since(before)
				inFlight = append(inFlight, d)
			default:
				if len(inFlight) > 0 {
					m.Apply(inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "arrives")])
				}
			}
			if m.At() < before {
				t.Fatalf("position fell from %v to %v", before, m.At())
			}
			for i, m := range ms {
				if got, want := values(m), s.values(); m.At() == s.at() && !maps.Equal(got, want) {
					t.Fatalf("mirror %d at %v holds %v, want %v", i, m.At(), got, want)
				}
			}
		}
	})
}

// holdGreater holds a record without limit if its value is greater than the published one.
func holdGreater(known, published Record) time.Duration {
	if known.Gone || !published.Gone && string(published.Value) >= string(known.Value) {
		return 0
	}
	return Forever
}

func pos(era, revision uint64) Position { return NewPosition(era, revision) }

func rec(key, value string, at Position) Record {
	return Record{Key: key, Value: []byte(value), Rev: at}
}

// restoredMirror returns a mirror that had a record and then read a restored store.
func restoredMirror(policy HoldPolicy, known Record, restored ...Record) *Mirror {
	m := &Mirror{HoldPolicy: policy}
	m.Apply(Delta{Whole: true, At: known.Rev, Records: []Record{known}})
	m.Apply(Delta{Whole: true, At: pos(2, 7), Records: restored})
	return m
}

func TestWhatOutlastsACopyHoldsUntilItIsWrittenAgain(t *testing.T) {
	cases := []struct {
		name  string
		later []Record // Published after the restore.
		want  string
	}{
		{"the restored record alone", nil, "9"},
		{"an older one is written", []Record{rec("k", "8", pos(2, 8))}, "9"},
		{"the same is written", []Record{rec("k", "8", pos(2, 8)), rec("k", "9", pos(2, 9))}, "9"},
		{"a newer one is written", []Record{rec("k", "95", pos(2, 8))}, "95"},
		{"deleted", []Record{{Key: "k", Rev: pos(2, 8), Gone: true}}, ""},
		{"the same and then an older one are written", []Record{rec("k", "9", pos(2, 8)), rec("k", "3", pos(2, 9))}, "3"},
	}
	for _, restored := range [][]Record{nil, {rec("k", "5", pos(2, 5))}} {
		for _, c := range cases {
			t.Run(fmt.Sprint(c.name, len(restored)), func(t *testing.T) {
				is := is.New(t)
				m := restoredMirror(holdGreater, rec("k", "9", pos(1, 9)), restored...)
				for _, r := range c.later {
					is.True(m.Apply(Delta{Base: m.At(), At: r.Rev, Records: []Record{r}}))
				}
				is.Equal(values(m)["k"], c.want)
			})
		}
	}
}

// A process that starts receives the records held without a time limit in a snapshot.
func TestWhatIsHeldIsToldToThoseThatStart(t *testing.T) {
	is := is.New(t)
	m := restoredMirror(holdGreater, rec("k", "9", pos(1, 9)), rec("k", "5", pos(2, 5)))
	started := &Mirror{HoldPolicy: holdGreater}
	started.Apply(m.Since(0))
	is.Equal(values(started)["k"], "9")
	is.Equal(len(started.HeldRecords()), 1) // It can send the record to mirrors that read the restored store.
	reader := restoredMirror(holdGreater, rec("k", "9", pos(1, 9)), started.Since(0).Records...)
	is.Equal(len(reader.HeldRecords()), 1)
	started.Apply(Delta{Base: pos(2, 7), At: pos(2, 8), Records: []Record{rec("k", "6", pos(2, 8))}})
	is.Equal(values(started)["k"], "9")
}

func TestHoldOfPeerRecord(t *testing.T) {
	read := func(rs ...Record) *Mirror {
		m := &Mirror{HoldPolicy: holdGreater}
		m.Apply(Delta{Whole: true, At: pos(2, 7), Records: rs})
		return m
	}
	cases := []struct {
		name string
		m    *Mirror
		want string
	}{
		{"started on the restored store", read(rec("k", "5", pos(2, 5))), "9"},
		{"started on a restored store without it", read(rec("x", "1", pos(2, 5))), "9"},
		{"has it already", restoredMirror(holdGreater, rec("k", "9", pos(1, 9)), rec("k", "5", pos(2, 5))), "9"},
		{"holds an older one", restoredMirror(holdGreater, rec("k", "8", pos(1, 8)), rec("k", "5", pos(2, 5))), "9"},
		{"holds a newer one", restoredMirror(holdGreater, rec("k", "95", pos(1, 10)), rec("k", "5", pos(2, 5))), "95"},
		{"read a newer one", read(rec("k", "99", pos(2, 6))), "99"},
		{"empty", &Mirror{HoldPolicy: holdGreater}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			peerHeld := HeldRecord{Record: rec("k", "9", pos(1, 9))}
			c.m.Hold(peerHeld, epoch)
			is.Equal(values(c.m)["k"], c.want)
			is.True(c.m.At() == 0 || !c.m.NeedsHeld("k", peerHeld.Rev)) // It is not requested again.
		})
	}
	t.Run("deleted since", func(t *testing.T) {
		is := is.New(t)
		m := read(rec("k", "5", pos(2, 5)))
		m.Apply(Delta{Base: pos(2, 7), At: pos(2, 8), Records: []Record{{Key: "k", Rev: pos(2, 8), Gone: true}}})
		is.True(!m.Hold(HeldRecord{Record: rec("k", "9", pos(1, 9))}, epoch))
		is.Equal(len(values(m)), 0)
	})
	t.Run("of the current era", func(t *testing.T) {
		is := is.New(t)
		m := &Mirror{HoldPolicy: holdGreater}
		m.Apply(Delta{Whole: true, At: pos(1, 9), Records: []Record{rec("k", "8", pos(1, 8))}})
		is.True(!m.NeedsHeld("k", pos(1, 9)))
		is.True(!m.Hold(HeldRecord{Record: rec("k", "9", pos(1, 9))}, epoch))
	})
}

// holdOneSecond holds every record for a second, whatever the restored store publishes.
func holdOneSecond(known, published Record) time.Duration {
	if known.Gone && published.Gone {
		return 0
	}
	return time.Second
}

func TestRecordThatIsHeldForAWhileIsLeftToTheCopyAfterIt(t *testing.T) {
	is := is.New(t)
	m := &Mirror{HoldPolicy: holdOneSecond}
	m.Apply(Delta{Whole: true, At: pos(1, 8), Records: []Record{rec("deleted", "1", pos(1, 5)), rec("missing", "2", pos(1, 8))}})
	m.Apply(Delta{Base: pos(1, 8), At: pos(1, 9), Records: []Record{{Key: "deleted", Rev: pos(1, 9), Gone: true}}})
	m.Apply(Delta{Whole: true, At: pos(2, 7), Records: []Record{rec("deleted", "1", pos(2, 5))}})
	is.Equal(values(m), map[string]string{"missing": "2"})
	var other Mirror
	other.Apply(m.Since(0))
	is.Equal(values(&other), map[string]string{"deleted": "1"}) // Otherwise it would never receive the record.
	m.expire(time.Now())
	is.Equal(values(m), map[string]string{"missing": "2"})
	m.expire(time.Now().Add(time.Second))
	is.Equal(values(m), map[string]string{"deleted": "1"})
	is.Equal(len(m.HeldRecords()), 0)
}

func TestDeletedRecordThatIsWrittenAgainIsThere(t *testing.T) {
	is := is.New(t)
	m := &Mirror{HoldPolicy: holdOneSecond}
	m.Apply(Delta{Whole: true, At: pos(1, 8), Records: []Record{rec("k", "1", pos(1, 5))}})
	m.Apply(Delta{Base: pos(1, 8), At: pos(1, 9), Records: []Record{{Key: "k", Rev: pos(1, 9), Gone: true}}})
	m.Apply(Delta{Whole: true, At: pos(2, 7), Records: []Record{rec("k", "1", pos(2, 5))}})
	is.Equal(len(values(m)), 0)
	m.Apply(Delta{Base: pos(2, 7), At: pos(2, 8), Records: []Record{rec("k", "1", pos(2, 8))}})
	is.Equal(values(m)["k"], "1")
	is.True(!m.Hold(HeldRecord{Record: Record{Key: "k", Rev: pos(1, 9), Gone: true}}, time.Now())) // Another mirror still holds the deletion.
	is.Equal(values(m)["k"], "1")
}

func TestChangeThatACopyHasIsAsOldAsItWas(t *testing.T) {
	is := is.New(t)
	m := restoredMirror(nil, rec("k", "1", pos(1, 5)), rec("k", "1", pos(2, 5)), rec("l", "1", pos(2, 6)))
	rs, _ := m.Records()
	r := rs["k"]
	is.Equal(r.FirstPosition(), pos(1, 5))
	is.Equal(rs["k"].Rev, pos(2, 5)) // The position by which other mirrors receive it.
	r = rs["l"]
	is.Equal(r.FirstPosition(), pos(2, 6))
}

// A change that the restore lost and that is made again keeps the time of the first one in its
// history.
func TestRewrittenChangeKeepsTheTimeOfTheFirst(t *testing.T) {
	is := is.New(t)
	made, again := epoch, epoch.Add(9*time.Second)
	m := &Mirror{HoldPolicy: holdGreater}
	m.Apply(Delta{Whole: true, At: pos(1, 8), Records: []Record{rec("k", "1", pos(1, 5))}})
	m.Apply(Delta{Base: pos(1, 8), At: pos(1, 9), Records: []Record{rec("k", "2", pos(1, 9))}, NotBefore: made})
	m.Apply(Delta{Whole: true, At: pos(2, 8), Records: []Record{rec("k", "1", pos(2, 5))}, NotBefore: made.Add(time.Second)})
	m.Apply(Delta{Base: pos(2, 8), At: pos(2, 9), Records: []Record{rec("k", "2", pos(2, 9))}, NotBefore: again})
	rs, _ := m.Records()
	r := rs["k"]
	is.Equal(r.NotBefore, again)
	is.Equal(string(r.Earlier[len(r.Earlier)-1].Value), "2")
	is.Equal(r.Earlier[len(r.Earlier)-1].NotBefore, made)
}

func TestTwoRestoresInARow(t *testing.T) {
	is := is.New(t)
	m := restoredMirror(holdGreater, rec("k", "9", pos(1, 9)), rec("k", "5", pos(2, 5)))
	m.Apply(Delta{Whole: true, At: pos(5, 6), Records: []Record{rec("k", "4", pos(5, 4))}})
	is.Equal(m.At(), pos(5, 6))
	is.Equal(values(m)["k"], "9")
	is.True(m.Apply(Delta{Whole: true, At: pos(2, 30), Records: []Record{rec("k", "99", pos(2, 30))}})) // Delivered late.
	is.Equal(m.At(), pos(5, 6))
	is.Equal(values(m)["k"], "9")
	is.True(!m.Apply(Delta{Base: pos(2, 7), At: pos(6, 9), Records: []Record{rec("k", "99", pos(6, 9))}})) // Incremental across an era.
}

// An operator writes increasing versions, and rewrites the lost ones after each restore. Mirrors read
// the service and exchange deltas and held records. No mirror moves back to an older version, and in
// the end all have the newest version that any of them had.
func TestNoVersionThatWasKnownIsTakenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &service{era: 1}
		written, rewritten := 0, 0 // The newest version, and the last one rewritten after a restore.
		write := func(v int) {
			n := uint64(len(s.history) + 1)
			s.history = append(s.history, rec("k", fmt.Sprintf("%04d", v), NewPosition(s.era, n)))
		}
		publish := func() {
			if rewritten < written {
				rewritten++
				write(rewritten)
				return
			}
			written++
			rewritten = written
			write(written)
		}
		publish()
		ms := []*Mirror{{HoldPolicy: holdGreater}, {HoldPolicy: holdGreater}, {HoldPolicy: holdGreater}}
		exchange := func(from, to *Mirror) {
			for _, h := range from.HeldRecords() {
				to.Hold(h, epoch)
			}
			to.Apply(from.Since(to.At()))
		}
		highest := ""
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m := ms[rapid.IntRange(0, len(ms)-1).Draw(t, "mirror")]
			before := values(m)["k"]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				publish()
			case 2:
				lost := rapid.IntRange(0, min(4, len(s.history)-1)).Draw(t, "lost")
				s.restoreFromBackup(lost)
				fmt.Sscanf(string(s.history[len(s.history)-1].Value), "%d", &rewritten)
			case 3:
				m.Apply(s.snapshot())
			case 4:
				if d, ok := s.since(m.At()); ok && m.At() > 0 {
					m.Apply(d)
				}
			default:
				exchange(ms[rapid.IntRange(0, len(ms)-1).Draw(t, "from")], m)
			}
			now := values(m)["k"]
			if now < before {
				t.Fatalf("version fell from %s to %s", before, now)
			}
			highest = max(highest, now)
		}
		for range 2 {
			for _, from := range ms {
				for _, to := range ms {
					exchange(from, to)
				}
			}
		}
		for i, m := range ms {
			if m.At() > 0 && values(m)["k"] < highest {
				t.Fatalf("mirror %d has %q; the newest version held by any was %s", i, values(m)["k"], highest)
			}
		}
	})
}
