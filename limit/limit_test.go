package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

func TestRateReturnsRetryTime(t *testing.T) {
	is := is.New(t)
	r := &Rate{}
	now := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	p := Split(20, 8, 4) // 5 a second and 2 in flight for each of 4 gateways.
	is.Equal(p, GatewayLimit{PerSecond: 5, InFlight: 2})
	for range 2 {
		_, err := r.Acquire(now, p)
		is.NoErr(err)
	}
	_, err := r.Acquire(now, p)
	is.Equal(fault.CodeOf(err), fault.RateLimited) // Two are in flight.
	for range 3 {
		r.Release()
		_, err = r.Acquire(now, p)
		is.NoErr(err)
	}
	r.Release()
	at, err := r.Acquire(now, p)
	is.Equal(fault.CodeOf(err), fault.RateLimited) // All five of this second are used.
	is.Equal(at, now.Add(200*time.Millisecond))
	_, err = r.Acquire(at, p)
	is.NoErr(err)
}

// Retries stay within their percentage of requests plus the burst.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	b := &RetryBudget{}
	now := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	granted := 0
	for range 1000 {
		b.RecordRequest(now, 10)
		if b.TrySpend(now) {
			granted++
		}
	}
	is.True(granted <= 1000*10/100+budgetBurst)
	is.True(granted >= 100)
}

// A process began with a whole burst, whatever the one before it had used: restarts multiplied the limit.
func TestRestartsDoNotMultiplyTheRate(t *testing.T) {
	const perSecond, seconds, restarts = 10, 60, 60
	is := is.New(t)
	now := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	admitted := 0
	for range restarts {
		r := &Rate{Since: now}
		for end := now.Add(time.Second * seconds / restarts); now.Before(end); now = now.Add(10 * time.Millisecond) {
			if _, err := r.Acquire(now, GatewayLimit{PerSecond: perSecond}); err == nil {
				admitted++
				r.Release()
			}
		}
	}
	is.True(admitted <= perSecond*(seconds+1))
	is.True(admitted >= perSecond*seconds*8/10)
}

// A process began with a whole burst of retries, whatever the one before it had spent.
func TestRestartsDoNotMultiplyTheRetryBudget(t *testing.T) {
	const percent, restarts, requests = 10, 20, 100
	is := is.New(t)
	now := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	granted := 0
	for range restarts {
		b := &RetryBudget{Since: now}
		for range requests {
			now = now.Add(10 * time.Millisecond)
			b.RecordRequest(now, percent)
			if b.TrySpend(now) {
				granted++
			}
		}
	}
	const bound = restarts*requests*percent/100 + restarts*budgetPerSecond + budgetBurst
	is.True(granted <= bound)
	is.True(granted >= bound/2)
}
