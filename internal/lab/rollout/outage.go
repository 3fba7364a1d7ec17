package rollout

import (
	"time"

	"siskinloom.example/siskinloom/internal/lab/enginemodel"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

const (
	outageStart    = 700 * time.Second // past the warm-up
	outageDuration = 600 * time.Second
	// ownerCrashDelay is the time from the start of the outage to the owner's crash.
	ownerCrashDelay = 60 * time.Second
	// electionDelay is the time from the end of the outage until another process owns the
	// feed.
	electionDelay = 3 * time.Second
)

// scheduleOutage schedules an outage of the key-value service.
func (p *pipeline) scheduleOutage() {
	p.clock.After(outageStart, func() { p.store.outage = true })
	p.clock.After(outageStart+outageDuration, func() { p.store.outage = false })
}

// scheduleOwnerCrash schedules a crash of the owner during the outage. No process can
// acquire the lease until the outage ends. The new owner then generates again all samples
// that the trainer doesn't hold.
func (p *pipeline) scheduleOwnerCrash() {
	p.clock.After(outageStart+ownerCrashDelay, func() {
		p.ownerAlive = false
		for i, e := range p.engines {
			p.engines[i] = &enginemodel.Engine{Pace: e.Pace, PrefillPerToken: e.PrefillPerToken, Slots: e.Slots, Version: e.Version}
		}
		p.engineOf = map[sample.ID]int{}
	})
	p.clock.After(outageStart+outageDuration+electionDelay, func() {
		p.planner = newScheduler(p.scenario, p.idleWeight, p.stalenessWeight)
		p.startOwner(2)
	})
}
