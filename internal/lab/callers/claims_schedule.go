package callers

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// claimSafeguard is a safeguard that a schedule can run without, to show that the
// recorder detects the violations that follow.
type claimSafeguard int

const (
	noClaimSafeguard     claimSafeguard = iota // every safeguard is enabled
	commitBeforeDispatch                       // a request is dispatched only after its claim is committed
	revisionCheck                              // the service swaps a record only at the expected revision, so a lower epoch cannot write
	unresolvedForwards                         // "not run" on a second forward does not count for the first one
	allClaims                                  // requests are claimed; the baseline has no claims
	resultAfterRun                             // a process reports a result to its successor only after the run
)

const (
	scheduleEntries  = 3
	scheduleAgents   = 3
	scheduleKeys     = 7
	schedulePeriod   = 3 * time.Second // in which faults and callers start
	scheduleDuration = 7 * time.Second // at its end every fault is over and every call answered
	maxSubmissions   = 5
)

// claimWorld simulates one schedule: entries, agents, callers and the key-value service
// with faults drawn from a seed.
type claimWorld struct {
	clock             *clock
	store             *store
	entries           []*claimEntry
	agents            []*claimAgent
	recorder          *runRecorder
	disabled          claimSafeguard
	runCount          int
	unreadableRecords int
	agentQueries      int // takeovers that queried the agents
	agentResults      int // results that agents reported
	lastID            int64
}

func newClaimWorld(seed uint64, disabled claimSafeguard) *claimWorld {
	c := newClock(seed)
	w := &claimWorld{clock: c, store: newStore(c), recorder: newRunRecorder(), disabled: disabled}
	w.store.noRevisionCheck = disabled == revisionCheck
	for range scheduleAgents {
		w.agents = append(w.agents, newClaimAgent(w))
	}
	for i := range scheduleEntries {
		e := &claimEntry{world: w, name: fmt.Sprintf("entry-%d", i)}
		w.entries = append(w.entries, e)
		e.start()
	}
	return w
}

func (w *claimWorld) nextID() int64 {
	w.lastID++
	return w.lastID
}

// messageDelay returns the time that a message takes: 1 to 3 ms, and for 4% of the
// messages much longer.
func (w *claimWorld) messageDelay() time.Duration {
	if w.clock.chance(0.04) {
		return w.clock.between(50*time.Millisecond, 900*time.Millisecond)
	}
	return w.clock.between(time.Millisecond, 3*time.Millisecond)
}

func (w *claimWorld) messageLost() bool { return w.clock.chance(0.04) }

func (w *claimWorld) randomAgent() *claimAgent {
	return w.agents[w.clock.random.IntN(len(w.agents))]
}

func (w *claimWorld) entryByIdentity(identity string) *claimEntry {
	for _, e := range w.entries {
		if e.up && e.identity() == identity {
			return e
		}
	}
	return nil
}

// runClaimSchedule simulates the schedule of a seed.
func runClaimSchedule(seed uint64, disabled claimSafeguard) *claimWorld {
	w := newClaimWorld(seed, disabled)
	for range 2 + w.clock.random.IntN(4) {
		w.scheduleFault()
	}
	for i := range scheduleKeys {
		w.scheduleCaller(fmt.Sprintf("key-%d", i))
	}
	w.clock.runUntil(w.clock.now.Add(scheduleDuration))
	return w
}

// scheduleFault draws a fault and its time. Several faults may coincide.
func (w *claimWorld) scheduleFault() {
	e := w.entries[w.clock.random.IntN(len(w.entries))]
	length := w.clock.between(50*time.Millisecond, 2*time.Second)
	faults := []func(){
		func() { w.ifRunning(e, func() { e.crash(length) }) },
		func() { w.ifRunning(e, func() { e.pause(length) }) },
		func() { w.ifOwnerRunning(func(o *claimEntry) { o.crash(length) }) },
		func() { w.ifOwnerRunning(func(o *claimEntry) { o.pause(length) }) },
		func() { w.ifOwnerRunning(func(o *claimEntry) { o.handOver() }) },
		func() { w.randomAgent().crash(length) },
		func() { w.outage(length) },
	}
	fault := faults[w.clock.random.IntN(len(faults))]
	w.clock.after(w.clock.between(0, schedulePeriod), fault)
}

func (w *claimWorld) ifRunning(e *claimEntry, fn func()) {
	if e.up && !e.paused {
		fn()
	}
}

func (w *claimWorld) ifOwnerRunning(fn func(*claimEntry)) {
	if owner := w.entryByIdentity(w.store.duty.holder); owner != nil && !owner.paused {
		fn(owner)
	}
}

func (w *claimWorld) outage(length time.Duration) {
	w.store.down = true
	w.clock.after(length, func() { w.store.down = false })
}

// scheduleCaller adds a caller that submits a request with one key, sometimes twice at
// once, and retries it through random entries.
func (w *claimWorld) scheduleCaller(key string) {
	w.clock.after(w.clock.between(0, schedulePeriod), func() {
		c := &caller{world: w, key: key}
		c.submit()
		if w.clock.chance(0.3) {
			c.submit()
		}
	})
}

// caller simulates a client with one request.
type caller struct {
	world       *claimWorld
	key         string
	submissions int
	done        bool
}

func (c *caller) submit() {
	if c.done || c.submissions >= maxSubmissions {
		return
	}
	c.submissions++
	w := c.world
	body := "body"
	if c.submissions > 1 && w.clock.chance(0.05) {
		body = "other body"
	}
	s := &submission{id: w.nextID(), key: c.key, body: body}
	answered := false
	s.onAnswer = func(answer wire.Answer) {
		answered = true
		c.handleAnswer(answer)
	}
	entry := w.entries[w.clock.random.IntN(len(w.entries))]
	w.clock.after(w.messageDelay(), entry.bind(func() { entry.receive(s) }))
	w.clock.after(submissionTimeout+w.clock.between(0, 200*time.Millisecond), func() {
		if !answered {
			c.submit()
		}
	})
}

// handleAnswer schedules another submission. Some callers stop after an answer, the
// others send a retry of a request that has run.
func (c *caller) handleAnswer(answer wire.Answer) {
	if answer.Outcome == wire.Answered {
		c.done = c.world.clock.chance(0.7)
	}
	c.world.clock.after(c.world.clock.between(time.Millisecond, 150*time.Millisecond), c.submit)
}
