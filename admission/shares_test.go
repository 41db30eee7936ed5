package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// flow is a number of like requests in each 100 ms.
type flow struct {
	Profile
	asked int
	sent  int // Of asked.
}

// record records 2 s of flows and returns the time after them.
func (s *Shares) record(flows []flow) time.Time {
	now := start
	for range 20 {
		for _, f := range flows {
			for i := range f.asked {
				s.Record(now, &f.Profile, i < f.sent)
			}
		}
		now = now.Add(100 * ms)
	}
	return now.Add(-ms)
}

// Each case is a load of 2 s. An organisation is over its share by what it got compared with the
// others, and requests are starved only if they were refused what they asked for.
func TestShares(t *testing.T) {
	const work = 1000
	org := func(name string, rank int) Profile {
		return Profile{Organisation: name, Weight: 1, Rank: rank, Work: work}
	}
	heavy := org("a", 0)
	heavy.Weight = 4
	small, large := org("a", 0), org("a", 0)
	large.Work = 64 * work
	cases := []struct {
		name    string
		flows   []flow
		of      Profile
		over    bool
		starved bool
	}{
		{"nothing recorded", nil, org("a", 0), false, false},
		{"one organisation alone", []flow{{org("a", 0), 4, 2}}, org("a", 0), false, false},
		{"four times its share, the large one", []flow{{org("a", 0), 8, 4}, {org("b", 0), 1, 1}}, org("a", 0), true, false},
		{"four times its share, the small one", []flow{{org("a", 0), 8, 4}, {org("b", 0), 1, 1}}, org("b", 0), false, false},
		{"four times the work by its weight", []flow{{heavy, 4, 4}, {org("b", 0), 1, 1}}, heavy, false, false},
		{"organisation refused almost everything", []flow{{org("a", 0), 8, 8}, {org("b", 0), 8, 1}}, org("b", 0), false, true},
		{"organisation that asks for little and gets it", []flow{{org("a", 0), 8, 8}, {org("b", 0), 1, 1}}, org("b", 0), false, false},
		{"rank refused almost everything", []flow{{org("a", 0), 8, 8}, {org("a", 2), 8, 1}}, org("a", 2), false, true},
		{"rank above the floor", []flow{{org("a", 0), 8, 8}, {org("a", 2), 8, 2}}, org("a", 2), false, false},
		{"size refused almost everything", []flow{{small, 8, 8}, {large, 8, 1}}, large, false, true},
		{"small requests are not starved by their little work", []flow{{small, 8, 4}, {large, 8, 8}}, small, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var s Shares
			now := s.record(tc.flows)
			is.Equal(s.OverShare(now, tc.of.Organisation), tc.over)
			is.Equal(s.Starved(now, &tc.of), tc.starved)
			is.True(!s.OverShare(now.Add(3*time.Second), tc.of.Organisation)) // Counted over 2 s.
			is.True(!s.Starved(now.Add(3*time.Second), &tc.of))
		})
	}
}

// A gateway that receives a fifth of the requests of a hall must not take an organisation for one
// under its share that sends most of its requests to other gateways.
func TestWorkOfOtherGatewaysCounts(t *testing.T) {
	is := is.New(t)
	var s Shares
	a, b := Profile{Organisation: "a", Work: 100}, Profile{Organisation: "b", Work: 100}
	s.Record(start, &a, true)
	s.Record(start, &b, true)
	is.True(!s.OverShare(start, "a"))
	s.AddWork(start, "a", 1, 400)
	is.True(s.OverShare(start, "a"))
	is.True(!s.OverShare(start, "b"))
}

// Organisations come and go, and the table must not grow with all that were ever seen.
func TestSharesAreBounded(t *testing.T) {
	is := is.New(t)
	var s Shares
	now := start
	for i := range 10000 {
		s.AddWork(now, time.Duration(i).String(), 1, 1)
		now = now.Add(20 * ms)
	}
	is.True(len(s.groups) < 150)
}

