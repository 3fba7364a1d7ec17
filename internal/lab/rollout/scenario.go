package rollout

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	policy "siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/policy/sample"
)

// scenario is one feed on its deployment's engines.
type scenario struct {
	name      string
	engines   int
	slots     int
	pace      policy.Pace
	move      policy.MoveCost
	shape     sample.Shape
	classes   []lengthClass
	longest   int // tokens
	lotSize   int
	limits    sample.Limits
	train     time.Duration
	swapFirst time.Duration // from the announcement to the first engine's swap
	swapEach  time.Duration // from one engine's swap to the next
	steps     int
	warmUp    int // steps that are not measured
	idle      float64
	staleness float64
	seed      uint64

	// What the deployments' own scenarios leave out.
	prompt  int             // tokens
	prefill time.Duration   // an engine's, of one token
	carry   policy.MoveCost // of a sample's KV cache from engine to engine; zero: not possible
	load    time.Duration   // that an engine makes no token while it swaps
	crowd   crowd
}

// crowd is callers that take slots of some engines for a while, then of others.
type crowd struct {
	slots int // of an engine
	every int // one engine of so many is crowded at a time
	lasts time.Duration
}

// lengthClass is the length of a class of prompts: log-normal, with the groups'
// means spread around the class's.
type lengthClass struct {
	median  float64 // tokens
	between float64 // spread of the groups' means, in units of the logarithm
	within  float64
}

// length draws the length of a sample; the same for every run of it.
func (s *scenario) length(id sample.ID) int {
	c := s.classes[int(id.Group)%len(s.classes)]
	group := draw(s.seed, uint64(id.Step)<<32|uint64(id.Group), 0, c.between)
	own := draw(s.seed, uint64(id.Step)<<32|uint64(id.Group), uint64(id.Index)+1, c.within)
	tokens := c.median * math.Exp(group+own)
	return int(min(max(1, tokens), float64(s.longest)))
}

func draw(seed, a, b uint64, spread float64) float64 {
	source := rand.NewPCG(seed*0x9e3779b97f4a7c15+a, b)
	return distuv.Normal{Sigma: spread, Src: source}.Rand()
}

// ledgerwise drafts reminders: most are short, the firm ones that set out a
// trader's whole account are long. It weighs staleness.
func ledgerwise() scenario {
	return scenario{
		name:    "ledgerwise",
		engines: 10,
		slots:   8,
		pace:    policy.Pace{Base: 20 * time.Millisecond, PerSample: 500 * time.Microsecond},
		move:    policy.MoveCost{Fixed: 100 * time.Millisecond, PerToken: 50 * time.Microsecond},
		shape:   sample.Shape{Groups: 128, Size: 8},
		classes: []lengthClass{
			{median: 600, between: 0.4, within: 0.4},
			{median: 150, between: 0.5, within: 0.5},
			{median: 150, between: 0.5, within: 0.5},
			{median: 150, between: 0.5, within: 0.5},
		},
		longest:   2048,
		lotSize:   64,
		limits:    sample.Limits{MaxVersionLag: 2},
		train:     60 * time.Second,
		swapFirst: 500 * time.Millisecond,
		swapEach:  100 * time.Millisecond,
		steps:     10,
		warmUp:    2,
		idle:      1,
		staleness: 2,
		seed:      11,
	}
}

// batumi marks examinations: essays are long, the other papers short. It weighs
// idle time.
func batumi() scenario {
	s := ledgerwise()
	s.name = "batumi"
	s.shape = sample.Shape{Groups: 96, Size: 8}
	s.classes = []lengthClass{
		{median: 900, between: 0.4, within: 0.4},
		{median: 220, between: 0.6, within: 0.4},
		{median: 300, between: 0.5, within: 0.5},
	}
	s.longest = 3072
	s.train = 90 * time.Second
	s.idle = 4
	s.staleness = 1
	s.seed = 12
	return s
}

// sequential is the scenario without run-ahead: each step alone, from its
// demand to its last sample.
func (s scenario) sequential() scenario {
	s.limits.MaxVersionLag = 0
	s.train = time.Millisecond
	s.swapFirst = 0
	s.swapEach = 0
	return s
}

// swapAtOnce is the scenario with every engine swapping at the first one's time,
// as the baseline has it. That all of them fetch at once is not held against it.
func (s scenario) swapAtOnce() scenario {
	s.swapEach = 0
	return s
}

// lowerBound returns the least time that a step can take: all its tokens at
// the full batches' rate, or its longest sample alone on an engine.
func (s *scenario) lowerBound(step int64) time.Duration {
	total, longest := 0, 0
	for slot := range s.shape.Slots() {
		n := s.length(s.shape.IDAt(step, slot))
		total += n
		longest = max(longest, n)
	}
	work := float64(total) / (float64(s.engines) * s.pace.Rate(s.slots))
	alone := float64(longest) * s.pace.TokenTime(1).Seconds()
	return time.Duration(max(work, alone) * float64(time.Second))
}
