package weights

import (
	"container/list"
	"sync"

	"github.com/poststand/poststand/fault"
)

// Store keeps verified chunks in bounded memory, keyed by digest. The zero value is an
// unbounded store. Its methods are safe for concurrent use.
type Store struct {
	Limit int64 // Bytes; 0 means no limit.

	mu     sync.Mutex
	chunks map[string]*list.Element   // Elements of recent, by digest.
	recent list.List                  // Values are *entry, most recently used first.
	pins   map[string]map[string]bool // Pinned digests by holder.
	bytes  int64
}

type entry struct {
	digest string
	data   []byte
}

// Put stores data under digest if it matches. Unpinned chunks are evicted to make room, least
// recently used first. If that does not free enough, Put fails with fault.StoreFull and evicts
// nothing.
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
	if !s.evict(int64(len(data))) {
		return fault.New(fault.StoreFull, digest)
	}
	s.chunks[digest] = s.recent.PushFront(&entry{digest, data})
	s.bytes += int64(len(data))
	return nil
}

// evict makes room for need bytes, and reports whether there is enough. The caller holds s.mu.
func (s *Store) evict(need int64) bool {
	if s.Limit == 0 || s.bytes+need <= s.Limit {
		return true
	}
	free, victims := s.Limit-s.bytes, []*list.Element{}
	for e := s.recent.Back(); e != nil && free < need; e = e.Prev() {
		if h := e.Value.(*entry); !s.pinned(h.digest) {
			victims = append(victims, e)
			free += int64(len(h.data))
		}
	}
	if free < need {
		return false
	}
	for _, e := range victims {
		h := s.recent.Remove(e).(*entry)
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

// Get returns a chunk. The caller must not modify the data.
func (s *Store) Get(digest string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.chunks[digest]
	if !ok {
		return nil, false
	}
	s.recent.MoveToFront(e)
	return e.Value.(*entry).data, true
}

// Pin protects the given chunks, stored now or later, from eviction until Unpin. A second Pin
// by the same holder replaces the first.
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

// Unpin removes the pins of a holder.
func (s *Store) Unpin(holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pins, holder)
}

// Bytes returns the total size of the stored chunks.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}
