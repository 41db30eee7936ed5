package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"sync"

	"github.com/poststand/poststand/fault"
)

// Answer is the log of one answer as it grows. One goroutine appends, and any
// number follow it from any offset. The zero value is empty.
type Answer struct {
	mu       sync.Mutex
	head     *AnswerHead
	parts    [][]byte
	bytes    int
	sum      hash.Hash
	end      *AnswerEnd
	err      error // Why it ended without being whole.
	released bool  // The parts were let go; a follower can get only the state.
	counted  bool
	changed  chan struct{}
}

func (a *Answer) wake() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// Begin sets the head.
func (a *Answer) Begin(h *AnswerHead) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head, a.sum = h, sha256.New()
	a.wake()
}

// Append adds a part of the body.
func (a *Answer) Append(data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sum.Write(data)
	a.parts = append(a.parts, data)
	a.bytes += len(data)
	a.wake()
}

// End marks the answer whole.
func (a *Answer) End() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end = &AnswerEnd{ID: a.head.ID, Seq: len(a.parts), Sum: hex.EncodeToString(a.sum.Sum(nil))}
	a.wake()
}

// Fail ends an answer that is not whole.
func (a *Answer) Fail(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
	a.wake()
}

func (a *Answer) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

func (a *Answer) keep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counted = true
}

// release lets the parts go and returns how many bytes had been counted as kept.
func (a *Answer) release() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.released = true
	a.wake()
	if !a.counted {
		return 0
	}
	a.counted = false
	a.parts = nil
	return a.bytes
}

// Follow sends the answer's messages from part number from on, as they come,
// under the id that the follower knows it by, and returns once the last was
// sent. It returns why the answer is not whole if that is so, and
// fault.OutcomeUnknown if the parts were let go.
func (a *Answer) Follow(ctx context.Context, id RequestID, from int, send func(m any, last bool) error) error {
	headSent := false
	for {
		head, parts, end, more, err := a.read(from)
		if head != nil && !headSent {
			headSent = true
			own := *head
			own.ID = id
			if err := send(&own, false); err != nil {
				return err
			}
		}
		for _, p := range parts {
			if err := send(&AnswerData{ID: id, Seq: from, Data: p}, false); err != nil {
				return err
			}
			from++
		}
		switch {
		case err != nil:
			return err
		case end != nil && from == end.Seq:
			own := *end
			own.ID = id
			return send(&own, true)
		case more == nil:
			continue
		}
		select {
		case <-more:
		case <-ctx.Done():
			return fault.Wrap(fault.Cancelled, context.Cause(ctx), "")
		}
	}
}

// read returns what there is from a part on. The channel is closed at the next
// change; it is nil if there was something to send.
func (a *Answer) read(from int) (head *AnswerHead, parts [][]byte, end *AnswerEnd, more chan struct{}, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from < len(a.parts) {
		return a.head, a.parts[from:], nil, nil, nil
	}
	if a.end != nil {
		if from > a.end.Seq || (a.parts == nil && from < a.end.Seq) {
			return nil, nil, nil, nil, fault.New(fault.OutcomeUnknown, "answer not kept")
		}
		return a.head, nil, a.end, nil, nil
	}
	if a.err != nil {
		return a.head, nil, nil, nil, a.err
	}
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.head, nil, nil, a.changed, nil
}
