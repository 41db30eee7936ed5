package direct_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// Bounds of the users' rule on versions.
const (
	versionWithin = 8 * time.Second
	contact       = 3 * time.Second // Without a disturbance a machine is in touch again, and the store stable.
)

// span is a time in which something is disturbed. Until is zero while it lasts.
type span struct{ from, until time.Time }

func (s span) end(now time.Time) time.Time {
	if s.until.IsZero() {
		return now
	}
	return s.until
}

// judge sees what the stand-ins see, and holds it against the users' rules.
type judge struct {
	mu       sync.Mutex
	origin   time.Time // Times are told from it.
	versions []naming
	store    []*span            // The store is away or slow.
	links    []*span            // Some link is.
	machines map[string][]*span // A machine, by the address of its gateway.
	away     map[string][]*span // A process was ended or cut off, by its address.
	begins   map[string]int     // By the caller's attempt.
	total    int
	old      time.Duration // The longest time after a newer one was named at which one in touch began on an older.
	oldAt    string
	broken   []string
	fatal    fatalRuns
}

type naming struct {
	version uint64
	at      time.Time
}

func newJudge() *judge {
	return &judge{origin: time.Now(), machines: map[string][]*span{}, away: map[string][]*span{}, begins: map[string]int{}}
}

func (j *judge) since(t time.Time) string { return t.Sub(j.origin).Round(time.Millisecond).String() }

func (j *judge) named(version uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.versions = append(j.versions, naming{version, time.Now()})
}

// disturb notes that a disturbance begins; what it returns ends it.
func (j *judge) disturb(list *[]*span) (over func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &span{from: time.Now()}
	*list = append(*list, s)
	return func() { j.ends(s) }
}

func (j *judge) ends(s *span) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.until = time.Now()
}

// disturbMachine is disturb for the machine of a gateway.
func (j *judge) disturbMachine(gateway string) (over func()) { return j.disturbOf(j.machines, gateway) }

// disturbOf is disturb for one of those that spans are of.
func (j *judge) disturbOf(spans map[string][]*span, name string) (over func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &span{from: time.Now()}
	spans[name] = append(spans[name], s)
	return func() { j.ends(s) }
}

func (j *judge) breaks(format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf("%s: ", j.since(time.Now()))+fmt.Sprintf(format, args...))
}

// began is told of each request that a replica began to work on.
func (j *judge) began(b platformtest.EngineRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.total++
	j.begins[b.ID]++
	if once(b.Target) && j.begins[b.ID] > 1 {
		j.breaks("unsafe request %s ran %d times", b.ID, j.begins[b.ID])
	}
	if !j.inTouch(b.Sender, b.ArrivedAt) {
		return
	}
	j.beganFatal(b)
	for _, v := range j.versions {
		if v.version <= b.Version {
			continue
		}
		calm := j.calm(v.at, b.FirstTokenAt)
		if calm > j.old {
			j.old, j.oldAt = calm, fmt.Sprintf("%s at %s by %s on %s, sent %s", b.Target, j.since(b.FirstTokenAt), b.Sender, b.Engine, j.since(b.ArrivedAt))
		}
		if calm > versionWithin {
			j.breaks("VERSION %s (%s) began on %d, %v (calm %v) after %d was named at %s; sent %s by %s to %s, sender in touch until then: %v",
				b.ID, b.Target, b.Version, b.FirstTokenAt.Sub(v.at), calm, v.version, j.since(v.at), j.since(b.ArrivedAt), b.Sender, b.Engine, j.inTouch(b.Sender, b.FirstTokenAt))
		}
		return
	}
}

// once reports whether a request may run once only.
func once(target string) bool {
	return strings.HasPrefix(target, "/plain/unsafe/") || strings.HasPrefix(target, "/once/")
}

// calm returns the longest stretch between two times in which the store was stable and no
// link disturbed.
func (j *judge) calm(from, to time.Time) time.Duration {
	longest, at := time.Duration(0), from
	for at.Before(to) {
		next := to
		for _, s := range j.store {
			at, next = s.narrow(at, next, to, contact)
		}
		for _, s := range j.links {
			at, next = s.narrow(at, next, to, 0)
		}
		if next.After(at) {
			longest = max(longest, next.Sub(at))
		}
		at = next.Add(1)
	}
	return longest
}

// narrow moves the beginning of a stretch past a disturbance that covers it, or its end
// to before one that follows.
func (s *span) narrow(at, next, now time.Time, after time.Duration) (time.Time, time.Time) {
	end := s.end(now).Add(after)
	switch {
	case !s.from.After(at):
		if end.After(at) {
			at = end
		}
	case s.from.Before(next):
		next = s.from
	}
	if next.Before(at) {
		next = at
	}
	return at, next
}

// inTouch reports whether a gateway was in touch at a time.
func (j *judge) inTouch(gateway string, at time.Time) bool {
	for _, s := range j.machines[gateway] {
		if !s.from.After(at) && s.end(at).Add(contact).After(at) {
			return false
		}
	}
	for _, s := range j.store {
		if !s.from.After(at) && s.end(at).Add(2*contact).After(at) {
			return false
		}
	}
	return true
}

// answered is told what a caller got.
func (j *judge) answered(id, target string, status int, wrong string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if wrong != "" {
		j.breaks("%s: %s", id, wrong)
	}
	if status == 429 || status == 503 {
		refused := j.begins[id]
		if once(target) && refused > 0 {
			j.breaks("%s was refused though it had run", id)
		}
		if once(target) {
			j.begins[id] = 1 // It must not run later.
		}
	}
}
