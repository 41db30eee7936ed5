package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"sync"

	"github.com/poststand/poststand/fault"
)

// Answer buffers the parts of one answer as they arrive. One goroutine appends to it, and
// any number of goroutines may follow it from any part. The zero value is empty.
type Answer struct {
	mu       sync.Mutex
	head     *AnswerHead
	parts    [][]byte
	bytes    int
	sum      hash.Hash
	end      *AnswerEnd
	err      error // Why the answer ended incomplete.
	released bool  // The gate no longer retains the parts.
	retained bool
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

// End marks the answer as complete.
func (a *Answer) End() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end = &AnswerEnd{ID: a.head.ID, Seq: len(a.parts), Sum: hex.EncodeToString(a.sum.Sum(nil))}
	a.wake()
}

// Fail ends an incomplete answer with the reason.
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

func (a *Answer) retain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retained = true
}

// release frees the parts if their bytes were counted as retained, and returns that number
// of bytes, or else 0.
func (a *Answer) release() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.released = true
	a.wake()
	if !a.retained {
		return 0
	}
	a.retained = false
	a.parts = nil
	return a.bytes
}

// Follow sends the messages of the answer, from part number from on, as they arrive, and
// returns once the last was sent. The messages carry the follower's own request ID. It
// returns the reason if the answer is incomplete, and fault.OutcomeUnknown if its parts
// were released.
func (a *Answer) Follow(ctx context.Context, id RequestID, from int, send func(m any, last bool) error) error {
	headSent := false
	for {
		head, parts, end, more, err := a.read(from)
		if head != nil && !headSent {
			headSent = true
			h := *head
			h.ID = id
			if err := send(&h, false); err != nil {
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
			e := *end
			e.ID = id
			return send(&e, true)
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

// read returns what is available from a part on. If nothing is, it returns a channel that
// is closed at the next change; more is nil otherwise.
func (a *Answer) read(from int) (head *AnswerHead, parts [][]byte, end *AnswerEnd, more chan struct{}, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from < len(a.parts) {
		return a.head, a.parts[from:], nil, nil, nil
	}
	if a.end != nil {
		if from > a.end.Seq || (a.parts == nil && from < a.end.Seq) {
			return nil, nil, nil, nil, fault.New(fault.OutcomeUnknown, "the answer is no longer retained")
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
