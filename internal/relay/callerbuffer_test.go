package relay

import (
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

// A caller that reads slowly holds up neither its replica nor other callers, and what is held for
// it is bounded and given back.
func TestSlowCallersHoldUpNobody(t *testing.T) {
	const answers, events, eventBytes, perSecond = 500, 64, 512, 1024
	var quick, slow time.Duration // Longest time until all events of an answer were taken, and written.
	held := &atomic.Int64{}
	synctest.Test(t, func(*testing.T) {
		began := time.Now()
		var buffers []*callerBuffer
		for i := range 2 * answers {
			delay := time.Duration(0)
			if i%2 == 0 {
				delay = eventBytes * time.Second / perSecond
			}
			b := newCallerBuffer(held, func(p []byte) error {
				time.Sleep(delay * time.Duration(len(p)) / eventBytes)
				return nil
			})
			buffers = append(buffers, b)
		}
		for range events {
			for _, b := range buffers {
				if err := b.add(make([]byte, eventBytes)); err != nil {
					t.Error(err)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		quick = time.Since(began)
		for _, b := range buffers {
			if err := b.close(); err != nil {
				t.Error(err)
			}
		}
		slow = time.Since(began)
	})
	is := is.New(t)
	is.Equal(quick, events*10*time.Millisecond)
	is.True(slow >= events*eventBytes*time.Second/perSecond)
	is.Equal(held.Load(), int64(0))
}

func TestBoundsOfHeldAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, held := is.New(t), &atomic.Int64{}
		blocked := make(chan struct{})
		block := func([]byte) error { <-blocked; return nil }
		b := newCallerBuffer(held, block)
		is.NoErr(b.add(make([]byte, 1)))
		synctest.Wait() // The first event is being written.
		is.NoErr(b.add(make([]byte, maxHeldPerAnswer)))
		is.Equal(fault.CodeOf(b.add(make([]byte, 1))), fault.CallerTooSlow)
		var others []*callerBuffer
		for held.Load()+maxHeldPerAnswer <= maxHeldInAll {
			o := newCallerBuffer(held, block)
			is.NoErr(o.add(make([]byte, maxHeldPerAnswer)))
			others = append(others, o)
		}
		o := newCallerBuffer(held, block)
		is.Equal(fault.CodeOf(o.add(make([]byte, maxHeldPerAnswer))), fault.CallerTooSlow)
		close(blocked)
		for _, b := range append(others, b, o) {
			is.NoErr(b.close())
		}
		is.Equal(held.Load(), int64(0))
	})
}

func TestCallerThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, held, gone := is.New(t), &atomic.Int64{}, errors.New("gone")
		b := newCallerBuffer(held, func([]byte) error { return gone })
		is.NoErr(b.add(make([]byte, 10)))
		synctest.Wait()
		is.Equal(b.add(make([]byte, 10)), gone)
		is.Equal(b.close(), gone)
		is.Equal(held.Load(), int64(0))
	})
}
