// Command cases plays the cases of the review. It is started by the run.sh of each case.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	cannotBe = 2
)

// plays are the cases by name. Each returns what breaks the rule; none if it held.
var plays = map[string]func(w *world, trouble bool) ([]string, error){
	"unsigned": playUnsigned,
	"inside":   playInside,
	"crash":    playCrash,
	"expired":  playExpired,
	"poison":   playPoison,
	"foreign":  playForeign,
	"tokens":   playTokens,
	"surplus":  playSurplus,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		runReplica(os.Args[2:])
		return
	}
	const args = 3
	if len(os.Args) != args {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(cannotBe)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotBe
	}
	w, err := newWorld(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotBe
	}
	trouble := os.Getenv("TROUBLE") != "0"
	found, err := plays[name](w, trouble)
	code := held
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		code = cannotBe
		if !errors.Is(err, errCannotRun) {
			fmt.Fprintln(os.Stderr, err)
		}
	case len(found) > 0:
		code = broken
	}
	for _, f := range found {
		w.note("BROKEN: %s", f)
	}
	w.note("exit %d, with trouble: %t", code, trouble)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, p := range w.procs {
			b, _ := os.ReadFile(p.log)
			_ = os.WriteFile(filepath.Join(keep, p.name+".log"), b, 0o600)
		}
	}
	w.close()
	if err := os.WriteFile(filepath.Join(folder, "record.txt"), []byte(w.record()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotBe
	}
	fmt.Print(w.record())
	return code
}
