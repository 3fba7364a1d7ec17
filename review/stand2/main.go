// Command stand2 plays the stand-ins of the review's scripts: the platform, which starts the
// project's processes, its store, engines, services and consumers. The environment variable
// TROUBLE=0 leaves out the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

const host = "ficu95.example"

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "twice, mixed, slow or lost")
	bin := flag.String("bin", "target/siskinloomd", "the daemon")
	dir := flag.String("dir", "", "temporary folder")
	recordPath := flag.String("record", "record.txt", "file for the record")
	seconds := flag.Int("seconds", 100, "length")
	flag.Parse()
	file, err := os.Create(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, begin: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with the disruption: %v", *name, trouble)
	f := &fleet{bin: *bin, dir: *dir, record: r, done: make(chan struct{}), bounds: bounds(), filings: &filings{runs: map[string]int{}, answers: map[string]int{}}}
	defer f.stop()
	switch *name {
	case "twice":
		return f.runTwice(*seconds, trouble)
	case "mixed":
		return f.runMixed(*seconds, trouble)
	case "slow":
		return f.runSlow(*seconds, trouble)
	case "lost":
		return f.runLost(*seconds, trouble)
	}
	fmt.Fprintln(os.Stderr, "no such case:", *name)
	return failed
}
