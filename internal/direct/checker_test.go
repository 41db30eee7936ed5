package direct_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// Bounds of the users' rule on versions: once a newer target version has been set for
// versionWithin, gateways in contact start no requests on an older one.
const (
	versionWithin = 8 * time.Second
	recoveryTime  = 3 * time.Second // After a disturbance, until a machine is in contact again and the store stable.
)

// disturbance is a time during which something is disturbed. until is zero while it lasts.
type disturbance struct{ from, until time.Time }

func (d disturbance) end(now time.Time) time.Time {
	if d.until.IsZero() {
		return now
	}
	return d.until
}

// checker records what the stand-ins and the callers observe and checks it against the users'
// rules.
type checker struct {
	mu                  sync.Mutex
	start               time.Time // Reported times are relative to it.
	targetChanges       []targetChange
	storeDisturbances   []*disturbance            // Of the store: down, or being restored.
	linkDisturbances    []*disturbance            // Of any link.
	machineDisturbances map[string][]*disturbance // By the address of the machine's gateway.
	processOutages      map[string][]*disturbance // Times when a process was killed or isolated, by its address.
	runs                map[string]int            // By the ID of the caller's attempt.
	totalRuns           int
	stalest             time.Duration // The longest calm between a target change and a request that still began on an older version.
	stalestRun          string
	violations          []string
	fatal               fatalRequests
}

type targetChange struct {
	version uint64
	at      time.Time
}

func newChecker() *checker {
	return &checker{start: time.Now(), machineDisturbances: map[string][]*disturbance{}, processOutages: map[string][]*disturbance{}, runs: map[string]int{}}
}

func (c *checker) sinceStart(t time.Time) string {
	return t.Sub(c.start).Round(time.Millisecond).String()
}

func (c *checker) recordTargetChange(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targetChanges = append(c.targetChanges, targetChange{version, time.Now()})
}

// beginDisturbance records the beginning of a disturbance in a list, and returns a function that
// records its end.
func (c *checker) beginDisturbance(list *[]*disturbance) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &disturbance{from: time.Now()}
	*list = append(*list, d)
	return func() { c.endDisturbance(d) }
}

func (c *checker) endDisturbance(d *disturbance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d.until = time.Now()
}

// disturbMachine is beginDisturbance for the machine of a gateway.
func (c *checker) disturbMachine(gateway string) (end func()) {
	return c.beginDisturbanceOf(c.machineDisturbances, gateway)
}

// beginDisturbanceOf is beginDisturbance for the list under a name.
func (c *checker) beginDisturbanceOf(disturbances map[string][]*disturbance, name string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &disturbance{from: time.Now()}
	disturbances[name] = append(disturbances[name], d)
	return func() { c.endDisturbance(d) }
}

// addViolation records a violation of a rule. The caller holds c.mu.
func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s: ", c.sinceStart(time.Now()))+fmt.Sprintf(format, args...))
}

// checkRun checks a request that a replica began to run. It is the OnRun of all engines.
func (c *checker) checkRun(run platformtest.EngineRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totalRuns++
	c.runs[run.ID]++
	if runsAtMostOnce(run.Target) && c.runs[run.ID] > 1 {
		c.addViolation("unsafe request %s ran %d times", run.ID, c.runs[run.ID])
	}
	if !c.inContact(run.Sender, run.ArrivedAt) {
		return
	}
	c.checkFatalRun(run)
	for _, change := range c.targetChanges {
		if change.version <= run.Version {
			continue
		}
		calm := c.longestCalm(change.at, run.FirstTokenAt)
		if calm > c.stalest {
			c.stalest, c.stalestRun = calm, fmt.Sprintf("%s at %s by %s on %s, sent %s", run.Target, c.sinceStart(run.FirstTokenAt), run.Sender, run.Engine, c.sinceStart(run.ArrivedAt))
		}
		if calm > versionWithin {
			c.addViolation("VERSION %s (%s) began on %d, %v (calm %v) after the target became %d at %s; sent %s by %s to %s, sender in contact when it began: %v",
				run.ID, run.Target, run.Version, run.FirstTokenAt.Sub(change.at), calm, change.version, c.sinceStart(change.at), c.sinceStart(run.ArrivedAt), run.Sender, run.Engine, c.inContact(run.Sender, run.FirstTokenAt))
		}
		return
	}
}

// runsAtMostOnce reports whether requests to a target must not run twice.
func runsAtMostOnce(target string) bool {
	return strings.HasPrefix(target, "/plain/unsafe/") || strings.HasPrefix(target, "/once/")
}

// longestCalm returns the longest part of an interval in which the store was stable and no link
// disturbed.
func (c *checker) longestCalm(from, to time.Time) time.Duration {
	longest, at := time.Duration(0), from
	for at.Before(to) {
		next := to
		for _, d := range c.storeDisturbances {
			at, next = d.exclude(at, next, to, recoveryTime)
		}
		for _, d := range c.linkDisturbances {
			at, next = d.exclude(at, next, to, 0)
		}
		if next.After(at) {
			longest = max(longest, next.Sub(at))
		}
		at = next.Add(1)
	}
	return longest
}

// exclude shortens the interval from at to next by the disturbance and the time to settle after
// it: if the disturbance covers the beginning, that moves past it; if it begins later, the end
// moves to before it.
func (d *disturbance) exclude(at, next, now time.Time, settle time.Duration) (time.Time, time.Time) {
	end := d.end(now).Add(settle)
	switch {
	case !d.from.After(at):
		if end.After(at) {
			at = end
		}
	case d.from.Before(next):
		next = d.from
	}
	if next.Before(at) {
		next = at
	}
	return at, next
}

// inContact reports whether a gateway was in contact at a time: its machine has not been disturbed
// for the recovery time, and the store not for twice that.
func (c *checker) inContact(gateway string, at time.Time) bool {
	for _, d := range c.machineDisturbances[gateway] {
		if !d.from.After(at) && d.end(at).Add(recoveryTime).After(at) {
			return false
		}
	}
	for _, d := range c.storeDisturbances {
		if !d.from.After(at) && d.end(at).Add(2*recoveryTime).After(at) {
			return false
		}
	}
	return true
}

// checkOutcome checks the status of an answer that a caller received, and records the violation
// that the caller found in it, if any.
func (c *checker) checkOutcome(id, target string, status int, violation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if violation != "" {
		c.addViolation("%s: %s", id, violation)
	}
	if status == 429 || status == 503 {
		runs := c.runs[id]
		if runsAtMostOnce(target) && runs > 0 {
			c.addViolation("%s was refused though it had run", id)
		}
		if runsAtMostOnce(target) {
			c.runs[id] = 1 // It must not run later.
		}
	}
}
