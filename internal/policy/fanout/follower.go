package fanout

import "time"

const (
	// StartTimeout is how long after its own start a process waits for sources that are
	// still starting as well.
	StartTimeout = 2500 * time.Millisecond
	// RetryInterval is the mean pause between two passes over the sources.
	RetryInterval = 300 * time.Millisecond
	// startRetryInterval replaces RetryInterval while callers wait for a process of a large
	// fleet that starts. Relays that start as well refuse connections for a moment, and then
	// let calls wait for their listing.
	startRetryInterval = 100 * time.Millisecond
	// relistPasses is the number of passes at a start after which a process of a small fleet
	// lists the members again, because its sources may not have been registered yet.
	relistPasses = 3
	// MaxPollTimeout is the maximum long-poll timeout of a call to a source.
	MaxPollTimeout = time.Second
	// RootPollTimeout is the long-poll timeout of a relay's calls to a root, which confirm
	// that its data is current. What a relay serves may be older by this and RootPollMargin.
	RootPollTimeout = 400 * time.Millisecond
	RootPollMargin  = 300 * time.Millisecond
	// silentSources is the number of unreachable sources in a pass after which a leaf of a
	// large fleet may ask the store before it goes on. A silent source costs the timeout of a
	// call, and all of them would cost more than the time that a declaration has.
	silentSources = 2
	// maxStoreRounds bounds how many times in a row a relay without a root asks the store
	// before it tries the roots again. A root that is silent costs a call's timeout, during
	// which the relay serves nobody.
	maxStoreRounds = 4
)

// ActionKind is a kind of action.
type ActionKind int

// Kinds of actions.
const (
	AskSource   ActionKind = iota // request updates from the current source
	AskStore                      // make one call per topic to the store
	FollowStore                   // begin to follow the topics in the store until a source serves them, and wait for Wait
	Pause                         // do nothing for Wait
)

// Action is what a process that follows others does next.
type Action struct {
	Kind ActionKind
	Wait time.Duration // long-poll timeout of AskSource; duration of Pause, and of FollowStore until the next action
	// Relist asks for a listing of the members after the pause.
	Relist bool
}

// Outcome is the result of asking a source.
type Outcome int

// Outcomes.
const (
	Served      Outcome = iota
	Left                // served, but the source is leaving
	Stale               // the source has had no contact with the store lately
	Unreachable         // no answer
)

// Fleet is what a follower knows of the fleet at the beginning of a pass over its sources.
type Fleet struct {
	Sources   int  // number of sources to ask
	HasRelays bool // relays stand between the roots and the other processes
	Processes int  // estimated number of processes
}

// Follower decides from whom a relay or a leaf gets changes. The caller executes its actions one
// after the other: Next, then Done if a source was asked. It is not safe for concurrent use.
type Follower struct {
	Role   Role // Leaf or Relay
	Random func() float64
	// FirstStart is true if the whole system starts for the first time, so that no callers wait.
	FirstStart bool

	fleet      Fleet
	at         int       // index of the current source
	inPass     bool      // whether a pass over the sources is under way
	following  bool      // whether the current source served the last call
	synced     bool      // whether any source served all topics
	startedAt  time.Time // time of the first action
	passes     int       // passes since the start
	stale      int       // sources of the pass that were stale
	silent     int       // sources of the pass that were unreachable since the store was asked
	directAt   time.Time // when a leaf may ask the store; zero while sources serve it
	asked      bool      // whether a leaf has asked the store since a source served it
	rounds     int       // rounds at the store that are left before the next pass
	lastRounds int       // rounds at the store after the last pass
}

// SetSynced records that all topics were received from any source.
func (f *Follower) SetSynced() { f.synced = true }

// Source returns the index of the source that AskSource refers to.
func (f *Follower) Source() int { return f.at }

// AllStale reports whether all sources of the pass that just ended were stale.
func (f *Follower) AllStale() bool {
	return f.inPass && f.at >= f.fleet.Sources && f.stale > 0 && f.stale == f.fleet.Sources
}

