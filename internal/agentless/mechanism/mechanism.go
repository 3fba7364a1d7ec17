// Package mechanism names the mechanisms of the platform path that an operator
// may take out without a new build, and holds which of them are out. Each
// improves how well callers are served; none is needed for a promise, so the
// system stays correct with any of them out.
package mechanism

import (
	"slices"
	"sort"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Mechanism is one mechanism's name, as it stands in settings.
type Mechanism string

// The mechanisms.
const (
	// Hedges asks a second and a third endpoint for a request that takes long.
	Hedges Mechanism = "hedges"
	// SetAside sends an endpoint nothing for some time after failures in a row.
	SetAside Mechanism = "set-aside"
	// OwnPreference has each process prefer another endpoint among equals.
	OwnPreference Mechanism = "own-preference"
	// NearFirst prefers endpoints in the process's own failure domain.
	NearFirst Mechanism = "near-first"
	// MoveSlow moves runs away from engines that have turned slow.
	MoveSlow Mechanism = "move-slow"
	// MoveCrowded moves long runs to engines that run fewer requests.
	MoveCrowded Mechanism = "move-crowded"
	// LongestFirst starts items by how long their step would take, not as listed.
	LongestFirst Mechanism = "longest-first"
	// SpareLast starts the groups last that the trainer can do without.
	SpareLast Mechanism = "spare-last"
	// ByDelay places runs by how much they delay what an engine runs.
	ByDelay Mechanism = "by-delay"
	// KeepNarrow keeps short runs off engines that run the longest ones.
	KeepNarrow Mechanism = "keep-narrow"
	// ShareLoad has owners of jobs tell each other what they run at which engine.
	ShareLoad Mechanism = "share-load"
	// LearnLengths learns how long texts turn out against their estimates.
	LearnLengths Mechanism = "learn-lengths"
	// WholeSteps writes results when their step is whole.
	WholeSteps Mechanism = "whole-steps"
	// TextJournal keeps texts under way on the machine's disk.
	TextJournal Mechanism = "text-journal"
	// TextCopies keeps texts under way at a second process.
	TextCopies Mechanism = "text-copies"
	// CacheResults keeps results where they were read.
	CacheResults Mechanism = "cache-results"
	// ReadNear reads results by way of a worker in the same failure domain.
	ReadNear Mechanism = "read-near"
	// AlternateLoads has half of a model's engines load each version.
	AlternateLoads Mechanism = "alternate-loads"
	// TellLoads tells owners of items which engines load weights.
	TellLoads Mechanism = "tell-loads"
	// TakeOver has a job's standby take it over when its owner answers nobody, before the
	// owner's registration lapses.
	TakeOver Mechanism = "take-over"
	// StandbyRuns has the standby of a lost owner run the job while the store is away.
	StandbyRuns Mechanism = "standby-runs"
	// Relay reaches the store by way of other processes.
	Relay Mechanism = "relay"
)

// All returns every mechanism, sorted.
func All() []Mechanism {
	all := []Mechanism{
		Hedges, SetAside, OwnPreference, NearFirst, MoveSlow, MoveCrowded, LongestFirst, SpareLast, ByDelay, KeepNarrow, ShareLoad,
		LearnLengths, WholeSteps, TextJournal, TextCopies, CacheResults, ReadNear, AlternateLoads, TellLoads, TakeOver, StandbyRuns, Relay,
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

// ErrUnknown is returned for a name that is no mechanism's.
var ErrUnknown = errors.New("unknown mechanism")

// Parse returns the mechanism of that name. The error lists the names there are.
func Parse(name string) (Mechanism, error) {
	all := All()
	if slices.Contains(all, Mechanism(name)) {
		return Mechanism(name), nil
	}
	names := make([]string, len(all))
	for i, m := range all {
		names[i] = string(m)
	}
	return "", errors.Wrapf(ErrUnknown, "%q is none of %s", name, strings.Join(names, ", "))
}

// Switches hold which mechanisms are out. The zero value and a nil pointer have
// none out. They are safe for concurrent use.
type Switches struct {
	out atomic.Pointer[[]Mechanism]
}

// SetDisabled takes these mechanisms out, and puts all others back in.
func (s *Switches) SetDisabled(out []Mechanism) {
	sorted := slices.Clone(out)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	s.out.Store(&sorted)
}

// Disabled returns the mechanisms that are out, sorted.
func (s *Switches) Disabled() []Mechanism {
	if s == nil {
		return nil
	}
	if out := s.out.Load(); out != nil {
		return *out
	}
	return nil
}

// On tells whether a mechanism is in.
func (s *Switches) On(m Mechanism) bool {
	return !slices.Contains(s.Disabled(), m)
}
