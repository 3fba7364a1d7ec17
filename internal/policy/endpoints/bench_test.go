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
