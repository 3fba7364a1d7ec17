// Command stand plays the review's cases: it starts processes of the system with the command of
// the deploy file, and stand-ins of the platform's store, of engines and of consumers.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds the cases by name. Each returns one of the exit codes, and an error with failed.
var cases = map[string]func(record *recorder, trouble bool) (int, error){
	"smuggled": playSmuggled,
	"silence":  playSilence,
	"late":     playLate,
	"swept":    playSwept,
	"orphaned": playOrphaned,
	"entry":    playEntryOwned,
	"refused":  playRefused,
	"large":    playLarge,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return failed
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	limit := 115 * time.Second
	if os.Getenv("STATUS_S") != "" { // by hand only: it takes longer than the 120 s of a case
		limit = 300 * time.Second
	}
	time.AfterFunc(limit, func() { // the processes die with this one
		record.note("the case takes too long")
		os.Exit(failed)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, with the disruption: %t", os.Args[1], trouble)
	code, err := cases[os.Args[1]](record, trouble)
	if err != nil {
		record.note("the case couldn't run: %v", err)
		return failed
	}
	record.note("exit %d", code)
	return code
}
