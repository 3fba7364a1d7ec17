package rollout

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/bounds"
	policy "siskinloom.example/siskinloom/internal/policy/rollout"
)

// Times per token for a model of 8 billion parameters on one accelerator: prefill of
// 8,000 tokens per second, and 128 KiB of KV cache per token over links of 10 Gbit/s
// between engines.
const (
	smallModelPrefill  = 125 * time.Microsecond
	smallModelTransfer = 105 * time.Microsecond
)

// Times per token for a model of 70 billion parameters on eight accelerators: prefill of
// 2,000 tokens per second, and 320 KiB of KV cache per token over links of 100 Gbit/s.
const (
	largeModelPrefill  = 500 * time.Microsecond
	largeModelTransfer = 26 * time.Microsecond
)

const (
	shortPromptTokens = 256
	longPromptTokens  = 16_384
	wideBatchSlots    = 64 // per engine
	fewGroupCount     = 24
	fewGroupSize      = 4
)

// withCosts returns the scenario with prompts of the given length and with a model's
// times per token for prefill and for the transfer of the KV cache.
func (s scenario) withCosts(promptTokens int, prefillPerToken, transferPerToken time.Duration) scenario {
	s.promptTokens = promptTokens
	s.prefillPerToken = prefillPerToken
	s.recomputeCost = policy.MoveCost{Fixed: 100 * time.Millisecond, PerToken: prefillPerToken}
	s.transferCost = policy.MoveCost{Fixed: 100 * time.Millisecond, PerToken: transferPerToken}
	return s
}

// withCallers returns the scenario with callers that use three quarters of the slots of
// every fifth engine and change to other engines every 30 seconds.
func (s scenario) withCallers() scenario {
	s.callers = callerLoad{slots: s.slots * 3 / 4, stride: 5, duration: 30 * time.Second}
	return s
}

// moveCase is a workload for which the ways of moving samples are compared.
type moveCase struct {
	name     string
	scenario scenario
}

func moveCases() []moveCase {
	var all []moveCase
	for _, s := range []scenario{ledgerwiseScenario(), batumiScenario()} {
		short := s.withCosts(shortPromptTokens, smallModelPrefill, smallModelTransfer)
		loading := short
		loading.loadTime = 10 * time.Second
		wide := s.withCosts(shortPromptTokens, largeModelPrefill, largeModelTransfer)
		wide.slots = wideBatchSlots
		long := wide
		long.promptTokens = longPromptTokens
		long.shape.Groups = fewGroupCount
		long.shape.Size = fewGroupSize
		all = append(all,
			moveCase{name: "even." + s.name, scenario: short},
			moveCase{name: "loading." + s.name, scenario: loading},
			moveCase{name: "crowded." + s.name, scenario: short.withCallers()},
			moveCase{name: "wide." + s.name, scenario: wide.withCallers()},
			moveCase{name: "long." + s.name, scenario: long.withCallers()},
		)
	}
	return all
}

// moveRuns are the results of pipelines whose samples do not move, whose samples move
// without their KV cache, and whose samples move with it if the scheduler expects that
// to be cheaper.
type moveRuns struct {
	stay, recompute, withCache *result
}

func (c moveCase) startRuns(group *errgroup.Group) *moveRuns {
	runs := &moveRuns{}
	start := func(out **result, recomputeCost, transferCost policy.MoveCost) {
		assumed := c.scenario // costs as the scheduler assumes them
		assumed.recomputeCost = recomputeCost
		assumed.transferCost = transferCost
		startRun(group, out, newPipeline(c.scenario, newScheduler(assumed, c.scenario.idleWeight, c.scenario.stalenessWeight)))
	}
	start(&runs.stay, policy.MoveCost{Fixed: pipelineTimeout}, policy.MoveCost{})
	start(&runs.recompute, c.scenario.recomputeCost, policy.MoveCost{})
	start(&runs.withCache, c.scenario.recomputeCost, c.scenario.transferCost)
	return runs
}

func measureMoves() ([]bounds.Figure, error) {
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	cases := moveCases()
	runs := make([]*moveRuns, len(cases))
	for i, c := range cases {
		runs[i] = c.startRuns(&group)
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var figures []bounds.Figure
	for i, r := range runs {
		prefix := "rollout.moves." + cases[i].name
		figures = append(figures,
			bounds.Figure{Name: prefix + ".idle_s.stay", Value: r.stay.idle.Seconds()},
			bounds.Figure{Name: prefix + ".idle_s.recompute", Value: r.recompute.idle.Seconds()},
			bounds.Figure{Name: prefix + ".idle_s", Value: r.withCache.idle.Seconds()},
			bounds.Figure{Name: prefix + ".staleness_mean.stay", Value: r.stay.meanStaleness()},
			bounds.Figure{Name: prefix + ".staleness_mean.recompute", Value: r.recompute.meanStaleness()},
			bounds.Figure{Name: prefix + ".staleness_mean", Value: r.withCache.meanStaleness()},
			bounds.Figure{Name: prefix + ".idle_vs_stay", Value: r.withCache.idle.Seconds() / r.stay.idle.Seconds()},
		)
	}
	return figures, nil
}
