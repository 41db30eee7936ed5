package relay

import (
	"time"

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
	limit := maxQueueWait(rq)
	return !c.Engine || limit == 0 || c.QueueWait <= limit
}

// maxQueueWait returns the longest predicted queue wait for which the request is sent to a replica
// of a model; zero for no limit.
func maxQueueWait(rq *request) time.Duration {
	share := firstTryShare
	if rq.retried {
		share = retryTryShare
	}
	return max(0, time.Duration(share*float64(rq.route.TargetLatency)))
}
