package rollout

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	policy "siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

// scenario describes a feed and the engines of its deployment.
type scenario struct {
	name            string
	engineCount     int
	slots           int // per engine
	pace            policy.Pace
	recomputeCost   policy.MoveCost
	shape           sample.Shape
	classes         []lengthClass
	maxTokens       int // longest sample
	lotSize         int
	limits          sample.Limits
	trainTime       time.Duration // time to train on one step
	firstSwapDelay  time.Duration // from the announcement of a version to the first engine's swap
	swapInterval    time.Duration // from one engine's swap to the next engine's
	steps           int
	warmUpSteps     int // first steps, which are not measured
	idleWeight      float64
	stalenessWeight float64
	seed            uint64

	// The fields below are zero in the scenarios of the deployments and are set for
	// measureMoves.
	promptTokens    int
	prefillPerToken time.Duration   // prefill time of an engine; 0 means that prefill takes no time
	transferCost    policy.MoveCost // of a sample's KV cache from engine to engine; zero if not possible
	loadTime        time.Duration   // time during which an engine that swaps weights generates no tokens
	callers         callerLoad
}

// callerLoad is the load of callers that use slots of some engines for a while and then
// of others.
type callerLoad struct {
	slots    int           // slots used on each loaded engine
	stride   int           // every stride-th engine is loaded; 0 if none is
	duration time.Duration // time until other engines are loaded
}

// lengthClass is the distribution of the lengths of samples of a class of prompts. It is
// log-normal: the logarithm deviates per group and, around that, per sample.
type lengthClass struct {
	median      float64 // tokens
	groupSigma  float64 // standard deviation of the groups' logarithms
	sampleSigma float64 // standard deviation of the logarithms within a group
}

// length returns the length of a sample in tokens. It is the same for every run of the
// sample.
func (s *scenario) length(id sample.ID) int {
	class := s.classes[int(id.Group)%len(s.classes)]
	groupDeviation := drawNormal(s.seed, uint64(id.Step)<<32|uint64(id.Group), 0, class.groupSigma)
	sampleDeviation := drawNormal(s.seed, uint64(id.Step)<<32|uint64(id.Group), uint64(id.Index)+1, class.sampleSigma)
	tokens := class.median * math.Exp(groupDeviation+sampleDeviation)
	return int(min(max(1, tokens), float64(s.maxTokens)))
}

// drawNormal draws from a normal distribution with mean 0. The result depends only on the
// arguments.
func drawNormal(seed, group, index uint64, sigma float64) float64 {
	source := rand.NewPCG(seed*0x9e3779b97f4a7c15+group, index)
	return distuv.Normal{Sigma: sigma, Src: source}.Rand()
}

// ledgerwiseScenario returns the scenario of a deployment that drafts reminders. Most are
// short; those that set out a trader's whole account are long. Its feed gives staleness
// more weight than idle time.
func ledgerwiseScenario() scenario {
	return scenario{
		name:          "ledgerwise",
		engineCount:   10,
		slots:         8,
		pace:          policy.Pace{Base: 20 * time.Millisecond, PerSample: 500 * time.Microsecond},
		recomputeCost: policy.MoveCost{Fixed: 100 * time.Millisecond, PerToken: 50 * time.Microsecond},
		shape:         sample.Shape{Groups: 128, Size: 8},
		classes: []lengthClass{
			{median: 600, groupSigma: 0.4, sampleSigma: 0.4},
			{median: 150, groupSigma: 0.5, sampleSigma: 0.5},
			{median: 150, groupSigma: 0.5, sampleSigma: 0.5},
			{median: 150, groupSigma: 0.5, sampleSigma: 0.5},
		},
		maxTokens:       2048,
		lotSize:         64,
		limits:          sample.Limits{MaxVersionLag: 2},
		trainTime:       60 * time.Second,
		firstSwapDelay:  500 * time.Millisecond,
		swapInterval:    100 * time.Millisecond,
		steps:           10,
		warmUpSteps:     2,
		idleWeight:      1,
		stalenessWeight: 2,
		seed:            11,
	}
}

// batumiScenario returns the scenario of a deployment that marks examinations. Essays are
// long, the other papers are short. Its feed gives idle time more weight than staleness.
func batumiScenario() scenario {
	s := ledgerwiseScenario()
	s.name = "batumi"
	s.shape = sample.Shape{Groups: 96, Size: 8}
	s.classes = []lengthClass{
		{median: 900, groupSigma: 0.4, sampleSigma: 0.4},
		{median: 220, groupSigma: 0.6, sampleSigma: 0.4},
		{median: 300, groupSigma: 0.5, sampleSigma: 0.5},
	}
	s.maxTokens = 3072
	s.trainTime = 90 * time.Second
	s.idleWeight = 4
	s.stalenessWeight = 1
	s.seed = 12
	return s
}

// sequential returns the scenario without run-ahead: no sample of a step is started
// before the trainer has trained on the previous step. Training takes nearly no time.
func (s scenario) sequential() scenario {
	s.limits.MaxVersionLag = 0
	s.trainTime = time.Millisecond
	s.firstSwapDelay = 0
	s.swapInterval = 0
	return s
}

// withSimultaneousSwaps returns the scenario with all engines swapping when the first one
// does, as in the baseline. The time that simultaneous fetches would take is not counted
// against the baseline.
func (s scenario) withSimultaneousSwaps() scenario {
	s.swapInterval = 0
	return s
}

// lowerBound returns a lower bound of the time that a step takes: the larger of the time
// for all its tokens at the rate of full batches and the time of its longest sample alone
// on an engine.
func (s *scenario) lowerBound(step int64) time.Duration {
	total, longest := 0, 0
	for slot := range s.shape.Slots() {
		tokens := s.length(s.shape.IDAt(step, slot))
		total += tokens
		longest = max(longest, tokens)
	}
	throughputBound := float64(total) / (float64(s.engineCount) * s.pace.Rate(s.slots))
	longestSampleTime := float64(longest) * s.pace.TokenTime(1).Seconds()
	return time.Duration(max(throughputBound, longestSampleTime) * float64(time.Second))
}
