package relay

import (
	"io"
	"sync"

	"github.com/poststand/poststand/fault"
)

// Bounds on what is held of answers, in bytes.
const (
	maxAnswerBytes = 16 << 20
	// freeAnswerBytes of each answer do not count in answerMemory.
	freeAnswerBytes = 64 << 10
	// maxAnswerMemory is a little more than one answer of maxAnswerBytes holds.
	maxAnswerMemory = maxAnswerBytes + 2*maxAnswerPart
	minAnswerPart   = 1 << 10
	maxAnswerPart   = 1 << 20
)

// answerMemory bounds the memory of all answers that are being read or written. If there is none left for
// an answer, larger ones that are being read are broken off. The zero value is ready to use.
type answerMemory struct {
	mu      sync.Mutex
	held    int
	readers map[*answerReader]bool // Those that hold memory and read.
}

// answerReader reads one answer, or holds the memory of one stream.
type answerReader struct {
	memory  *answerMemory
	abort   func() // Ends a read in progress.
	held    int    // Guarded by memory.mu.
	revoked bool   // Guarded by memory.mu; the answer is broken off.
}

// readAll returns all bytes of a body, of which length are announced, or -1 if that is not known. They
// count until release is called.
func (r *answerReader) readAll(body io.Reader, length int64) (parts [][]byte, err error) {
	if length > maxAnswerBytes {
		return nil, fault.New(fault.AnswerTooLarge, "body exceeds the size limit by the length that it states")
	}
	defer func() {
		if err != nil {
			r.release()
		}
	}()
	part := make([]byte, 0, firstPartSize(length))
	for total := 0; ; {
		if len(part) == cap(part) {
			parts = append(parts, part)
			size := min(maxAnswerPart, max(total, minAnswerPart))
			if err := r.reserve(total, size); err != nil {
				return nil, err
			}
			part = make([]byte, 0, size)
		}
		n, err := body.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		total += n
		switch {
		case total > maxAnswerBytes:
			return nil, fault.New(fault.AnswerTooLarge, "body exceeds the size limit")
		case r.memory.isRevoked(r) || err == io.EOF && !r.memory.keep(r):
			return nil, errNoAnswerMemory()
		case err == io.EOF:
			return append(parts, part), nil
		case err != nil:
			return nil, err
		}
	}
}

// firstPartSize returns the size of the first buffer for a body.
func firstPartSize(length int64) int {
	if length < 0 {
		return minAnswerPart
	}
	return int(min(length, freeAnswerBytes)) + 1 // One more to read the end.
}

func errNoAnswerMemory() error {
	return fault.New(fault.AnswerTooLarge, "answer is the largest of all that are read, which exceed the memory for them")
}

// release gives back what the answer holds.
func (r *answerReader) release() { r.memory.release(r) }

// reserve fails with fault.AnswerTooLarge if the answer, of which total bytes are held, may not hold n
// bytes more.
func (r *answerReader) reserve(total, n int) error {
	if total+n > freeAnswerBytes && !r.memory.reserve(r, n) {
		return errNoAnswerMemory()
	}
	return nil
}

// reserve reports whether a reader may hold n bytes more. Readers that hold more than it would are
// broken off for that, the largest first.
func (m *answerMemory) reserve(r *answerReader, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for !r.revoked && m.held+n > maxAnswerMemory {
		largest := m.largest()
		if largest == nil || largest.held <= r.held+n {
			return false
		}
		m.revoke(largest)
	}
	if r.revoked {
		return false
	}
	if m.readers == nil {
		m.readers = map[*answerReader]bool{}
	}
	m.readers[r] = true
	r.held += n
	m.held += n
	return true
}

// largest returns the reader that holds the most, or nil. The caller holds m.mu.
func (m *answerMemory) largest() *answerReader {
	var out *answerReader
	for r := range m.readers {
		if out == nil || r.held > out.held {
			out = r
		}
	}
	return out
}

// revoke breaks off an answer. The caller holds m.mu.
func (m *answerMemory) revoke(r *answerReader) {
	r.revoked = true
	m.drop(r)
	r.abort()
}

// drop forgets what a reader holds. The caller holds m.mu.
func (m *answerMemory) drop(r *answerReader) {
	m.held -= r.held
	r.held = 0
	delete(m.readers, r)
}

// keep ends reading: the answer can't be broken off any more. It reports false if it was before.
func (m *answerMemory) keep(r *answerReader) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.readers, r)
	return !r.revoked
}

func (m *answerMemory) release(r *answerReader) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(r)
}

func (m *answerMemory) isRevoked(r *answerReader) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return r.revoked
}
