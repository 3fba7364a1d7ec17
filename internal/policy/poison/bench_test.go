package poison_test

import (
	"strconv"
	"testing"
	"time"

	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

// BenchmarkContested records the ends of three endpoints each under eight groups of 64 requests that
// ran at the same ones. Each end is followed by a check of all suspects.
func BenchmarkContested(b *testing.B) {
	const requests, group, ends = 512, 64, 3
	now := time.Unix(1000, 0)
	for b.Loop() {
		r := poison.New(poison.SharedConfig(), "self")
		r.SetAttribution(true)
		for end := range ends {
			for i := range uint64(requests) {
				endpoint := strconv.Itoa(int(i)/group*ends + end)
				r.RecordCrash(now, wire.Suspicion{Fingerprint: i, Endpoint: endpoint, Crash: 1, UnixMilli: now.UnixMilli()})
			}
		}
	}
}
