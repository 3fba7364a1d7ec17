package endpoints_test

import (
	"testing"
	"time"

	"siskinloom.example/siskinloom/internal/policy/endpoints"
)

// BenchmarkPick chooses among 1,300 endpoints whose speed is known and ends the
// request again: 40.5 us with a sort of all costs at each choice, 16.6 us with
// one after a sixteenth of them changed.
func BenchmarkPick(b *testing.B) {
	s := set(1300)
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
