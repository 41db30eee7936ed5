package stager

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/weights"
)

const pieceCount, pieceBytes = 16, 16 << 10

// pieceOf returns the n-th piece of a version.
func pieceOf(version uint64, n int) []byte {
	b := make([]byte, pieceBytes)
	copy(b, fmt.Sprintf("version %d piece %d", version, n))
	return b
}

func manifestOf(version uint64) *weights.Manifest {
	f := weights.File{Name: "m"}
	for n := range pieceCount {
		f.Chunks = append(f.Chunks, weights.Chunk{Digest: weights.Digest(pieceOf(version, n)), Size: pieceBytes})
	}
	return &weights.Manifest{Model: "m", Version: fmt.Sprint(version), Files: []weights.File{f}}
}

// fakeReplica loads the staged version half a second after it is ordered to.
type fakeReplica struct {
	mu          sync.Mutex
	report      Report
	staged      map[int][]byte
	orders      []uint64  // The versions that it was ordered to load.
	puts        int       // Pieces that were staged.
	wrongPieces int       // Staged pieces that were not of the version, over all orders.
	upAt        time.Time // It does not answer before this time.
	hangs       int       // Number of calls to the staging area that will get no answer.
}

// maybeHang blocks until ctx ends if this call should get no answer.
func (r *fakeReplica) maybeHang(ctx context.Context) error {
	r.mu.Lock()
	hangs := r.hangs > 0
	if hangs {
		r.hangs--
	}
	r.mu.Unlock()
	if !hangs {
		return nil
	}
	<-ctx.Done()
	return fault.Wrap(fault.Unreachable, ctx.Err(), "replica")
}

func (r *fakeReplica) calls() Replica {
	return Replica{
		Report: func(context.Context) (Report, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if time.Now().Before(r.upAt) {
				return Report{}, fault.New(fault.Unreachable, "replica")
			}
			return r.report, nil
		},
		Order: func(_ context.Context, _ string, version, orders uint64) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			if orders != r.report.OrderCount {
				return fault.New(fault.FencedOrder, "")
			}
			for n := range pieceCount {
				if weights.Digest(r.staged[n]) != weights.Digest(pieceOf(version, n)) {
					r.wrongPieces++
				}
			}
			r.orders = append(r.orders, version)
			r.report.OrderCount++
			r.report.OrderPending = true
			time.AfterFunc(500*time.Millisecond, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.report.Version, r.report.OrderPending = version, false
			})
			return nil
		},
		Stage: func(ctx context.Context, _ string, n int, data []byte) error {
			if err := r.maybeHang(ctx); err != nil {
				return err
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.puts++
			r.staged[n] = data
			return nil
		},
		ListStaged: func(ctx context.Context, _ string) ([]int, error) {
			if err := r.maybeHang(ctx); err != nil {
				return nil, err
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			var held []int
			for n := range pieceCount {
				if r.staged[n] != nil {
					held = append(held, n)
				}
			}
			return held, nil
		},
		ReadStaged: func(ctx context.Context, _ string, n, _ int) ([]byte, error) {
			if err := r.maybeHang(ctx); err != nil {
				return nil, err
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.staged[n], nil
		},
	}
}

// restart simulates a crash of the replica: it has no version, and staged pieces remain.
func (r *fakeReplica) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report = Report{}
}

func withVersion(v uint64) *fakeReplica {
	r := &fakeReplica{report: Report{Model: "m", Version: v}, staged: map[int][]byte{}}
	for n := range pieceCount {
		if v > 0 {
			r.staged[n] = pieceOf(v, n)
		}
	}
	return r
}
