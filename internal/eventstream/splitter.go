package eventstream

import (
	"bytes"
	"io"

	"github.com/poststand/poststand/fault"
)

const (
	minBuffer       = 4 << 10 // Bytes.
	defaultMaxEvent = 1 << 20 // Bytes.
)

var (
	byteOrderMark = []byte("\ufeff")
	idField       = []byte("id")
	colon         = []byte(":")
)

// A Splitter splits a stream into complete events. Lines end with LF, CRLF or CR, also mixed, and an
// event ends with an empty line. Comments are no events. The zero value is ready to use.
type Splitter struct {
	// MaxEvent limits the bytes that are held for an incomplete event; 1 MiB if zero.
	MaxEvent int
	// Reserve, if set, is called before a buffer of held bytes grows by n. It returns an error if it may not.
	Reserve func(held, n int) error

	buf       []byte // Bytes that were not taken, or were taken last.
	taken     int    // buf[:taken] was returned before.
	complete  int    // buf[:complete] ends with an empty line, or is empty. At least taken.
	scanned   int    // buf[:scanned] has been looked at.
	lineStart int    // Start of the line at scanned.
	mayHaveCR bool   // The stream has a CR.
	afterCR   bool   // buf[scanned-1] is a CR; if an LF follows, it belongs to the same line end.
	inStream  bool   // The first line has ended.

	event      event  // The one that is incomplete.
	count      int    // Events that are complete and were not taken.
	firstID    string // Of the stream.
	lastID     []byte // Of the last complete event that has one.
	identified bool   // The last complete event has one.
}

// event is what is known of one event.
type event struct {
	begun bool // It has a line other than comments.
	id    []byte
}

// Events are complete events of a stream, in order.
type Events struct {
	Data    []byte // With all comments and empty lines; valid until the next call of Fill.
	Count   int
	FirstID string // ID of the first event of the stream that has one.
	LastID  string // ID of the last event in Data that has one.
	// Identified is set if the last event in Data has an ID, so that a stream can be continued
	// after it.
	Identified bool
}

// Fill reads once from r. It returns the number of bytes and the error of r, or fault.AnswerTooLarge if
// an event exceeds MaxEvent.
func (s *Splitter) Fill(r io.Reader) (int, error) {
	s.discardTaken()
	if len(s.buf) == cap(s.buf) {
		if err := s.grow(); err != nil {
			return 0, err
		}
	}
	n, err := r.Read(s.buf[len(s.buf):cap(s.buf)])
	// Most streams have no CR: one search in all that is read saves one in each line.
	s.mayHaveCR = s.mayHaveCR || bytes.IndexByte(s.buf[len(s.buf):len(s.buf)+n], '\r') >= 0
	s.buf = s.buf[:len(s.buf)+n]
	return n, err
}

// grow makes room in a full buffer. It doubles, up to the largest event and a byte more.
func (s *Splitter) grow() error {
	limit := s.MaxEvent
	if limit == 0 {
		limit = defaultMaxEvent
	}
	n := min(max(minBuffer, len(s.buf)), limit+1-len(s.buf))
	if n <= 0 {
		return fault.New(fault.AnswerTooLarge, "stream event exceeds the size limit")
	}
	if s.Reserve != nil {
		if err := s.Reserve(len(s.buf), n); err != nil {
			return err
		}
	}
	larger := make([]byte, len(s.buf), len(s.buf)+n)
	copy(larger, s.buf)
	s.buf = larger
	return nil
}

// Take returns the events that are complete and were not returned before.
func (s *Splitter) Take() Events {
	for s.scanLine() {
		continue
	}
	return s.take()
}

// TakeOne is like Take, but returns one event at most; Count is 0 if none is complete.
func (s *Splitter) TakeOne() Events {
	for s.count == 0 && s.scanLine() {
		continue
	}
	return s.take()
}

