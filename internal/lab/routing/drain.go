package routing

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/membership"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	drainRuns = 10
	// currentInstances is the present size of Kartli's fleet: 3 entries and 13 agents.
	currentInstances = 16
)

// drain measures the time from the announcement of an agent that it leaves, or from the
// change of the platform's list that marks it as leaving, until the last request is sent
// to its engine, and the number of accepted requests that the engine does not answer. It
// covers several seeds, with high and low traffic.
func drain() ([]bounds.Figure, error) {
	var byAgent, byList, unanswered float64
	for run := range drainRuns {
		// At low load, entries learn only from heartbeats that an agent leaves.
		for _, load := range []float64{0.02, 0.7} {
			announced := drainOnce(uint64(run), load, false)
			listed := drainOnce(uint64(run), load, true)
			byAgent = max(byAgent, announced.lastSent.Seconds())
			byList = max(byList, listed.lastSent.Seconds())
			unanswered += float64(announced.unanswered + listed.unanswered)
		}
	}
	return []bounds.Figure{
		{Name: "callers.drain_s", Value: max(byAgent, byList)},
		{Name: "callers.drain_s_agent", Value: byAgent},
		{Name: "callers.cut_by_drain", Value: unanswered},
	}, nil
}

// drainResult is the result of a drain.
type drainResult struct {
	lastSent   time.Duration // time from the announcement to the last request sent
	unanswered int           // accepted requests that were not answered
}

func drainOnce(run uint64, load float64, byList bool) drainResult {
	const announcedAt = 10 * time.Second
	f := newFleet(false, admissionDefaults(), 1000+run)
	f.startStream(stream{principal: agency("b", "a"), class: "lookup", perSecond: load * capacity, deadline: 2 * time.Second}, 20*time.Second)
	if load > 0.5 {
		f.fillWithRollouts(engines * slots)
	}
	leaving := f.engines[0].(*fairEngine)
	var result drainResult
	open := 0
	leaving.onAccepted = func(r *request) {
		open++
		end := r.end
		r.end = func(outcome wire.Outcome) {
			open--
			if r.runs > 0 && outcome != wire.Answered {
				result.unanswered++
			}
			end(outcome)
		}
	}
	f.onSent = func(engine int) {
		if engine == 0 && f.clock.elapsed() > announcedAt {
			result.lastSent = f.clock.elapsed() - announcedAt
		}
	}
	drainAt := announcedAt
	if byList {
		drainAt += firstListRead(epoch.Add(announcedAt)) + networkDelay
	}
	f.clock.after(drainAt, leaving.drain)
	f.clock.run(60 * time.Second)
	result.unanswered += open
	return result
}

// firstListRead returns the time from a change of the list until an entry first reads it.
func firstListRead(changed time.Time) time.Duration {
	return firstListReadOf(changed, entries, currentInstances)
}

func firstListReadOf(changed time.Time, entries, instances int) time.Duration {
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("entry-%03d", i))
	}
	first := time.Hour
	for _, name := range names {
		first = min(first, membership.NextPoll(changed, name, names, instances).Sub(changed))
	}
	return first
}

// listReadDelay measures the longest time from a change of the list until the first
// entry reads it, in the reference fleet and for changes at various times.
func listReadDelay() ([]bounds.Figure, error) {
	worst := time.Duration(0)
	for step := range 40 {
		changed := epoch.Add(time.Duration(step) * 1370 * time.Millisecond)
		worst = max(worst, firstListReadOf(changed, referenceEntries, referenceEntries+referenceAgents))
	}
	baseline := membership.PollInterval(referenceEntries + referenceAgents)
	return []bounds.Figure{
		{Name: "membership.list_noticed_s", Value: worst.Seconds()},
		{Name: "membership.list_noticed_s.baseline", Value: baseline.Seconds()},
	}, nil
}
