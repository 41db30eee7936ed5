package eventstream

import (
	"strings"
)

// Verdict is what follows from the end of an answer's bytes.
type Verdict int

// Values of Verdict.
const (
	BrokenOff Verdict = iota // The answer is not complete.
	Unclear                  // It may be complete.
	Whole
)

func (v Verdict) String() string { return [...]string{"broken off", "unclear", "whole"}[v] }

// Life tells whether a replica is still the process that began an answer.
type Life int

// Values of Life.
const (
	LifeUnclear Life = iota // It may have been replaced.
	LifeEnded
	LifeSame
)

func (l Life) String() string { return [...]string{"unclear", "ended", "same"}[l] }

// End is what is known when the bytes of an answer have ended, without an error of its connection.
type End struct {
	// Framed is set if a length or chunks tell where the answer ends. Any other answer ends with its
	// connection, and Replica tells whether its replica may have ended as well.
	Framed  bool
	Replica Life // Used only if Framed is not set.

	// The remaining fields are those of a stream.
	Stream      bool
	Events      int  // Complete events of this answer.
	InsideEvent bool // The bytes end inside an event.
	Continues   bool // The answer continues another one, of which the caller has its part.
	MoreKnown   bool // It is known that events follow the ones that the caller has.
}

// Verdict decides whether the answer is whole.
func (e *End) Verdict() Verdict {
	switch {
	case e.Stream && !e.eventsMayEnd():
		return BrokenOff
	case e.Framed:
		return Whole
	}
	return [...]Verdict{LifeUnclear: Unclear, LifeEnded: BrokenOff, LifeSame: Whole}[e.Replica]
}

// eventsMayEnd reports whether a complete stream can end with these events. An answer that continues
// another one may have none, if that one lacked its end only.
func (e *End) eventsMayEnd() bool {
	return !e.InsideEvent && (e.Events > 0 || e.Continues && !e.MoreKnown)
}

// Follows reports whether an event with the given ID can come after the one with ID last. IDs rise; where
// they are not whole numbers, only equal ones are known to be out of order.
func Follows(id, last string) bool {
	if !isNumber(id) || !isNumber(last) {
		return id != last
	}
	id, last = strings.TrimLeft(id, "0"), strings.TrimLeft(last, "0")
	if len(id) != len(last) {
		return len(id) > len(last)
	}
	return id > last
}

// isNumber reports whether an ID is a whole number, of any size.
func isNumber(id string) bool {
	return id != "" && strings.Trim(id, "0123456789") == ""
}