func (s *Splitter) take() Events {
	out := Events{
		Data: s.buf[s.taken:s.complete], Count: s.count, FirstID: s.firstID, LastID: string(s.lastID),
		Identified: s.identified,
	}
	s.taken, s.count, s.lastID, s.identified = s.complete, 0, s.lastID[:0], false
	return out
}

// Rest returns the bytes after the last complete event.
func (s *Splitter) Rest() []byte { return s.buf[s.complete:] }

// InsideEvent reports whether the bytes that were read end inside an event, once all that are complete were
// taken.
func (s *Splitter) InsideEvent() bool {
	return s.event.begun || isField(s.line(s.buf[s.lineStart:]))
}

// discardTaken makes room for what is read next.
func (s *Splitter) discardTaken() {
	n := s.taken
	if n == 0 {
		return
	}
	s.buf = append(s.buf[:0], s.buf[n:]...)
	s.taken, s.complete, s.scanned, s.lineStart = 0, s.complete-n, s.scanned-n, s.lineStart-n
}

// scanLine looks at the bytes up to the end of a line, and reports whether there was one.
func (s *Splitter) scanLine() bool {
	if s.afterCR && s.scanned < len(s.buf) {
		s.afterCR = false
		if s.buf[s.scanned] == '\n' {
			s.skipLF()
		}
	}
	n := s.lineLen()
	if n < 0 {
		s.scanned = len(s.buf)
		return false
	}
	end := s.scanned + n
	s.scanned, s.afterCR = end+1, s.buf[end] == '\r'
	s.endLine(s.line(s.buf[s.lineStart:end]))
	s.lineStart = s.scanned
	return true
}

// skipLF skips the second byte of a CRLF. If the CR has ended an event, the LF belongs to that event.
func (s *Splitter) skipLF() {
	if s.complete == s.scanned {
		s.complete++
	}
	s.scanned++
	s.lineStart = s.scanned
}

// lineLen returns the index of the first byte that ends a line among those that were not looked at, or -1.
func (s *Splitter) lineLen() int {
	b := s.buf[s.scanned:]
	lf := bytes.IndexByte(b, '\n')
	if !s.mayHaveCR {
		return lf
	}
	if lf >= 0 {
		b = b[:lf]
	}
	if cr := bytes.IndexByte(b, '\r'); cr >= 0 {
		return cr
	}
	return lf
}

// line returns a line without the byte order mark that the first one may have.
func (s *Splitter) line(b []byte) []byte {
	if s.inStream {
		return b
	}
	return bytes.TrimPrefix(b, byteOrderMark)
}

// endLine handles a line that is complete.
func (s *Splitter) endLine(line []byte) {
	s.inStream = true
	switch {
	case len(line) == 0:
		s.endEvent()
	case isField(line):
		s.event.begun = true
		s.parseID(line)
	}
}

// isField reports whether a line, or its beginning, belongs to an event: it is neither blank nor a
// comment.
func isField(line []byte) bool {
	if len(line) == 0 || line[0] == ':' {
		return false
	}
	return line[0] > ' ' || len(bytes.Trim(line, " \t")) > 0
}

// parseID reads the ID of an event. An empty one withdraws those before.
func (s *Splitter) parseID(line []byte) {
	if line[0] != idField[0] {
		return
	}
	value, ok := bytes.CutPrefix(line, idField)
	if !ok || len(value) > 0 && value[0] != ':' || bytes.IndexByte(value, 0) >= 0 {
		return
	}
	s.event.id = append(s.event.id[:0], bytes.TrimSpace(bytes.TrimPrefix(value, colon))...)
}

// endEvent handles an empty line.
func (s *Splitter) endEvent() {
	s.complete = s.scanned
	if !s.event.begun {
		return
	}
	s.count++
	id := s.event.id
	s.event = event{id: id[:0]}
	s.identified = len(id) > 0
	if !s.identified {
		return
	}
	if s.firstID == "" {
		s.firstID = string(id)
	}
	s.lastID = append(s.lastID[:0], id...)
}
