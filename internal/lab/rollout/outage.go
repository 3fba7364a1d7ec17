package rollout

import (
	"time"

	"siskinloom.example/siskinloom/internal/lab/enginemodel"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

const (
	outageAt  = 700 * time.Second // past the warm-up
	outageFor = 600 * time.Second
	// ownerDiesAfter is how far into the outage the owner dies.
	ownerDiesAfter = 60 * time.Second
	// electionTakes is the time from the service's return to a new owner.
	electionTakes = 3 * time.Second
)

// outage takes the key-value service away for ten minutes.
func (l *pipeline) outage() {
	l.time.After(outageAt, func() { l.kv.outage = true })
	l.time.After(outageAt+outageFor, func() { l.kv.outage = false })
}

// ownerDies ends the owner in the outage. No lease can be taken before the
// service is back; then another process owns the feed and generates anew what
// the trainer does not hold.
func (l *pipeline) ownerDies() {
	l.time.After(outageAt+ownerDiesAfter, func() {
		l.alive = false
		for i, e := range l.engines {
			l.engines[i] = &enginemodel.Engine{Pace: e.Pace, PrefillPerToken: e.PrefillPerToken, Slots: e.Slots, Version: e.Version}
		}
		l.places = map[sample.ID]int{}
	})
	l.time.After(outageAt+outageFor+electionTakes, func() {
		l.planner = newPolicy(l.scenario, l.idle, l.staleness)
		l.elect(2)
	})
}
