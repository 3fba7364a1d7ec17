package endpoints_test

import (
	"testing"
	"time"

	"siskinloom.example/siskinloom/internal/policy/endpoints"
)

// BenchmarkPick picks one of 1,300 endpoints whose speed is known and ends the
// request: 40.5 us if each choice sorts all costs, 16.6 us if they are sorted only
// after as many new observations as a sixteenth of the endpoints.
func BenchmarkPick(b *testing.B) {
	s := newSet(1300)
	now := start
	for _, e := range s.All() {
		e.InFlight++
		e.End(now, endpoints.Answered, 20*time.Millisecond, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Pick(endpoints.Request{Now: now, Domain: "a"}).End(now, endpoints.Answered, 20*time.Millisecond, 1)
	}
}

// BenchmarkPickMixed places a run at one of 1,300 engines of which a quarter are twice as
// fast, and observes its speed.
func BenchmarkPickMixed(b *testing.B) {
	s := newEngines(1300)
	now := learnMixed(s, 325)
	r := endpoints.Request{Now: now, Model: "m", RequireFreeSlot: true, Placement: endpoints.Placement{RemainingWork: 20, Weight: 0.3}}
	b.ReportAllocs()
	for b.Loop() {
		e := s.Pick(r)
		e.ObserveSpeed(now, 0.03, 8, 0)
		e.ObservePace(0.03)
		e.ReleasePlacement(&r.Placement)
		e.End(now, endpoints.Answered, time.Second, 20)
	}
}

// BenchmarkUnitSeconds computes the expected seconds per unit at each of 1,300 engines, as a
// choice by time does.
func BenchmarkUnitSeconds(b *testing.B) {
	s := newEngines(1300)
	learnMixed(s, 325)
	b.ReportAllocs()
	for b.Loop() {
		lowest := 1.0
		for _, e := range s.All() {
			lowest = min(lowest, s.UnitSeconds(e, 3))
		}
	}
}
