package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/internal/relay"
	"github.com/poststand/poststand/internal/settings"
)

// The gateways that forward changes may be lost when a replica disappears from the list. Others
// find that by a check, and no request may reach the replica after its drain time all the same.
func TestDelistedReplicaGetsNothingAfterItsDrainTime(t *testing.T) {
	const checksPerApply, transit = 6, 300 * time.Millisecond
	for _, tc := range []struct{ drain, apply time.Duration }{
		{2 * time.Second, 2 * time.Second},
		{3 * time.Second, 3 * time.Second},
		{5 * time.Second, 5 * time.Second},
		{5 * time.Second, 12 * time.Second},
		{time.Second, 12 * time.Second},
		{0, 2 * time.Second},
	} {
		t.Run(fmt.Sprint(tc.drain, tc.apply), func(t *testing.T) {
			is := is.New(t)
			grace := relay.DelistGrace(&settings.RelayReloadable{DrainWithin: tc.drain, ApplyWithin: tc.apply})
			is.True(grace >= 0)
			is.True(grace == 0 || tc.apply/checksPerApply+grace+transit <= tc.drain)
		})
	}
}
