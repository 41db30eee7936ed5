// Command standins2 runs the cases of the second review that are scripts, and the stand-ins that they
// need. "standins2 replica" is one replica of a plain service as a process of its own; "standins2 case N"
// starts everything else, plays case N and ends all processes that it started.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	statusHeld = iota
	statusBroken
	statusNotRun
)

var cases = map[string]func(w *world) (broken bool, err error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		runReplica(os.Args[2:])
		return
	}
	const want = 4
	if len(os.Args) != want || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 case N RECORD | replica ...")
		os.Exit(statusNotRun)
	}
	os.Exit(play(cases[os.Args[2]], os.Args[3]))
}

// play runs a case in a world of its own and returns the exit status.
func play(run func(w *world) (bool, error), record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "case not run:", err)
		return statusNotRun
	}
	defer w.close()
	broken, err := run(w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "case not run:", err)
		return statusNotRun
	case broken:
		w.note("result: the rule was broken")
		return statusBroken
	}
	w.note("result: the rule held")
	return statusHeld
}
