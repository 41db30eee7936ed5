package weights

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// An upload waits for a slot only while there is room in the queue. Boxes with one fetch open
// waited at one busy peer while others were idle, so with SetNoUploadQueue none waits.
func TestUploadsThatMayWait(t *testing.T) {
	for _, tc := range []struct {
		name                         string
		slots, queue                 int
		noQueue                      bool
		uploading, waiting, accepted int // accepted is how many of five further requests are not refused.
	}{
		{"idle", 1, 1, false, 0, 0, 2},
		{"busy", 1, 1, false, 1, 0, 1},
		{"full", 1, 1, false, 1, 1, 0},
		{"idle, none may wait", 1, 1, true, 0, 0, 1},
		{"busy, none may wait", 1, 1, true, 1, 0, 0},
		{"defaults", 0, 0, false, 0, 0, 4},
		{"defaults, none may wait", 0, 0, true, 1, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			x := &Exchange{UploadSlots: tc.slots, UploadQueue: tc.queue, uploading: tc.uploading}
			for range tc.waiting {
				x.waiting = append(x.waiting, make(chan struct{}))
			}
			x.SetNoUploadQueue(tc.noQueue)
			accepted := 0
			for range 5 {
				x.mu.Lock()
				full := x.queueFull()
				x.mu.Unlock()
				if full {
					continue
				}
				accepted++
				x.mu.Lock()
				x.waiting = append(x.waiting, make(chan struct{}))
				x.grantUploads()
				x.mu.Unlock()
			}
			is.New(t).Equal(accepted, tc.accepted)
		})
	}
}

// With SetNoUploadQueue a request is refused while the slot is taken, and accepted afterwards.
func TestNoUploadQueue(t *testing.T) {
	is := is.New(t)
	x := &Exchange{UploadSlots: 1}
	x.SetNoUploadQueue(true)
	is.True(x.acquireUpload(context.Background()))
	is.True(!x.acquireUpload(context.Background()))
	x.releaseUpload()
	is.True(x.acquireUpload(context.Background()))
}
