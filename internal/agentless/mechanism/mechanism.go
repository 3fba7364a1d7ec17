// Package mechanism names the mechanisms of the platform path that an operator may disable
// without a new build, and holds which of them are disabled. Each improves the service's
// performance or availability; none is needed for a guarantee, so the system stays correct with
// any of them disabled.
package mechanism

import (
	"slices"
	"sort"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Mechanism is the name of a mechanism as written in the settings.
type Mechanism string

// The mechanisms.
const (
	// Hedges sends a slow request to a second and a third endpoint as well.
	Hedges Mechanism = "hedges"
	// SetAside ejects an endpoint for a while after failures in a row.
	SetAside Mechanism = "set-aside"
	// OwnPreference gives each process its own order of preference among equal endpoints.
	OwnPreference Mechanism = "own-preference"
	// NearFirst prefers endpoints in the process's own failure domain.
	NearFirst Mechanism = "near-first"
	// MoveSlow moves runs away from engines that became slow.
	MoveSlow Mechanism = "move-slow"
	// MoveCrowded moves long runs to engines that run fewer requests.
	MoveCrowded Mechanism = "move-crowded"
	// LongestFirst starts items in the order of their step's expected duration instead of the
	// order of submission.
	LongestFirst Mechanism = "longest-first"
	// SpareLast starts the groups that the trainer doesn't need last.
	SpareLast Mechanism = "spare-last"
	// ByDelay places runs by how much they delay the other runs of an engine.
	ByDelay Mechanism = "by-delay"
	// KeepNarrow keeps other runs off an engine with a critical run if the engine has as many
	// runs as the critical batch limit.
	KeepNarrow Mechanism = "keep-narrow"
	// PlaceByTime places and moves runs by their expected time of completion where engines are
	// of unequal speed.
	PlaceByTime Mechanism = "place-by-time"
	// ShareLoad has the owners of jobs exchange how much load they put on each engine.
	ShareLoad Mechanism = "share-load"
	// LearnSpeeds learns how fast each endpoint is, and has the owners of jobs exchange it.
	LearnSpeeds Mechanism = "learn-speeds"
	// LearnLengths corrects the estimates of text lengths by the lengths of finished texts.
	LearnLengths Mechanism = "learn-lengths"
	// WholeSteps writes results once their step is complete.
	WholeSteps Mechanism = "whole-steps"
	// TextJournal writes the texts of running items to the machine's disk.
	TextJournal Mechanism = "text-journal"
	// TextCopies replicates the texts of running items to a second process.
	TextCopies Mechanism = "text-copies"
	// CacheResults caches results in the process that read them.
	CacheResults Mechanism = "cache-results"
	// ReadNear reads results through a worker in the same failure domain.
	ReadNear Mechanism = "read-near"
	// AlternateLoads has each version loaded by half of a model's engines.
	AlternateLoads Mechanism = "alternate-loads"
	// TellLoads notifies the owners of jobs when an engine is ordered to load weights.
	TellLoads Mechanism = "tell-loads"
	// TakeOver has a job's standby take the job over if no process reaches its owner, before
	// the owner's registration expires.
	TakeOver Mechanism = "take-over"
	// StandbyRuns has the standby of a failed owner run the job while the store is unreachable.
	StandbyRuns Mechanism = "standby-runs"
	// Admission has requests above a learned limit wait, in an order that is fair between the
	// declared customers.
	Admission Mechanism = "admission"
	// Relay reaches the store through other processes.
	Relay Mechanism = "relay"
	// SpareEndpoints keeps requests under which an endpoint ended off the last healthy endpoints
	// of their service.
	SpareEndpoints Mechanism = "spare-endpoints"
	// ShareSlots divides the slots of a service under pressure between processes.
	ShareSlots Mechanism = "share-slots"
	// TellEnds passes reports about endpoints that ended under a request from process to process, in
	// addition to the store.
	TellEnds Mechanism = "tell-ends"
)

// All returns every mechanism, sorted.
func All() []Mechanism {
	all := []Mechanism{
		Hedges, SetAside, OwnPreference, NearFirst, MoveSlow, MoveCrowded, LongestFirst, SpareLast, ByDelay, KeepNarrow, PlaceByTime, ShareLoad,
		LearnSpeeds, LearnLengths, WholeSteps, TextJournal, TextCopies, CacheResults, ReadNear, AlternateLoads, TellLoads, TakeOver, StandbyRuns, Relay,
		SpareEndpoints, ShareSlots, Admission, TellEnds,
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

// ErrUnknown is returned for a name that no mechanism has.
var ErrUnknown = errors.New("unknown mechanism")

// Parse returns the mechanism with a name. The error lists the valid names.
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

// Switches holds which mechanisms are disabled. The zero value and a nil pointer have none
// disabled. It is safe for concurrent use.
type Switches struct {
	disabled atomic.Pointer[[]Mechanism]
}

// SetDisabled disables these mechanisms and enables all others.
func (s *Switches) SetDisabled(disabled []Mechanism) {
	sorted := slices.Clone(disabled)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	s.disabled.Store(&sorted)
}

// Disabled returns the disabled mechanisms, sorted.
func (s *Switches) Disabled() []Mechanism {
	if s == nil {
		return nil
	}
	if disabled := s.disabled.Load(); disabled != nil {
		return *disabled
	}
	return nil
}

// On returns whether a mechanism is enabled.
func (s *Switches) On(m Mechanism) bool {
	return !slices.Contains(s.Disabled(), m)
}
