package bounded

import (
	"io"
	"sync"

	"github.com/poststand/poststand/fault"
)

// Bounds on what is held of answers, in bytes.
const (
	maxAnswerBytes = 16 << 20
	// freeAnswerBytes of each answer do not count in AnswerMemory.
	freeAnswerBytes = 32 << 10
	// maxAnswerMemory is a little more than one answer of maxAnswerBytes holds.
	maxAnswerMemory = maxAnswerBytes + 2*maxAnswerPart
	minAnswerPart   = 1 << 10
	maxAnswerPart   = 256 << 10
)

// AnswerMemory bounds the memory of all answers that are being read. If there is none left for an answer,
// larger ones are broken off. The zero value is ready to use.
type AnswerMemory struct {
	mu      sync.Mutex
	held    int
	readers map[*AnswerReader]bool // Those that hold memory.
}

// AnswerReader reads one answer, or holds the memory of one stream.
type AnswerReader struct {
	Memory *AnswerMemory
	Abort  func() // Ends a read in progress.

	held    int  // Guarded by Memory.mu.
	revoked bool // Guarded by Memory.mu; the answer is broken off.
}

// ReadAll returns all bytes of a body, of which length are announced, or -1 if that is not known. Once it
// returns they count no more: a caller that reads a whole answer slowly takes no memory from other answers.
func (r *AnswerReader) ReadAll(body io.Reader, length int64) (parts [][]byte, err error) {
	if length > maxAnswerBytes {
		return nil, fault.New(fault.AnswerTooLarge, "body exceeds the size limit by the length that it states")
	}
	defer r.Release()
	part := make([]byte, 0, firstPartSize(length))
	for total := 0; ; {
		if len(part) == cap(part) {
			parts = append(parts, part)
			size := min(maxAnswerPart, max(total, minAnswerPart))
			if err := r.Reserve(total, size); err != nil {
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
		case r.Err() != nil:
			return nil, r.Err()
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

// Err returns why the answer is broken off for lack of memory, or nil if it isn't. The lack is no failure of
// whoever sends the answer.
func (r *AnswerReader) Err() error {
	if r.Memory.isRevoked(r) {
		return errNoAnswerMemory()
	}
	return nil
}

// Release gives back what the answer holds.
func (r *AnswerReader) Release() { r.Memory.release(r) }

// Reserve fails with fault.AnswerTooLarge if the answer, of which total bytes are held, may not hold n
// bytes more.
func (r *AnswerReader) Reserve(total, n int) error {
	if total+n > freeAnswerBytes && !r.Memory.reserve(r, n) {
		return errNoAnswerMemory()
	}
	return nil
}

// reserve reports whether a reader may hold n bytes more. Readers that hold more than it would are
// broken off for that, the largest first.
func (m *AnswerMemory) reserve(r *AnswerReader, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for !r.revoked && m.held+n > maxAnswerMemory {
		largest := m.largest()
		if largest == nil || largest.held <= r.held+n {
			m.revoke(r)
			break
		}
		m.revoke(largest)
		largest.Abort()
	}
	if r.revoked {
		return false
	}
	if m.readers == nil {
		m.readers = map[*AnswerReader]bool{}
	}
	m.readers[r] = true
	r.held += n
	m.held += n
	return true
}

// largest returns the reader that holds the most, or nil. The caller holds m.mu.
func (m *AnswerMemory) largest() *AnswerReader {
	var out *AnswerReader
	for r := range m.readers {
		if out == nil || r.held > out.held {
			out = r
		}
	}
	return out
}

// revoke breaks off an answer. The caller holds m.mu.
func (m *AnswerMemory) revoke(r *AnswerReader) {
	r.revoked = true
	m.drop(r)
}

// drop forgets what a reader holds. The caller holds m.mu.
func (m *AnswerMemory) drop(r *AnswerReader) {
	m.held -= r.held
	r.held = 0
	delete(m.readers, r)
}

func (m *AnswerMemory) release(r *AnswerReader) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(r)
}

func (m *AnswerMemory) isRevoked(r *AnswerReader) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return r.revoked
}
