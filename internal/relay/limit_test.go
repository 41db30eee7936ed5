package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// overLimit lists the spans in which replicas got more than they take.
func overLimit(rs []*platformtest.Replica) (out []string) {
	for _, r := range rs {
		for _, o := range r.OverLimit(nil) {
			out = append(out, r.ID+": "+o)
		}
	}
	return out
}

// A replica that was in need went on getting all that it would have got: it named a limit of
// 1.6 requests a second for all gateways together, and 28 came within 4 s from gateways that
// had passed on such an answer (15 allowed), from all six of them. No gateway read the limit:
// the lines of their requests counted the replica as usable like any other, and those lines
// that were added since show each gateway hear of the limit and send as before.
//
// The cause: no gateway can hold such a limit alone, and none held it with the others. With
// what it hears kept by each for itself, every gateway would send the first requests of its
// own.
func TestReplicaGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	for _, tc := range []struct {
		gateways int
		limits   []string // Of the first replicas.
		oneSided bool     // One gateway has all the callers.
	}{
		{6, []string{"1.6", "1.3"}, false},
		{6, []string{"1.6", "1.3"}, true},
		{15, []string{"1.7"}, false},
		{46, []string{"1.3"}, false},
		{46, []string{"20"}, false},
	} {
		t.Run(fmt.Sprintf("%d gateways, %v, one-sided %v", tc.gateways, tc.limits, tc.oneSided), func(t *testing.T) {
			rs, got := engines(len(tc.limits)+2, 3), map[int]int{}
			run(t, tc.gateways, rs, func(_ *is.I, w *world) {
				w.callers("/s/", 8*time.Millisecond, time.Second)
				for i, v := range tc.limits {
					rs[i].AnnounceLimit(v)
				}
				if tc.oneSided {
					w.gateways = w.gateways[:1]
				}
				got = w.callers("/s/", 8*time.Millisecond, 12*time.Second)
			})
			check := is.New(t)
			check.Equal(overLimit(rs), nil)
			check.Equal(got, map[int]int{200: 1500}) // The others have room for all.
		})
	}
}