// simulate offers requests of some profiles to a service with a bounded throughput for 20 s, by
// one gateway without waiting, and returns how many of each were sent.
func simulate(s Service, profiles []Profile, perTick []int, capacity float64) []int {
	const tick = 50 * ms
	var shares Shares
	var pressure Pressure
	sent := make([]int, len(profiles))
	queue, now := 0.0, start
	for range 400 {
		for n := range 100 {
			for i := range profiles {
				if n >= perTick[i] {
					continue
				}
				p := &profiles[i]
				wait := time.Duration(queue / capacity * float64(tick))
				d := Demand{Rank: p.Rank, ArrivedAt: now, Starved: shares.Starved(now, p)}
				d.OverShare = pressure.Refusing(now) && shares.OverShare(now, p.Organisation)
				ok := s.Decide(now, &d, Prediction{wait, wait + 50*ms, 0}).Verdict == Send
				shares.Record(now, p, ok)
				if !ok {
					pressure.RecordRefusal(now)
					continue
				}
				sent[i]++
				queue++
			}
		}
		queue = max(0, queue-capacity)
		now = now.Add(tick)
	}
	return sent
}

// At 1.5 times the capacity, a third of it each of three ranks, the most urgent rank is served,
// and the least urgent one gets about what is left, but not less than a quarter of the mean share.
func TestRanksAtOneAndAHalfTimesTheCapacity(t *testing.T) {
	is := is.New(t)
	s := NewService([]Route{{0, target}, {1, target}, {2, 2 * target}})
	profiles := []Profile{{Rank: 0, Work: 1}, {Rank: 1, Work: 1}, {Rank: 2, Work: 1}}
	sent := simulate(s, profiles, []int{10, 10, 10}, 20)
	t.Log(sent)
	const asked, mean = 4000, 8000 / 3
	is.True(sent[0] > asked*97/100)
	is.True(sent[1] > sent[2])
	is.True(sent[2] < asked/2)
	is.True(sent[2] > mean/4*9/10)
}

// An organisation that asks for four times its share does not push out the others.
func TestLargeOrganisationDoesNotPushOutOthers(t *testing.T) {
	is := is.New(t)
	s := NewService([]Route{{0, target}})
	profiles := []Profile{{Organisation: "a", Work: 1}, {Organisation: "b", Work: 1}, {Organisation: "c", Work: 1}}
	sent := simulate(s, profiles, []int{27, 6, 6}, 20)
	t.Log(sent)
	const asked = 2400
	is.True(sent[1] > asked*95/100)
	is.True(sent[2] > asked*95/100)
	is.True(sent[0] > 2400) // It has what the others leave.
}

// A rank or organisation that asks for little beside three times the capacity of more urgent
// requests gets a quarter of the mean share, or what it asks for if that is less.
func TestNothingIsStarved(t *testing.T) {
	const capacity, ticks = 20, 400
	cases := []struct {
		name     string
		profiles []Profile
		asked    []int // In each tick.
		min      float64
	}{
		{"less urgent rank", []Profile{{Rank: 0, Work: 1}, {Rank: 2, Work: 1}}, []int{60, 3}, capacity / 2 * 0.25},
		{"rank that asks for less than its part", []Profile{{Rank: 0, Work: 1}, {Rank: 2, Work: 1}}, []int{60, 1}, 1},
		{"small organisation", []Profile{{Organisation: "a", Work: 1}, {Organisation: "b", Work: 1}}, []int{60, 3}, capacity / 2 * 0.25},
		{"large requests", []Profile{{Work: 10}, {Work: 1000}}, []int{60, 3}, capacity / 2 * 0.25},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := NewService([]Route{{0, target}, {2, target}})
			sent := simulate(s, tc.profiles, tc.asked, capacity)
			t.Log(sent)
			is.New(t).True(float64(sent[1]) > 0.95*tc.min*ticks)
		})
	}
}
