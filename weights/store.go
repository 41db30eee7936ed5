package weights

import (
	"container/list"
	"sync"

	"github.com/poststand/poststand/fault"
)

// Store keeps verified chunks in bounded memory, by digest. The zero value has
// no bound. Methods are safe for use by many goroutines.
type Store struct {
	Limit int64 // Bytes; 0 is no bound.

	mu     sync.Mutex
	chunks map[string]*list.Element // Of *held, the most recently used first.
	recent list.List
	pins   map[string]map[string]bool // Digests that each holder needs.
	bytes  int64
}

type held struct {
	digest string
	data   []byte
}

// Put keeps data under digest if it matches. Chunks that nobody has pinned make
// room, the least recently used first; if that does not suffice it fails with
// fault.StoreFull and keeps what it had.
func (s *Store) Put(digest string, data []byte) error {
	if Digest(data) != digest {
		return fault.New(fault.Corrupt, digest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chunks == nil {
		s.chunks = map[string]*list.Element{}
	}
	if e, ok := s.chunks[digest]; ok {
		s.recent.MoveToFront(e)
		return nil
	}
	if !s.makeRoom(int64(len(data))) {
		return fault.New(fault.StoreFull, digest)
	}
	s.chunks[digest] = s.recent.PushFront(&held{digest, data})
	s.bytes += int64(len(data))
	return nil
}

func (s *Store) makeRoom(need int64) bool {
	if s.Limit == 0 || s.bytes+need <= s.Limit {
		return true
	}
	free, victims := s.Limit-s.bytes, []*list.Element{}
	for e := s.recent.Back(); e != nil && free < need; e = e.Prev() {
		if h := e.Value.(*held); !s.pinned(h.digest) {
			victims = append(victims, e)
			free += int64(len(h.data))
		}
	}
	if free < need {
		return false
	}
	for _, e := range victims {
		h := s.recent.Remove(e).(*held)
		delete(s.chunks, h.digest)
		s.bytes -= int64(len(h.data))
	}
	return true
}

func (s *Store) pinned(digest string) bool {
	for _, set := range s.pins {
		if set[digest] {
			return true
		}
	}
	return false
}

// Get returns a chunk. The data must not be changed.
func (s *Store) Get(digest string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.chunks[digest]
	if !ok {
		return nil, false
	}
	s.recent.MoveToFront(e)
	return e.Value.(*held).data, true
}

// Pin keeps the given chunks, held now or later, from being evicted until
// Unpin. A second Pin by the same holder replaces the first.
func (s *Store) Pin(holder string, digests []string) {
	set := make(map[string]bool, len(digests))
	for _, d := range digests {
		set[d] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pins == nil {
		s.pins = map[string]map[string]bool{}
	}
	s.pins[holder] = set
}

// Unpin ends a Pin.
func (s *Store) Unpin(holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pins, holder)
}

// Bytes returns how much is kept.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}
