package relay

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

// endlessBody is a body without end, until it is closed.
type endlessBody struct {
	memory *answerMemory
	closed atomic.Bool
	over   *atomic.Bool // Set if more memory was held than allowed.
}

func (b *endlessBody) Read(p []byte) (int, error) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if b.memory.held > maxAnswerMemory {
		b.over.Store(true)
	}
	if b.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	return min(len(p), 8<<10), nil
}

// Each of a hundred answers without end held 16 MiB.
func TestManyAnswersWithoutEndHoldLittleMemory(t *testing.T) {
	const answers = 100
	is := is.New(t)
	var m answerMemory
	var over atomic.Bool
	var wg sync.WaitGroup
	errs := make(chan error, answers)
	for range answers {
		wg.Go(func() {
			b := &endlessBody{memory: &m, over: &over}
			r := answerReader{memory: &m, abort: func() { b.closed.Store(true) }}
			_, err := r.readAll(b, -1)
			errs <- err
		})
	}
	wg.Wait()
	for range answers {
		err := <-errs
		is.True(fault.Is(err, fault.AnswerTooLarge) || errors.Is(err, io.ErrClosedPipe))
	}
	is.True(!over.Load())
	is.Equal(m.held, 0)
	is.Equal(len(m.readers), 0)
}

// A small answer was refused for memory that larger ones hold.
func TestLargestAnswerIsBrokenOffForSmallerOnes(t *testing.T) {
	is := is.New(t)
	var m answerMemory
	aborted := 0
	large := &answerReader{memory: &m, abort: func() { aborted++ }}
	is.NoErr(large.reserve(freeAnswerBytes, maxAnswerMemory-freeAnswerBytes))
	small := &answerReader{memory: &m}
	is.NoErr(small.reserve(freeAnswerBytes, 4*freeAnswerBytes))
	is.Equal(aborted, 1)
	is.True(fault.Is(large.reserve(freeAnswerBytes, 1), fault.AnswerTooLarge))
	is.True(fault.Is(small.reserve(freeAnswerBytes, maxAnswerMemory), fault.AnswerTooLarge)) // Itself the largest.
	m.release(large)
	m.release(small)
	is.Equal(m.held, 0)
}