// Next returns the next action. current returns what is known of the fleet; it is called at the
// beginning of each pass, and Source refers to the sources of that moment.
func (f *Follower) Next(now time.Time, current func() Fleet) Action {
	if f.startedAt.IsZero() {
		f.startedAt = now
	}
	if f.rounds > 0 {
		f.rounds--
		return Action{Kind: AskStore}
	}
	if !f.inPass {
		f.fleet = current()
		f.inPass, f.at, f.stale, f.silent = true, 0, 0, 0
	}
	if f.storeDue(now) && f.mayAskStore(now) {
		f.silent = 0
		return Action{Kind: AskStore}
	}
	if f.at < f.fleet.Sources {
		return Action{Kind: AskSource, Wait: f.pollTimeout()}
	}
	f.inPass = false
	f.passes++
	return f.afterPass(now)
}

// pollTimeout returns the long-poll timeout of the next call. The first call to a source does
// not wait, so that a failed one costs only the call's margin, unless all may be starting.
func (f *Follower) pollTimeout() time.Duration {
	switch {
	case f.following && f.Role == Relay:
		return RootPollTimeout
	case f.following, !f.synced && f.fleet.HasRelays:
		return MaxPollTimeout
	default:
		return 0
	}
}

// Done records the outcome of asking a source.
func (f *Follower) Done(o Outcome) {
	lost := f.following && o != Served
	f.following = o == Served
	if o == Served || o == Left {
		f.directAt, f.asked, f.lastRounds = time.Time{}, false, 0
	}
	switch o {
	case Stale:
		f.stale++
	case Unreachable:
		f.silent++
	}
	switch {
	case lost && f.fleet.HasRelays && f.at > 0:
		f.inPass = false // the sources that precede it may serve again
	case o != Served:
		f.at++
	}
}

// afterPass returns the action after a pass in which no source went on serving.
func (f *Follower) afterPass(now time.Time) Action {
	switch {
	case !f.fleet.HasRelays && f.Role == Leaf && (!f.FirstStart || f.startedLongAgo(now)):
		// A small fleet's store can serve all of it. A round of calls between two passes would be
		// as late as the sources are silent.
		return Action{Kind: FollowStore, Wait: f.jitter(RetryInterval)}
	case !f.startedLongAgo(now):
		return f.awaitStart()
	case f.Role == Relay:
		f.lastRounds = min(max(2*f.lastRounds, 1), maxStoreRounds)
		f.rounds = f.lastRounds - 1
		return Action{Kind: AskStore}
	case f.mayAskStore(now):
		return Action{Kind: AskStore}
	default:
		return Action{Kind: Pause, Wait: f.jitter(RetryInterval)}
	}
}

// startedLongAgo reports whether this process no longer waits for sources that start as well.
func (f *Follower) startedLongAgo(now time.Time) bool {
	return f.synced || now.Sub(f.startedAt) >= StartTimeout
}

// isLeafBelowRelays reports whether the budget of the fleet bounds this process's calls to the
// store.
func (f *Follower) isLeafBelowRelays() bool { return f.Role == Leaf && f.fleet.HasRelays }

// awaitStart returns the pause before the next pass over sources that may be starting.
func (f *Follower) awaitStart() Action {
	if f.fleet.HasRelays {
		return Action{Kind: Pause, Wait: f.jitter(startRetryInterval)}
	}
	return Action{Kind: Pause, Wait: RetryInterval, Relist: f.passes%relistPasses == 0}
}

// storeDue reports whether a leaf considers the store in the middle of a pass: sources may each
// take a call's timeout to fail, and the pass would end too late.
func (f *Follower) storeDue(now time.Time) bool {
	if !f.isLeafBelowRelays() || !f.startedLongAgo(now) {
		return false
	}
	return f.silent >= silentSources || (f.at > 0 && !f.directAt.IsZero() && !now.Before(f.directAt))
}

// mayAskStore reports whether a leaf of a large fleet asks the store now.
func (f *Follower) mayAskStore(now time.Time) bool {
	reached := f.stale > 0 && f.silent < silentSources
	at := now.Add(DirectDelay(f.fleet.Processes, reached, f.asked, f.Random()))
	if f.directAt.IsZero() || (!reached && at.Before(f.directAt)) {
		f.directAt = at
	}
	if now.Before(f.directAt) {
		return false
	}
	f.directAt, f.asked = time.Time{}, true
	return true
}

// jitter returns a duration between half of d and one and a half of it, so that processes that
// lost their sources together do not ask the next ones together.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.Random()*float64(d))
}
