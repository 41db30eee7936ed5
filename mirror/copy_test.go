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

// service publishes, and comes back from copies of itself.
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

// fallBack loses the last changes. Those before them are of the new era from now on.
func (s *service) fallBack(changes int) {
	s.era++
	s.history = slices.Clone(s.history[:len(s.history)-changes])
	for i := range s.history {
		s.history[i].Rev = NewPosition(s.era, s.history[i].Rev.Revision())
	}
}

// exists returns the values that exist.
func (s *service) exists() map[string]string {
	out := map[string]string{}
	for _, r := range s.history {
		out[r.Key] = string(r.Value)
		if r.Gone {
			delete(out, r.Key)
		}
	}
	return out
}

func (s *service) whole() Delta {
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

// since is a watch's answer, or false where the service does not have the position.
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

// Mirrors that read the service at any time, and are told by one another in any order, late and
// twice, never go back to an older era, and hold what exists when they have the newest position.
func TestMirrorsConvergeWhenTheServiceComesBackFromCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &service{era: rapid.Uint64Range(0, 2).Draw(t, "first era")}
		s.publish(t)
		ms := []*Mirror{{}, {}, {}}
		var onTheWay []Delta // Told, and not arrived.
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m := ms[rapid.IntRange(0, len(ms)-1).Draw(t, "mirror")]
			before := m.At()
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				s.publish(t)
			case 2:
				s.fallBack(rapid.IntRange(0, min(6, len(s.history)-1)).Draw(t, "lost"))
			case 3:
				m.Apply(s.whole())
			case 4:
				if d, ok := s.since(before); ok && before > 0 {
					m.Apply(d)
				}
			case 5:
				d := ms[rapid.IntRange(0, len(ms)-1).Draw(t, "from")].Since(before)
				onTheWay = append(onTheWay, d)
			default:
				if len(onTheWay) > 0 {
					m.Apply(onTheWay[rapid.IntRange(0, len(onTheWay)-1).Draw(t, "arrives")])
				}
			}
			if m.At() < before {
				t.Fatalf("fell from %v to %v", before, m.At())
			}
			for i, m := range ms {
				if got, want := values(m), s.exists(); m.At() == s.at() && !maps.Equal(got, want) {
					t.Fatalf("mirror %d at %v holds %v, want %v", i, m.At(), got, want)
				}
			}
		}
	})
}

// newest has the record with the greater value hold.
func newest(known, said Record) time.Duration {
	if known.Gone || !said.Gone && string(said.Value) >= string(known.Value) {
		return 0
	}
	return Forever
}

func pos(era, revision uint64) Position { return NewPosition(era, revision) }

func rec(key, value string, at Position) Record {
	return Record{Key: key, Value: []byte(value), Rev: at}
}

// turned is a mirror that knew a record and then read a copy.
func turned(outlasts HoldPolicy, known Record, copied ...Record) *Mirror {
	m := &Mirror{HoldPolicy: outlasts}
	m.Apply(Delta{Whole: true, At: known.Rev, Records: []Record{known}})
	m.Apply(Delta{Whole: true, At: pos(2, 7), Records: copied})
	return m
}

func TestWhatOutlastsACopyHoldsUntilItIsWrittenAgain(t *testing.T) {
	cases := []struct {
		name  string
		later []Record // After the copy.
		want  string
	}{
		{"the copy alone", nil, "9"},
		{"an older one is written", []Record{rec("k", "8", pos(2, 8))}, "9"},
		{"the same is written", []Record{rec("k", "8", pos(2, 8)), rec("k", "9", pos(2, 9))}, "9"},
		{"a newer one is written", []Record{rec("k", "95", pos(2, 8))}, "95"},
		{"it is deleted", []Record{{Key: "k", Rev: pos(2, 8), Gone: true}}, ""},
		{"written, and an older one after it", []Record{rec("k", "9", pos(2, 8)), rec("k", "3", pos(2, 9))}, "3"},
	}
	for _, copied := range [][]Record{nil, {rec("k", "5", pos(2, 5))}} {
		for _, c := range cases {
			t.Run(fmt.Sprint(c.name, len(copied)), func(t *testing.T) {
				is := is.New(t)
				m := turned(newest, rec("k", "9", pos(1, 9)), copied...)
				for _, r := range c.later {
					is.True(m.Apply(Delta{Base: m.At(), At: r.Rev, Records: []Record{r}}))
				}
				is.Equal(values(m)["k"], c.want)
			})
		}
	}
}

