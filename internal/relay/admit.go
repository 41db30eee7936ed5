package relay

import (
	"time"

	"github.com/poststand/poststand/admission"
	"github.com/poststand/poststand/route"
)

// Admission thresholds, as fractions of the route's latency target. A request is sent only if
// the predicted queue wait at the chosen replica is within the threshold, so that a new
// request is most likely answered in time. A retry after a refusal has the lower threshold:
// under sustained overload, retries would otherwise fill the replicas, all of them late, and
// new requests would be refused on their account.
const (
	firstTryShare = 0.55
	retryTryShare = 0.4
)

// admits reports whether the predicted queue wait at the chosen replica is short enough to
// send the request.
func admits(rq *request, c route.Choice) bool {
	if !c.Engine || rq.route.TargetLatency <= 0 {
		return true
	}
	share := firstTryShare
	if rq.attempt != admission.FirstAttempt {
		share = retryTryShare
	}
	return c.QueueWait <= time.Duration(share*float64(rq.route.TargetLatency))
}
