package rollout

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/bounds"
	policy "siskinloom.example/siskinloom/internal/policy/rollout"
)

// Costs of a model of 8 billion parameters on one accelerator: 8,000 tokens of
// prompt a second, 128 KiB of KV cache a token, 10 Gbit/s from engine to engine.
const (
	smallPrefill = 125 * time.Microsecond
	smallCarry   = 105 * time.Microsecond
)

// The same of one of 70 billion on eight accelerators: 2,000 tokens a second,
// 320 KiB a token, 100 Gbit/s.
const (
	largePrefill = 500 * time.Microsecond
	largeCarry   = 26 * time.Microsecond
)

const (
	shortPrompt = 256 // tokens
	longPrompt  = 16_384
	wideBatch   = 64 // slots of an engine
	fewGroups   = 24
	fewSamples  = 4 // of a group
)

// with gives a scenario the costs of a model and its prompts.
func (s scenario) with(prompt int, prefill, carry time.Duration) scenario {
	s.prompt = prompt
	s.prefill = prefill
	s.move = policy.MoveCost{Fixed: 100 * time.Millisecond, PerToken: prefill}
	s.carry = policy.MoveCost{Fixed: 100 * time.Millisecond, PerToken: carry}
	return s
}

// crowded lets callers take three of four slots of every fifth engine, of other
// engines each half minute.
func (s scenario) crowded() scenario {
	s.crowd = crowd{slots: s.slots * 3 / 4, every: 5, lasts: 30 * time.Second}
	return s
}

// moveCase is a workload on which the ways of moving are compared.
type moveCase struct {
	name     string
	scenario scenario
}

func moveCases() []moveCase {
	var all []moveCase
	for _, s := range []scenario{ledgerwise(), batumi()} {
		short := s.with(shortPrompt, smallPrefill, smallCarry)
		loading := short
		loading.load = 10 * time.Second
		wide := s.with(shortPrompt, largePrefill, largeCarry)
		wide.slots = wideBatch
		long := wide
		long.prompt = longPrompt
		long.shape.Groups = fewGroups
		long.shape.Size = fewSamples
		all = append(all,
			moveCase{name: "even." + s.name, scenario: short},
			moveCase{name: "loading." + s.name, scenario: loading},
			moveCase{name: "crowded." + s.name, scenario: short.crowded()},
			moveCase{name: "wide." + s.name, scenario: wide.crowded()},
			moveCase{name: "long." + s.name, scenario: long.crowded()},
		)
	}
	return all
}

// moveRuns are pipelines whose samples stay, move without their KV cache, and
// move with it where the policy finds that cheaper.
type moveRuns struct {
	stay, recompute, carry *result
}

func (c moveCase) run(group *errgroup.Group) *moveRuns {
	r := &moveRuns{}
	play := func(into **result, move, carry policy.MoveCost) {
		believed := c.scenario
		believed.move = move
		believed.carry = carry
		begin(group, into, newPipeline(c.scenario, newPolicy(believed, c.scenario.idle, c.scenario.staleness)))
	}
	play(&r.stay, policy.MoveCost{Fixed: standstill}, policy.MoveCost{})
	play(&r.recompute, c.scenario.move, policy.MoveCost{})
	play(&r.carry, c.scenario.move, c.scenario.carry)
	return r
}

func measureMoves() ([]bounds.Figure, error) {
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	cases := moveCases()
	runs := make([]*moveRuns, len(cases))
	for i, c := range cases {
		runs[i] = c.run(&group)
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var figures []bounds.Figure
	for i, r := range runs {
		name := "rollout.moves." + cases[i].name
		figures = append(figures,
			bounds.Figure{Name: name + ".idle_s.stay", Value: r.stay.idle.Seconds()},
			bounds.Figure{Name: name + ".idle_s.recompute", Value: r.recompute.idle.Seconds()},
			bounds.Figure{Name: name + ".idle_s", Value: r.carry.idle.Seconds()},
			bounds.Figure{Name: name + ".staleness_mean.stay", Value: r.stay.meanVersions()},
			bounds.Figure{Name: name + ".staleness_mean.recompute", Value: r.recompute.meanVersions()},
			bounds.Figure{Name: name + ".staleness_mean", Value: r.carry.meanVersions()},
			bounds.Figure{Name: name + ".idle_vs_stay", Value: r.carry.idle.Seconds() / r.stay.idle.Seconds()},
		)
	}
	return figures, nil
}
