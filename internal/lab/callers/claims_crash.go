package callers

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	crashes     = 40
	crashAfter  = 3 * time.Second
	crashSpread = time.Second
	// crashGap is until a successor takes a crashed owner's duty: its lease with
	// the margins.
	crashGap = 6 * time.Second
)

// crashTally adds up owners' crashes.
type crashTally struct {
	inFlight int // calls without an answer at the crash
	unknown  int // of these, whose repeat was "unknown"
	calls    int // questions to agents
	asking   int // take-overs that asked any
}

// crashOwner plays the load until its owner crashes, lets a successor take
// over and repeats every call that was in flight. Of the agents, lost ones
// crashed too; without ask the successor asks none.
func (t *crashTally) crashOwner(seed uint64, ask bool, lost int) {
	l := newClaimLoad(seed, claims.DefaultPartitions, loadAgents, claims.DefaultCommitInterval)
	l.clock.runUntil(l.clock.now.Add(crashAfter + l.clock.between(0, crashSpread)))
	l.stopped = true
	var open []int64
	for id := range int64(len(l.arrived)) + 1 {
		if _, answered := l.replies[id]; id > 0 && !answered {
			open = append(open, id)
		}
	}
	for _, p := range l.parts {
		p.crashed = true
	}
	l.clock.runUntil(l.clock.now.Add(crashGap))
	for i, p := range l.parts {
		l.parts[i] = t.successor(l, p, i, ask, lost)
	}
	l.clock.runUntil(l.clock.now.Add(time.Second))
	for _, id := range open {
		l.submit(id, -id)
	}
	l.clock.runUntil(l.clock.now.Add(2 * loadDeadline))
	t.inFlight += len(open)
	for _, id := range open {
		if l.replies[-id] == wire.Unknown {
			t.unknown++
		}
	}
}

func (t *crashTally) successor(l *claimLoad, old *loadPart, i int, ask bool, lost int) *loadPart {
	name := fmt.Sprintf("claims/%d", i)
	p := &loadPart{load: l, machine: claims.New(claims.DefaultConfig(name, name, "successor")), kv: old.kv}
	p.asked = func(a claims.QueryAgents) {
		if !ask {
			return
		}
		t.asking++
		t.calls += loadAgents
		l.clock.after(l.clock.between(2*time.Millisecond, 5*time.Millisecond), func() {
			p.step(claims.ResultsReceived{Results: l.remembered(a, lost)})
		})
	}
	p.step(claims.Acquired{Epoch: 2, Until: l.clock.now.Add(time.Hour)})
	return p
}

// remembered is what the agents tell together. A claim's agent is drawn from
// its key, so that the share on lost ones is as large as theirs of all.
func (l *claimLoad) remembered(a claims.QueryAgents, lost int) []wire.ClaimResult {
	var all []wire.ClaimResult
	for _, ref := range a.Refs {
		answer, ran := l.ran[ref]
		if !ran || int(ref.Key[0])%loadAgents < lost {
			continue
		}
		all = append(all, wire.ClaimResult{Claim: ref, Outcome: wire.Answered, Kept: true, Status: answer.Status, Body: answer.Body})
	}
	return all
}

func measureClaimCrash() ([]bounds.Figure, error) {
	play := func(ask bool, lost int) *crashTally {
		t := &crashTally{}
		for seed := range uint64(crashes) {
			t.crashOwner(seed+1, ask, lost)
		}
		return t
	}
	asked, plain, oneLost := play(true, 0), play(false, 0), play(true, 1)
	share := func(t *crashTally) float64 { return float64(t.unknown) / float64(t.inFlight) }
	return []bounds.Figure{
		{Name: "claims.crash_unknown", Value: share(asked)},
		{Name: "claims.crash_unknown.baseline", Value: share(plain)},
		{Name: "claims.crash_unknown_agent_lost", Value: share(oneLost)},
		{Name: "claims.crash_calls_per_takeover", Value: float64(asked.calls) / float64(asked.asking)},
	}, nil
}