// One that is told of a position learns all that is held for good with a whole.
func TestWhatIsHeldIsToldToThoseThatStart(t *testing.T) {
	is := is.New(t)
	m := turned(newest, rec("k", "9", pos(1, 9)), rec("k", "5", pos(2, 5)))
	started := &Mirror{HoldPolicy: newest}
	started.Apply(m.Since(0))
	is.Equal(values(started)["k"], "9")
	is.Equal(len(started.HeldRecords()), 1) // Those that read the copy are told by it as well.
	knew := turned(newest, rec("k", "9", pos(1, 9)), started.Since(0).Records...)
	is.Equal(len(knew.HeldRecords()), 1)
	started.Apply(Delta{Base: pos(2, 7), At: pos(2, 8), Records: []Record{rec("k", "6", pos(2, 8))}})
	is.Equal(values(started)["k"], "9")
}

func TestRecordThatAnotherHolds(t *testing.T) {
	read := func(rs ...Record) *Mirror {
		m := &Mirror{HoldPolicy: newest}
		m.Apply(Delta{Whole: true, At: pos(2, 7), Records: rs})
		return m
	}
	cases := []struct {
		name string
		m    *Mirror
		want string
	}{
		{"started on the copy", read(rec("k", "5", pos(2, 5))), "9"},
		{"started on a copy without it", read(rec("x", "1", pos(2, 5))), "9"},
		{"has it already", turned(newest, rec("k", "9", pos(1, 9)), rec("k", "5", pos(2, 5))), "9"},
		{"holds an older one", turned(newest, rec("k", "8", pos(1, 8)), rec("k", "5", pos(2, 5))), "9"},
		{"holds a newer one", turned(newest, rec("k", "95", pos(1, 10)), rec("k", "5", pos(2, 5))), "95"},
		{"read a newer one", read(rec("k", "99", pos(2, 6))), "99"},
		{"knows nothing", &Mirror{HoldPolicy: newest}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			told := HeldRecord{Record: rec("k", "9", pos(1, 9))}
			c.m.Hold(told, epoch)
			is.Equal(values(c.m)["k"], c.want)
			is.True(c.m.At() == 0 || !c.m.NeedsHeld("k", told.Rev)) // It is not asked for again.
		})
	}
	t.Run("deleted since", func(t *testing.T) {
		is := is.New(t)
		m := read(rec("k", "5", pos(2, 5)))
		m.Apply(Delta{Base: pos(2, 7), At: pos(2, 8), Records: []Record{{Key: "k", Rev: pos(2, 8), Gone: true}}})
		is.True(!m.Hold(HeldRecord{Record: rec("k", "9", pos(1, 9))}, epoch))
		is.Equal(len(values(m)), 0)
	})
	t.Run("of the era before", func(t *testing.T) {
		is := is.New(t)
		m := &Mirror{HoldPolicy: newest}
		m.Apply(Delta{Whole: true, At: pos(1, 9), Records: []Record{rec("k", "8", pos(1, 8))}})
		is.True(!m.NeedsHeld("k", pos(1, 9)))
		is.True(!m.Hold(HeldRecord{Record: rec("k", "9", pos(1, 9))}, epoch))
	})
}

// aSecond has all hold for a second, whatever the copy says.
func aSecond(known, said Record) time.Duration {
	if known.Gone && said.Gone {
		return 0
	}
	return time.Second
}

func TestRecordThatIsHeldForAWhileIsLeftToTheCopyAfterIt(t *testing.T) {
	is := is.New(t)
	m := &Mirror{HoldPolicy: aSecond}
	m.Apply(Delta{Whole: true, At: pos(1, 8), Records: []Record{rec("deleted", "1", pos(1, 5)), rec("missing", "2", pos(1, 8))}})
	m.Apply(Delta{Base: pos(1, 8), At: pos(1, 9), Records: []Record{{Key: "deleted", Rev: pos(1, 9), Gone: true}}})
	m.Apply(Delta{Whole: true, At: pos(2, 7), Records: []Record{rec("deleted", "1", pos(2, 5))}})
	is.Equal(values(m), map[string]string{"missing": "2"})
	var other Mirror
	other.Apply(m.Since(0))
	is.Equal(values(&other), map[string]string{"deleted": "1"}) // Else it would lack it for good.
	m.expire(time.Now())
	is.Equal(values(m), map[string]string{"missing": "2"})
	m.expire(time.Now().Add(time.Second))
	is.Equal(values(m), map[string]string{"deleted": "1"})
	is.Equal(len(m.HeldRecords()), 0)
}

