package causes

import (
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/poststand/poststand/fault"
)

// Names of the events of gateways' log lines that are analysed.
const (
	requestEvent = "request"
	refusedEvent = "refused"
)

// Event is one log line of a gateway.
type Event struct {
	Name      string
	Timestamp string // In klog's format, which has no year.
	Fields    map[string]string
}

// fate is how an attempt or a request ended.
type fate uint8

const (
	inTime  fate = iota // The first event came within the latency target.
	late                // It came later.
	refused             // Not run.
	failed              // It may have run, but was not answered in full.
	invalid             // The caller's mistake: a 4xx status.
	fates
)

var fateNames = [fates]string{"in_time", "late", "refused", "failed", "invalid"}

// attempt is what is kept of one line.
type attempt struct {
	group     group
	key       [16]byte
	hasKey    bool
	endedAt   int64 // Milliseconds of the clock of the gateway.
	arrivedAt int64
	first     int32 // Milliseconds from the arrival to the first event; -1 if there was none.
	waited    int32 // Milliseconds of these before the request was first sent.
	left      int32 // Milliseconds that the caller had left at the end.
	target    int32 // Latency target in milliseconds; 0 if there is none.
	fate      fate  // Other than late, which depends on earlier attempts.
	reason    uint16
}

// group is what attempts are counted by. Names are indices in the table of an Analysis.
type group struct {
	route, rank, organisation, hall uint16
}

// timestampLayout is the layout of klog's timestamps.
const timestampLayout = "0102 15:04:05.000000"

// fieldReader reads the fields of an event and keeps the first error.
type fieldReader struct {
	fields map[string]string
	err    error
}

// millis returns a field as a number, or a default if the line lacks it.
func (r *fieldReader) millis(name string, ifAbsent int32) int32 {
	text, ok := r.fields[name]
	if !ok {
		return ifAbsent
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil && r.err == nil {
		r.err = fault.Wrap(fault.Garbage, err, name)
	}
	return int32(max(math.MinInt32, min(math.MaxInt32, n)))
}

// attemptOf reads the attempt of an event.
func (a *Analysis) attemptOf(e Event) (attempt, error) {
	ended, err := time.Parse(timestampLayout, e.Timestamp)
	if err != nil {
		return attempt{}, fault.Wrap(fault.Garbage, err, "timestamp")
	}
	r := fieldReader{fields: e.Fields}
	t := attempt{
		group: group{
			route: a.names.index(e.Fields["route"]), rank: a.names.index(e.Fields["rank"]),
			organisation: a.names.index(e.Fields["organisation"]), hall: a.names.index(e.Fields["hall"]),
		},
		endedAt: ended.UnixMilli(),
		first:   r.millis("first_ms", -1), waited: r.millis("waited_ms", 0), left: r.millis("left_ms", 0),
		target: r.millis("target_ms", int32(a.DefaultTarget.Milliseconds())), reason: a.names.index(e.Fields["reason"]),
	}
	t.arrivedAt = t.endedAt - int64(r.millis("took_ms", 0))
	if key, err := hex.DecodeString(e.Fields["key"]); err == nil && len(key) == len(t.key) {
		copy(t.key[:], key)
		t.hasKey = true
	}
	t.fate = fateOf(e, r.millis("status", 0))
	return t, r.err
}

// fateOf returns how an attempt ended, without regard to its latency.
func fateOf(e Event, status int32) fate {
	switch {
	case e.Name == refusedEvent && status < 500:
		return invalid
	case e.Name == refusedEvent || e.Fields["outcome"] == "not_run":
		return refused
	case e.Fields["outcome"] == "ran" && e.Fields["reason"] == "":
		return inTime
	}
	return failed
}

// names numbers texts that occur in many lines. Index 0 is the empty text.
type names struct {
	byText map[string]uint16
	texts  []string
}

// index returns the number of a text; once all numbers are taken, that of the empty text.
func (n *names) index(text string) uint16 {
	if text == "" {
		return 0
	}
	if i, ok := n.byText[text]; ok {
		return i
	}
	if n.byText == nil {
		n.byText, n.texts = map[string]uint16{}, []string{""}
	}
	if len(n.texts) > math.MaxUint16 {
		return 0
	}
	text = strings.Clone(text) // It may be a part of a whole line.
	i := uint16(len(n.texts))
	n.byText[text], n.texts = i, append(n.texts, text)
	return i
}

// text returns a text by its number.
func (n *names) text(i uint16) string {
	if i == 0 {
		return "-"
	}
	return n.texts[i]
}
