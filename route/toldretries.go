package route

import (
	"math"
	"slices"
	"time"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/internal/times"
)

// Parameters of the times at which refused callers should retry while no replica of a service
// holds a version that may be used.
const (
	switchTime     = 200 * time.Millisecond // From when a replica is due to switch versions until it serves.
	retryShare     = 0.5                    // Share of the capacity that retries of the most urgent rank may use; the rest is left for first attempts.
	retryRankShare = 0.5                    // Share of the places of a rank that the next less urgent one may use.
	maxToldRetries = 1024                   // Retries kept for a service.
	maxRetryWait   = 10 * time.Second       // Longest time until a retry; by then replicas have switched, and what they serve is known.
)

// toldRetries holds the times at which refused callers of a service were told to retry. The zero
// value is empty.
type toldRetries struct {
	told  []time.Time // In order, and none in the past.
	phase float64     // At least 0 and less than 1; it differs between gateways, so that they do not all tell the same times.
}

// next returns when the next refused caller should retry, and records it. The replicas that are
// waiting for a version serve from the times in ready, each rate requests a second of this
// gateway. Up to the returned time, the retries of all ranks use at most the share of the
// request's rank of what these replicas can serve. So retries do not all arrive when the first
// replica is ready, and a more urgent one may be told an earlier time than less urgent ones were.
// The phase is used if no other retries are recorded. A time after latest is replaced by latest
// and not recorded, since the caller will not retry in time. ready must not be empty.
func (x *toldRetries) next(now, latest time.Time, ready []time.Time, rate float64, level int, phase float64) time.Time {
	slices.SortFunc(ready, time.Time.Compare)
	past, _ := slices.BinarySearchFunc(x.told, now, time.Time.Compare)
	x.told = slices.Delete(x.told, 0, past)
	if len(x.told) == 0 {
		x.phase = phase
	}
	share := retryShare * math.Pow(retryRankShare, float64(max(0, level)))
	var at time.Time
	index := 0
	for ; ; index++ {
		at = servedAt(ready, (float64(index)+x.phase)/(share*rate))
		if index > 0 && at.Before(x.told[index-1]) {
			at = x.told[index-1]
		}
		if index == len(x.told) || at.Before(x.told[index]) {
			break
		}
	}
	if at.After(latest) {
		return latest
	}
	if len(x.told) < maxToldRetries {
		x.told = slices.Insert(x.told, index, at)
	}
	return at
}

// servedAt returns when replicas that serve from the times in ready have together served for a
// number of seconds. ready must be sorted and not empty.
func servedAt(ready []time.Time, seconds float64) time.Time {
	at := ready[0]
	for i := 1; i < len(ready); i++ {
		until := ready[i].Sub(at).Seconds() * float64(i)
		if until >= seconds {
			return at.Add(time.Duration(seconds / float64(i) * float64(time.Second)))
		}
		seconds -= until
		at = ready[i]
	}
	return at.Add(time.Duration(seconds / float64(len(ready)) * float64(time.Second)))
}

// RetryAfterChange returns when a caller should retry for whose request Pick found no replica: it
// is spread over the time in which the replicas that are about to switch versions can serve the
// callers that wait for them, and no later than the caller's deadline. level is the number of more
// urgent ranks of the service, gateways the number of gateways that share the replicas; the phase,
// at least 0 and less than 1, is drawn at random. ok is false if no replica is known to be about to
// switch, or if other replicas may serve earlier.
func (t *Table) RetryAfterChange(now, deadline time.Time, crit Criteria, level int, seen Availability, gateways int, phase float64) (at time.Time, ok bool) {
	if seen.Count[excluded] > 0 || !seen.BackAt.IsZero() {
		return time.Time{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var ready []time.Time
	for _, r := range t.services[crit.Service] {
		if s := t.eligibility(now, r, crit); s != unsuitable && s != changing {
			continue
		}
		if from := r.servesFrom(now); !from.IsZero() {
			ready = append(ready, from)
		}
	}
	rate := replicaRate(t.engines[crit.Service]) / float64(max(1, gateways))
	if len(ready) == 0 || rate <= 0 {
		return time.Time{}, false
	}
	if t.toldRetries == nil {
		t.toldRetries = map[string]*toldRetries{}
	}
	x := t.toldRetries[crit.Service]
	if x == nil {
		x = &toldRetries{}
		t.toldRetries[crit.Service] = x
	}
	return x.next(now, times.Earlier(deadline, now.Add(maxRetryWait)), ready, rate, level, phase), true
}

// servesFrom returns when the replica is expected to serve the version that it is about to switch
// to, or zero if that is not known. If the reported time has passed and it is not switching, its
// weights have not arrived.
func (r *Replica) servesFrom(now time.Time) time.Time {
	switch {
	case !r.Engine || !r.hasReport(now):
	case r.Report.Changing:
		return now.Add(switchTime)
	case r.Report.ChangeAt.After(now):
		return r.Report.ChangeAt.Add(switchTime)
	}
	return time.Time{}
}

// replicaRate returns how many requests a second a replica with all slots in use completes, or 0
// if its engine is not described.
func replicaRate(e config.Engine) float64 {
	step := e.StepTime + time.Duration(float64(e.Slots)*float64(e.StepTimePerSequence))
	perRequest := time.Duration(prefillOverhead * float64(e.MeanAnswerTokens) * float64(step))
	if e.PrefillRate <= 0 || perRequest <= 0 {
		return 0
	}
	return float64(e.Slots) / perRequest.Seconds()
}
