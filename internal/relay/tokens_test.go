package relay_test

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller that states an absurd number of tokens must neither end the gateway nor take the replicas
// from others.
func TestAbsurdTokenCountsEndNothing(t *testing.T) {
	for _, tokens := range []string{
		fmt.Sprintf("%d,80", math.MaxInt64), fmt.Sprintf("80,%d", math.MaxInt64), fmt.Sprintf("%d,%d", math.MaxInt64, math.MaxInt64),
		fmt.Sprintf("%d", math.MaxInt64/2), "-1,-1", "9223372036854775808,1",
	} {
		t.Run(tokens, func(t *testing.T) {
			served := 0
			runCluster(t, 1, engines(2, 3), func(_ *is.I, cl *testCluster) {
				var mu sync.Mutex
				var callers sync.WaitGroup
				for i := range 60 {
					header := map[string]string{"X-Attempt-Id": fmt.Sprint("a", i)}
					if i%3 == 0 {
						header["X-Token-Count"] = tokens
					}
					callers.Go(func() {
						r := cl.send(0, "POST", "/s/", header)
						mu.Lock()
						defer mu.Unlock()
						if i%3 != 0 && r.status == http.StatusOK {
							served++
						}
					})
					time.Sleep(20 * time.Millisecond)
				}
				callers.Wait()
			})
			is.New(t).Equal(served, 40)
		})
	}
}
