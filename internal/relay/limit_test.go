package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/platform/platformtest"
)

// overLimit describes the time spans in which replicas received more than their limits.
func overLimit(rs []*platformtest.Replica) (out []string) {
	for _, r := range rs {
		for _, o := range r.LimitViolations(nil) {
			out = append(out, r.ID+": "+o)
		}
	}
	return out
}

// The limit that a replica states applies to all gateways together. Without coordination, a
// replica that stated 1.6 requests a second received 28 within 4 s, where 15 are allowed, from
// six gateways that had all received the limit. No gateway can enforce such a limit alone: if each
// applied it separately, each would still send first requests of its own.
func TestReplicaGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	for _, tc := range []struct {
		gateways      int
		limits        []string // Limits of the first replicas.
		singleGateway bool     // All callers use the same gateway.
	}{
		{6, []string{"1.6", "1.3"}, false},
		{6, []string{"1.6", "1.3"}, true},
		{15, []string{"1.7"}, false},
		{46, []string{"1.3"}, false},
		{46, []string{"20"}, false},
	} {
		t.Run(fmt.Sprintf("%d gateways, %v, single gateway %v", tc.gateways, tc.limits, tc.singleGateway), func(t *testing.T) {
			rs, got := engines(len(tc.limits)+2, 3), map[int]int{}
			runCluster(t, tc.gateways, rs, func(_ *is.I, cl *testCluster) {
				cl.sendPeriodically("/s/", 8*time.Millisecond, time.Second)
				for i, v := range tc.limits {
					rs[i].AnnounceLimit(v)
				}
				if tc.singleGateway {
					cl.gateways = cl.gateways[:1]
				}
				got = cl.sendPeriodically("/s/", 8*time.Millisecond, 12*time.Second)
			})
			check := is.New(t)
			check.Equal(overLimit(rs), nil)
			check.Equal(got, map[int]int{200: 1500}) // The other replicas have capacity for all requests.
		})
	}
}
