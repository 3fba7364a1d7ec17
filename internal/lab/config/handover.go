package config

import (
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/policy/duties"
)

const (
	handoverScheduleCount = 300
	handoverTimeout       = 20 * time.Second
	handoverStepTime      = 5 * time.Millisecond
	// maxHeartbeatDelay is the longest time until another entry learns that an entry leaves.
	maxHeartbeatDelay = time.Second
	// baselineDrainLimit is the longest time that the owner waits for its running calls in
	// the baseline.
	baselineDrainLimit = 1500 * time.Millisecond
)

// gapAfterStop returns how long no process serves a claim partition when its owner is
// stopped as planned at a random time, without other faults: from the time at which the
// owner accepts no more calls until its successor serves. In the baseline, the owner first
// waits for its running calls and sends no offer of the duty.
func gapAfterStop(seed uint64, baseline bool) time.Duration {
	s := newDutySchedule(seed, noDutySafeguard)
	s.leases.faults = storeFaults{}
	for _, p := range s.processes {
		p.tickAfterCalls = true
		p.noOffers = baseline
	}
	s.Run(s.between(8*time.Second, 12*time.Second), never)
	name := dutyNames()[0]
	owner := s.holder(name)
	if owner == nil {
		return handoverTimeout
	}
	began := s.Now()
	drainTime := s.between(0, baselineDrainLimit)
	s.announceLeaving(owner)
	if !baseline {
		drainTime = 0
	}
	s.After(drainTime, func() {
		owner.keeper.Stop()
		owner.tick()
	})
	var successor *dutyProcess
	for successor == nil && s.Now().Sub(began) < handoverTimeout {
		s.Run(handoverStepTime, never)
		if p := s.holder(name); p != owner {
			successor = p
		}
	}
	s.recoverPartition()
	return s.Now().Sub(began)
}

// announceLeaving removes a leaving entry from the member lists, first from its own and
// then, after a delay each, from those of the others.
func (s *dutySchedule) announceLeaving(leaving *dutyProcess) {
	var remaining []duties.Member
	for i, m := range s.members {
		if i != leaving.index {
			remaining = append(remaining, m)
		}
	}
	leaving.keeper.SetMembers(leaving.now(), remaining)
	for _, p := range s.processes {
		if p != leaving {
			s.After(s.between(0, maxHeartbeatDelay), func() { p.keeper.SetMembers(p.now(), remaining) })
		}
	}
}

// recoverPartition runs until a new owner serves a partition that has no sealed claims.
func (s *dutySchedule) recoverPartition() {
	records := newStore[[]byte](s.clock, storeFaults{})
	machine := claims.New(claims.DefaultConfig("claims/0", "claims/0", "next"))
	var step func(claims.Event)
	step = func(e claims.Event) {
		for _, action := range machine.Step(s.Now(), e) {
			switch a := action.(type) {
			case claims.Read:
				records.read(a.Key, func(value []byte, revision int64, ok bool) {
					step(claims.ReadDone{Record: claims.Record{Key: a.Key, Value: value, Revision: revision}, Failed: !ok})
				})
			case claims.Write:
				records.compareAndSwap(a.Key, a.Expected, a.Value, func(outcome storeOutcome, value []byte, revision int64) {
					current := claims.Record{Key: a.Key, Value: value, Revision: revision}
					step(claims.WriteDone{ID: a.ID, Swapped: outcome == swapped, Current: current, Failed: outcome > conflict})
				})
			}
		}
	}
	step(claims.Acquired{Epoch: 2})
	s.Run(handoverTimeout, machine.Serving)
}

func measureHandover() ([]bounds.Figure, error) {
	var longest, baseline time.Duration
	for seed := range handoverScheduleCount {
		longest = max(longest, gapAfterStop(uint64(seed), false))
		baseline = max(baseline, gapAfterStop(uint64(seed), true))
	}
	return []bounds.Figure{
		{Name: "claims.handover_gap_s", Value: longest.Seconds()},
		{Name: "claims.handover_gap_s.baseline", Value: baseline.Seconds()},
	}, nil
}
