package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/poststand/poststand/quarantine"
)

// struckThrice is enough evidence against a key, none of it recent.
func struckThrice(keys ...string) (out []step) {
	for i, ms := range []int{0, 400, 900} {
		for _, k := range keys {
			out = append(out, step{ms, k, fmt.Sprint("r", i), i + 1})
		}
	}
	return out
}

func keysOf(names ...string) (out []quarantine.Key) {
	for _, n := range names {
		out = append(out, key(n))
	}
	return out
}

// After a quarantine, one process at a time sends one request. All gateways tried at once, and each
// trial cost a replica.
func TestOneRequestAtATimeIsTriedAfterAQuarantine(t *testing.T) {
	myTurn := false
	tab := &quarantine.Table{IsTurn: func(quarantine.Key, time.Duration) bool { return myTurn }}
	apply(tab, struckThrice("a"))
	const second = 1000
	minutes := func(n int) int { return n * 60 * second }
	judge := func(ms int) quarantine.Verdict { return tab.Judge(at(ms), keysOf("x", "a"), false) }
	if v := judge(second); !v.Refused || v.Cause != 1 {
		t.Fatalf("not refused for its second key: %+v", v)
	}
	expired := minutes(10) + 2*second
	if v := judge(expired); !v.Refused {
		t.Error("sent while it was another process's turn")
	}
	myTurn = true
	if v := judge(expired); v.Refused || !v.Trial {
		t.Error("not sent on trial")
	}
	if v := judge(expired + second); !v.Refused {
		t.Error("a second request was sent during a trial")
	}
	apply(tab, []step{{expired + second, "a", "r9", 4}}) // The trial ends a replica.
	if v := judge(expired + minutes(15)); !v.Refused || v.Trial {
		t.Error("the second quarantine is not longer than the first")
	}
	again := expired + minutes(21)
	if v := judge(again); !v.Trial {
		t.Error("no second trial")
	}
	tab.RecordSuccess(at(again+second), at(again), keysOf("x", "a")...)
	if v := judge(again + second); v.Refused || v.Trial {
		t.Error("not cleared by the trial")
	}
}

// Keys that were at the same replicas refuse only requests that have them all: a sound request that
// shares the rarer one with fatal requests was refused.
func TestKeysThatCantBeToldApart(t *testing.T) {
	var tab quarantine.Table
	apply(&tab, struckThrice("a", "b"))
	judge := func(ms int, names ...string) quarantine.Verdict { return tab.Judge(at(ms), keysOf(names...), false) }
	if v := judge(1000, "a", "b"); !v.Refused {
		t.Error("both keys: not refused")
	}
	if v := judge(1000, "b", "c"); v.Refused || !v.Trial {
		t.Error("one of the keys: not sent on trial")
	}
	tab.RecordSuccess(at(2000), at(1500), keysOf("b", "c")...)
	if v := judge(2000, "b", "d"); v.Refused || v.Trial {
		t.Error("one of the keys, which was cleared: refused or on trial")
	}
	if v := judge(2000, "a", "d"); !v.Refused {
		t.Error("the other key: not refused")
	}
}

// A part that nearly all requests have is at each replica that terminates. Refusing it refuses nearly
// all requests.
func TestCommonKeyIsNeverTheCause(t *testing.T) {
	var tab quarantine.Table
	for i := range 20 {
		tab.RecordSuccess(at(i), at(i), keysOf("common", fmt.Sprint("own", i))...)
	}
	for i := range 12 {
		apply(&tab, []step{{1000 + 400*i, "common", fmt.Sprint("r", i), i + 1}})
	}
	if v := tab.Judge(at(8000), keysOf("common"), false); v.Refused {
		t.Error("refused")
	}
}

// Requests that ran before a key turned fatal end after it did, and cleared it.
func TestRunThatBeganBeforeAStrikeDoesNotRefuteIt(t *testing.T) {
	var tab quarantine.Table
	apply(&tab, struckThrice("a"))
	tab.RecordSuccess(at(1000), at(450), key("a"))
	st := tab.Lookup(at(1000), key("a"))
	if len(st.Strikes) != 1 || st.Strikes[0].Replica != "r2" {
		t.Errorf("strikes left: %v", st.Strikes)
	}
}

// Two fatal parts that always come with a third one leave more evidence against that one than against
// each of them: all requests with it were refused for ten minutes.
func TestQuarantineThatMayBeWrongIsTriedByOneRequest(t *testing.T) {
	var tab quarantine.Table
	apply(&tab, []step{{0, "shared", "", 0}})
	for i := range 6 {
		fatal := fmt.Sprint("fatal", i%2)
		apply(&tab, []step{
			{1000 + 400*i, "shared", fmt.Sprint("r", i), i + 1}, {1000 + 400*i, fatal, fmt.Sprint("r", i), i/2 + 1},
		})
	}
	judge := func(ms int, names ...string) quarantine.Verdict { return tab.Judge(at(ms), keysOf(names...), false) }
	if v := judge(3900, "shared", "own1"); !v.Refused {
		t.Error("not refused")
	}
	if v := judge(4100, "shared", "fatal0"); !v.Refused || v.Trial {
		t.Error("a request with another suspect key is on trial")
	}
	if v := judge(4100, "shared", "own2"); v.Refused || !v.Trial {
		t.Error("no trial")
	}
	if v := judge(4200, "shared", "own3"); !v.Refused {
		t.Error("a second trial")
	}
	tab.RecordSuccess(at(4700), at(4150), keysOf("shared", "own2")...)
	if v := judge(4800, "shared", "own3"); v.Refused || v.Trial {
		t.Error("not cleared by the trial")
	}
}

// A popular key whose strikes may yet be refuted was treated like one whose quarantine has expired,
// and a turn was asked for before there was any.
func TestPopularKeyIsNotOnTrialBeforeItIsJudged(t *testing.T) {
	tab := &quarantine.Table{IsTurn: func(_ quarantine.Key, since time.Duration) bool {
		t.Errorf("asked for a turn at %v", since)
		return false
	}}
	apply(tab, append([]step{{-1, "a", "", 0}}, struckThrice("a")...))
	if v := tab.Judge(at(1000), keysOf("x", "a"), false); v.Refused || v.Trial {
		t.Errorf("refused %t, trial %t", v.Refused, v.Trial)
	}
}