func TestDeletedRecordThatIsWrittenAgainIsThere(t *testing.T) {
	is := is.New(t)
	m := &Mirror{HoldPolicy: aSecond}
	m.Apply(Delta{Whole: true, At: pos(1, 8), Records: []Record{rec("k", "1", pos(1, 5))}})
	m.Apply(Delta{Base: pos(1, 8), At: pos(1, 9), Records: []Record{{Key: "k", Rev: pos(1, 9), Gone: true}}})
	m.Apply(Delta{Whole: true, At: pos(2, 7), Records: []Record{rec("k", "1", pos(2, 5))}})
	is.Equal(len(values(m)), 0)
	m.Apply(Delta{Base: pos(2, 7), At: pos(2, 8), Records: []Record{rec("k", "1", pos(2, 8))}})
	is.Equal(values(m)["k"], "1")
	is.True(!m.Hold(HeldRecord{Record: Record{Key: "k", Rev: pos(1, 9), Gone: true}}, time.Now())) // Another one still holds it.
	is.Equal(values(m)["k"], "1")
}

func TestChangeThatACopyHasIsAsOldAsItWas(t *testing.T) {
	is := is.New(t)
	m := turned(nil, rec("k", "1", pos(1, 5)), rec("k", "1", pos(2, 5)), rec("l", "1", pos(2, 6)))
	rs, _ := m.Records()
	r := rs["k"]
	is.Equal(r.FirstPosition(), pos(1, 5))
	is.Equal(rs["k"].Rev, pos(2, 5)) // By which it is told on.
	r = rs["l"]
	is.Equal(r.FirstPosition(), pos(2, 6))
}

// A naming that the copy lost and that is made again keeps the time of the first.
func TestChangeThatIsMadeAgainKeepsItsTime(t *testing.T) {
	is := is.New(t)
	made, again := epoch, epoch.Add(9*time.Second)
	m := &Mirror{HoldPolicy: newest}
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

func TestTwoCopiesInARow(t *testing.T) {
	is := is.New(t)
	m := turned(newest, rec("k", "9", pos(1, 9)), rec("k", "5", pos(2, 5)))
	m.Apply(Delta{Whole: true, At: pos(5, 6), Records: []Record{rec("k", "4", pos(5, 4))}})
	is.Equal(m.At(), pos(5, 6))
	is.Equal(values(m)["k"], "9")
	is.True(m.Apply(Delta{Whole: true, At: pos(2, 30), Records: []Record{rec("k", "99", pos(2, 30))}})) // It came late.
	is.Equal(m.At(), pos(5, 6))
	is.Equal(values(m)["k"], "9")
	is.True(!m.Apply(Delta{Base: pos(2, 7), At: pos(6, 9), Records: []Record{rec("k", "99", pos(6, 9))}})) // A gap of an era.
}

// An operator writes versions that rise, and after each copy those that it lost once more. Mirrors
// read, tell one another what the service says, and tell what they hold: none goes back to an older
// version, and in the end all have the newest that any of them had.
func TestNoVersionThatWasKnownIsTakenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &service{era: 1}
		written, again := 0, 0 // The newest version, and up to which one they were written again.
		write := func(v int) {
			n := uint64(len(s.history) + 1)
			s.history = append(s.history, rec("k", fmt.Sprintf("%04d", v), NewPosition(s.era, n)))
		}
		publish := func() {
			if again < written {
				again++
				write(again)
				return
			}
			written++
			again = written
			write(written)
		}
		publish()
		ms := []*Mirror{{HoldPolicy: newest}, {HoldPolicy: newest}, {HoldPolicy: newest}}
		tell := func(from, to *Mirror) {
			for _, h := range from.HeldRecords() {
				to.Hold(h, epoch)
			}
			to.Apply(from.Since(to.At()))
		}
		best := ""
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m := ms[rapid.IntRange(0, len(ms)-1).Draw(t, "mirror")]
			before := values(m)["k"]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				publish()
			case 2:
				lost := rapid.IntRange(0, min(4, len(s.history)-1)).Draw(t, "lost")
				s.fallBack(lost)
				fmt.Sscanf(string(s.history[len(s.history)-1].Value), "%d", &again)
			case 3:
				m.Apply(s.whole())
			case 4:
				if d, ok := s.since(m.At()); ok && m.At() > 0 {
					m.Apply(d)
				}
			default:
				tell(ms[rapid.IntRange(0, len(ms)-1).Draw(t, "from")], m)
			}
			now := values(m)["k"]
			if now < before {
				t.Fatalf("went back from %s to %s", before, now)
			}
			best = max(best, now)
		}
		for range 2 {
			for _, from := range ms {
				for _, to := range ms {
					tell(from, to)
				}
			}
		}
		for i, m := range ms {
			if m.At() > 0 && values(m)["k"] < best {
				t.Fatalf("mirror %d has %q, and one had %s", i, values(m)["k"], best)
			}
		}
	})
}
