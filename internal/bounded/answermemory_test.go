package bounded

import (
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

// endlessBody is a body without end, until it is closed.
type endlessBody struct {
	memory *AnswerMemory
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
	var m AnswerMemory
	var over atomic.Bool
	var wg sync.WaitGroup
	errs := make(chan error, answers)
	for range answers {
		wg.Go(func() {
			b := &endlessBody{memory: &m, over: &over}
			r := AnswerReader{Memory: &m, Abort: func() { b.closed.Store(true) }}
			_, err := r.ReadAll(b, -1)
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
	var m AnswerMemory
	aborted := 0
	large := &AnswerReader{Memory: &m, Abort: func() { aborted++ }}
	is.NoErr(large.Reserve(freeAnswerBytes, maxAnswerMemory-freeAnswerBytes))
	small := &AnswerReader{Memory: &m}
	is.NoErr(small.Reserve(freeAnswerBytes, 4*freeAnswerBytes))
	is.Equal(aborted, 1)
	is.True(fault.Is(large.Reserve(freeAnswerBytes, 1), fault.AnswerTooLarge))
	is.True(fault.Is(small.Reserve(freeAnswerBytes, maxAnswerMemory), fault.AnswerTooLarge)) // Itself the largest.
	m.release(large)
	m.release(small)
	is.Equal(m.held, 0)
}

// A whole answer that its caller read slowly took the memory from others.
func TestWholeAnswerTakesNoMemoryFromOthers(t *testing.T) {
	is := is.New(t)
	var m AnswerMemory
	for range 2 {
		r := &AnswerReader{Memory: &m}
		parts, err := r.ReadAll(strings.NewReader(strings.Repeat("a", maxAnswerBytes)), -1)
		is.NoErr(err)
		is.True(len(parts) > 0)
	}
	is.Equal(m.held, 0)
}
