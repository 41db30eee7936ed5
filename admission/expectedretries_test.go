package admission

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/quarantine"
)

var testStart = time.Date(2026, 12, 3, 18, 0, 0, 0, time.UTC)

func after(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func keyOf(name string) quarantine.Key { return quarantine.KeyOf([]byte(name)) }

// A retry is recognised by its key and the time that its caller was told, and each refusal counts
// for one retry. Without that, a caller would have priority for every further request, or an
// independent caller with an equal request for its first one.
func TestExpectedRetries(t *testing.T) {
	type step struct {
		ms     int
		key    string
		refuse int     // If positive, when the caller is told to retry.
		other  bool    // The refusal is by another gateway.
		want   Attempt // If refuse is 0, what the arriving request is.
	}
	refused := func(ms int, key string, until int) step { return step{ms: ms, key: key, refuse: until} }
	learnt := func(ms int, key string, until int) step { return step{ms: ms, key: key, refuse: until, other: true} }
	arrives := func(ms int, key string, want Attempt) step { return step{ms: ms, key: key, want: want} }
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"nothing expected", []step{arrives(0, "a", FirstAttempt)}},
		{"on time", []step{refused(0, "a", 1000), arrives(1000, "a", RetriedOnTime)}},
		{"late", []step{refused(0, "a", 1000), arrives(3999, "a", RetriedOnTime)}},
		{"later than it is expected", []step{refused(0, "a", 1000), arrives(4000, "a", FirstAttempt)}},
		{"within the tolerance", []step{refused(0, "a", 1000), arrives(900, "a", RetriedOnTime)}},
		{"early", []step{refused(0, "a", 1000), arrives(899, "a", RetriedEarly)}},
		{"early, and again on time", []step{
			refused(0, "a", 1000), arrives(100, "a", RetriedEarly), arrives(500, "a", RetriedEarly), arrives(1000, "a", RetriedOnTime),
		}},
		{"another request", []step{refused(0, "a", 1000), arrives(1000, "b", FirstAttempt), arrives(1000, "a", RetriedOnTime)}},
		{"one refusal counts for one retry", []step{
			refused(0, "a", 1000), arrives(1000, "a", RetriedOnTime), arrives(1001, "a", FirstAttempt),
		}},
		{"two callers with equal requests", []step{
			refused(0, "a", 1000), refused(10, "a", 1500), arrives(1000, "a", RetriedOnTime),
			arrives(1200, "a", RetriedEarly), arrives(1500, "a", RetriedOnTime), arrives(1500, "a", FirstAttempt),
		}},
		{"two callers, both due", []step{
			refused(0, "a", 1000), learnt(10, "a", 1000),
			arrives(1000, "a", RetriedOnTime), arrives(1000, "a", RetriedOnTime), arrives(1000, "a", FirstAttempt),
		}},
		{"the same caller refused twice here", []step{
			refused(0, "a", 1000), arrives(1000, "a", RetriedOnTime), refused(1001, "a", 2000),
			arrives(1500, "a", RetriedEarly), arrives(2000, "a", RetriedOnTime), arrives(2001, "a", FirstAttempt),
		}},
		{"the same caller refused twice elsewhere", []step{
			learnt(0, "a", 1000), learnt(1001, "a", 2000),
			arrives(1500, "a", RetriedEarly), arrives(2000, "a", RetriedOnTime), arrives(2001, "a", FirstAttempt),
		}},
		{"told in another order than due", []step{
			learnt(0, "b", 2000), learnt(1, "a", 500), arrives(500, "a", RetriedOnTime), arrives(2000, "b", RetriedOnTime),
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var r ExpectedRetries
			for _, s := range tc.steps {
				e := ExpectedRetry{Key: keyOf(s.key), NotBefore: after(s.refuse)}
				switch {
				case s.other:
					r.Learn(after(s.ms), e)
				case s.refuse > 0:
					r.Expect(after(s.ms), e)
				default:
					is.Equal(r.Arrive(after(s.ms), e.Key), s.want)
				}
			}
		})
	}
}

// However many callers are refused, the number of expected retries is bounded; those that are due
// last stay.
func TestExpectedRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	var r ExpectedRetries
	key := func(i int) (k quarantine.Key) {
		binary.LittleEndian.PutUint64(k[:], uint64(i))
		return k
	}
	const surplus = 10
	for i := range MaxExpectedRetries + surplus {
		r.Learn(testStart, ExpectedRetry{Key: key(i), NotBefore: testStart.Add(time.Second + time.Duration(i)*time.Microsecond)})
	}
	is.Equal(len(r.expected), MaxExpectedRetries)
	is.Equal(r.Arrive(after(1500), key(surplus-1)), FirstAttempt)
	is.Equal(r.Arrive(after(1500), key(surplus)), RetriedOnTime)
	is.Equal(len(r.expected), MaxExpectedRetries-1)
	is.Equal(r.Arrive(after(5000), key(surplus+1)), FirstAttempt)
	is.Equal(len(r.expected), 0)
}
