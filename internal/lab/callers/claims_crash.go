package callers

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	crashCount    = 40
	minCrashDelay = 3 * time.Second // from the start of the simulation to the crash
	crashJitter   = time.Second     // largest random addition to minCrashDelay
	// takeoverDelay is the time after which a successor takes over the duty of a
	// crashed owner: the lease with its margins.
	takeoverDelay = 6 * time.Second
)

// crashTotals adds up the results of crashes of owners.
type crashTotals struct {
	inFlight          int // calls without an answer at the crash
	unknown           int // calls in flight whose retry was answered "unknown"
	agentQueries      int // queries to agents
	queryingTakeovers int // takeovers that queried the agents
}

// runOwnerCrash simulates the load until the owner crashes, then a takeover by a
// successor and a retry of every call that was in flight. As many agents as lostAgents
// crash too. The successor queries the agents only if queryAgents is true.
func (t *crashTotals) runOwnerCrash(seed uint64, queryAgents bool, lostAgents int) {
	l := newClaimLoad(seed, claims.DefaultPartitions, loadAgents, claims.DefaultCommitInterval)
	l.clock.runUntil(l.clock.now.Add(minCrashDelay + l.clock.between(0, crashJitter)))
	l.stopped = true
	var unanswered []int64
	for id := range int64(len(l.arrived)) + 1 {
		if _, answered := l.outcomes[id]; id > 0 && !answered {
			unanswered = append(unanswered, id)
		}
	}
	for _, p := range l.partitions {
		p.crashed = true
	}
	l.clock.runUntil(l.clock.now.Add(takeoverDelay))
	for i, p := range l.partitions {
		l.partitions[i] = t.addSuccessor(l, p, i, queryAgents, lostAgents)
	}
	l.clock.runUntil(l.clock.now.Add(time.Second))
	for _, id := range unanswered {
		l.submit(id, -id) // the retry's waiter number must differ from the first call's
	}
	l.clock.runUntil(l.clock.now.Add(2 * loadDeadline))
	t.inFlight += len(unanswered)
	for _, id := range unanswered {
		if l.outcomes[-id] == wire.Unknown {
			t.unknown++
		}
	}
}

// addSuccessor returns a partition that has the duty and the records of its
// predecessor.
func (t *crashTotals) addSuccessor(l *claimLoad, predecessor *loadPartition, i int, queryAgents bool, lostAgents int) *loadPartition {
	name := fmt.Sprintf("claims/%d", i)
	p := &loadPartition{load: l, partition: claims.New(claims.DefaultConfig(name, name, "successor")), store: predecessor.store}
	p.onQueryAgents = func(a claims.QueryAgents) {
		if !queryAgents {
			return
		}
		t.queryingTakeovers++
		t.agentQueries += loadAgents
		l.clock.after(l.clock.between(2*time.Millisecond, 5*time.Millisecond), func() {
			p.step(claims.ResultsReceived{Results: l.agentResults(a, lostAgents)})
		})
	}
	p.step(claims.Acquired{Epoch: 2, Until: l.clock.now.Add(time.Hour)})
	return p
}

// agentResults returns the results that all agents report together. The agent of a
// claim is derived from its key, so the share of claims on lost agents equals the share
// of lost agents.
func (l *claimLoad) agentResults(query claims.QueryAgents, lostAgents int) []wire.ClaimResult {
	var results []wire.ClaimResult
	for _, ref := range query.Refs {
		answer, ran := l.results[ref]
		if !ran || int(ref.Key[0])%loadAgents < lostAgents {
			continue
		}
		results = append(results, wire.ClaimResult{Claim: ref, Outcome: wire.Answered, Kept: true, Status: answer.Status, Body: answer.Body})
	}
	return results
}

func measureClaimCrash() ([]bounds.Figure, error) {
	run := func(queryAgents bool, lostAgents int) *crashTotals {
		t := &crashTotals{}
		for seed := range uint64(crashCount) {
			t.runOwnerCrash(seed+1, queryAgents, lostAgents)
		}
		return t
	}
	withQueries, withoutQueries, withOneAgentLost := run(true, 0), run(false, 0), run(true, 1)
	unknownShare := func(t *crashTotals) float64 { return float64(t.unknown) / float64(t.inFlight) }
	return []bounds.Figure{
		{Name: "claims.crash_unknown", Value: unknownShare(withQueries)},
		{Name: "claims.crash_unknown.baseline", Value: unknownShare(withoutQueries)},
		{Name: "claims.crash_unknown_agent_lost", Value: unknownShare(withOneAgentLost)},
		{Name: "claims.crash_calls_per_takeover", Value: float64(withQueries.agentQueries) / float64(withQueries.queryingTakeovers)},
	}, nil
}
