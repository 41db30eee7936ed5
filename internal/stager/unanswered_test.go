package stager

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

// A call that got no answer blocks other versions for as long as the replica may carry it out.
func TestUnansweredCallsBlockOtherVersions(t *testing.T) {
	staged := call{model: "m", version: 2, born: 7}
	ordered := call{model: "m", version: 2, born: 7, order: true, orders: 3}
	same := Report{Born: 7, OrderCount: 3}
	silent := fault.New(fault.Unreachable, "replica")
	refused := fault.Wrap(fault.Unreachable, syscall.ECONNREFUSED, "replica")
	type report struct {
		sent, answered time.Duration // Since the call was given up.
		rep            Report
		err            error
	}
	for _, tc := range []struct {
		name    string
		call    call
		reports []report
		over    bool
	}{
		{"no report", staged, nil, false},
		{"the replica answered once", staged, []report{{0, 0, same, nil}}, false},
		{"it has answered for long", staged, []report{{0, 0, same, nil}, {settleTime, settleTime, same, nil}}, true},
		{"for less", staged, []report{{0, 0, same, nil}, {settleTime - 1, settleTime, same, nil}}, false},
		{"after it stood still", staged, []report{{0, 9 * time.Second, same, nil}, {settleTime, 9 * time.Second, same, nil}}, false},
		{"it was silent meanwhile", staged, []report{{0, 0, same, nil}, {1, 1, Report{}, silent}, {settleTime, settleTime, same, nil}}, false},
		{"it refused a report meanwhile", staged, []report{{0, 0, same, nil}, {1, 1, Report{}, fault.New(fault.Throttled, "replica")}, {settleTime, settleTime, same, nil}}, true},
		{"it only refuses", staged, []report{{0, 0, Report{}, fault.New(fault.Throttled, "replica")}, {settleTime, settleTime, Report{}, fault.New(fault.Throttled, "replica")}}, false},
		{"asked before it was given up", staged, []report{{-1, 0, Report{Born: 8}, nil}}, false},
		{"another process answers", staged, []report{{0, 0, Report{Born: 8}, nil}}, true},
		{"no process listens", staged, []report{{0, 0, Report{}, refused}}, true},
		{"none did before", staged, []report{{-1, 0, Report{}, refused}}, false},
		{"an order was taken", ordered, []report{{0, 0, Report{Born: 7, OrderCount: 4}, nil}}, true},
		{"a piece outlasts an order", staged, []report{{0, 0, Report{Born: 7, OrderCount: 4}, nil}}, false},
		{"an earlier agent's, of any life", call{}, []report{{0, 0, same, nil}}, false},
		{"an earlier agent's, after long", call{}, []report{{0, 0, same, nil}, {startSettleTime, startSettleTime, same, nil}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			var u unansweredCalls
			u.add(tc.call, start)
			for _, r := range tc.reports {
				u.observe(start.Add(r.sent), start.Add(r.answered), r.rep, r.err)
			}
			is.Equal(u.allow("m", 3), tc.over)
			is.Equal(u.allow("m", 2), tc.over || tc.call.version == 2)
		})
	}
}
