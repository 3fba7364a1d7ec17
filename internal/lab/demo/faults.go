package demo

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Verb is what a fault does to a process or to the key-value services.
type Verb string

// The verbs that scripts/demo.sh carries out.
const (
	Kill    Verb = "kill"    // SIGKILL
	Stop    Verb = "stop"    // SIGTERM, a planned stop
	Start   Verb = "start"   // starts the process again, after it has ended
	Pause   Verb = "pause"   // SIGSTOP
	Resume  Verb = "resume"  // SIGCONT
	Outage  Verb = "outage"  // the key-value services stop answering
	Recover Verb = "recover" // the key-value services answer again
)

const (
	firstFaultAt     = 4 * time.Second // after the start of the load
	faultFreeTail    = 8 * time.Second // at the end of the load, so that open requests can end
	maxFaultInterval = 4 * time.Second
	maxDowntime      = 9 * time.Second // also of a pause; longer than a duty's lease
	maxOutage        = 12 * time.Second
	// recoveryTime is the minimum time between the end of a fault and the next fault of
	// the same target. A process that is never up would test nothing.
	recoveryTime = 3 * time.Second
)

// Fault is one event of a schedule.
type Fault struct {
	At     time.Duration // since the start of the load, in whole seconds
	Verb   Verb
	Target string // name of a process; empty for the key-value services
}

// String returns the fault as a line of a schedule's file.
func (f Fault) String() string {
	return fmt.Sprintf("%d %s %s", int(f.At.Seconds()), f.Verb, f.Target)
}

// faultScheduler draws a schedule of faults.
type faultScheduler struct {
	rng       *rand.Rand
	layout    Layout
	end       time.Duration
	busyUntil map[string]time.Duration // by target, which gets no other fault before it
	faults    []Fault
}

// DrawFaults draws a schedule of faults for a load of the given duration. Any entry,
// agent or endpoint and the key-value services may fail, several of them at the same
// time, and each one recovers. The same seed, duration and layout give the same schedule.
func DrawFaults(layout Layout, seed uint64, duration time.Duration) []Fault {
	s := &faultScheduler{
		rng:       rand.New(rand.NewPCG(seed, seed)),
		layout:    layout,
		end:       duration - faultFreeTail,
		busyUntil: map[string]time.Duration{},
	}
	for at := firstFaultAt; at < s.end; at += s.randomSeconds(maxFaultInterval) {
		s.addRandomFault(at)
	}
	sort.SliceStable(s.faults, func(i, j int) bool { return s.faults[i].At < s.faults[j].At })
	return s.faults
}

// randomSeconds returns a random number of whole seconds from one second to the limit.
func (s *faultScheduler) randomSeconds(limit time.Duration) time.Duration {
	return time.Duration(1+s.rng.IntN(int(limit/time.Second))) * time.Second
}

func (s *faultScheduler) addRandomFault(at time.Duration) {
	site := s.layout.Sites[s.rng.IntN(len(s.layout.Sites))]
	agent := site.Agents[s.rng.IntN(len(site.Agents))].ID
	entry := site.Entries[s.rng.IntN(len(site.Entries))].ID
	endpoint := agent + "-endpoint"
	switch s.rng.IntN(10) {
	case 0:
		s.addFault(at, s.randomSeconds(maxOutage), Outage, Recover, "")
	case 1, 2:
		s.addFault(at, s.randomSeconds(maxDowntime), Kill, Start, entry)
	case 3:
		s.addFault(at, time.Second, Stop, Start, entry)
	case 4, 5:
		s.addFault(at, s.randomSeconds(maxDowntime), Pause, Resume, entry)
	case 6:
		s.addFault(at, s.randomSeconds(maxDowntime), Kill, Start, agent)
	case 7:
		s.addFault(at, s.randomSeconds(maxDowntime), Pause, Resume, agent)
	case 8:
		s.addFault(at, s.randomSeconds(maxDowntime), Kill, Start, endpoint)
	default:
		downtime := s.randomSeconds(maxDowntime)
		s.addFault(at, downtime, Kill, Start, agent)
		s.addFault(at, downtime, Kill, Start, endpoint)
	}
}

// addFault adds a fault and its end, unless the target has another fault or has not
// recovered from it.
func (s *faultScheduler) addFault(at, duration time.Duration, startVerb, endVerb Verb, target string) {
	if at < s.busyUntil[target] {
		return
	}
	endAt := min(at+duration, s.end)
	s.busyUntil[target] = endAt + recoveryTime
	s.faults = append(s.faults, Fault{at, startVerb, target}, Fault{endAt, endVerb, target})
}
