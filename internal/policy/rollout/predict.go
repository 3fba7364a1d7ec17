package rollout

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// What is assumed of lengths before any was seen, as a share of the longest
// allowed and in units of the logarithm.
const (
	assumedShare  = 0.25
	assumedSpread = 0.8
	// leastSpread keeps a prediction from being taken for certain.
	leastSpread = 0.15
	// assumedWithin is the share of the variance that lies within a group.
	assumedWithin = 0.5
	// assumedWeight is how many samples the assumption counts for.
	assumedWeight = 2
	// optimism is how many spreads above its mean a length is taken to be when
	// samples are put in order.
	optimism = 2
)

// moments accumulates logarithms of lengths (Welford's method).
type moments struct {
	n, mean, m2 float64
}

func (m *moments) add(x float64) {
	m.n++
	delta := x - m.mean
	m.mean += delta / m.n
	m.m2 += delta * (x - m.mean)
}

// class is what was seen of one class of prompts.
type class struct {
	all    moments
	within moments // m2 and n-1 of groups of at least two, pooled
	groups map[sample.ID]*moments
}

// Predictor predicts lengths in tokens from what was seen, for each class of
// prompts and each group. Lengths are taken as log-normal; the samples of a
// group share a mean around that of their class.
type Predictor struct {
	longest int
	classes map[int]*class
}

// NewPredictor returns a predictor of lengths up to longest tokens.
func NewPredictor(longest int) *Predictor {
	return &Predictor{longest: max(1, longest), classes: map[int]*class{}}
}

func groupOf(id sample.ID) sample.ID {
	id.Index = 0
	return id
}

func (p *Predictor) class(c int) *class {
	found := p.classes[c]
	if found == nil {
		found = &class{groups: map[sample.ID]*moments{}}
		p.classes[c] = found
	}
	return found
}

// Observe takes the length of a complete sample.
func (p *Predictor) Observe(c int, id sample.ID, tokens int) {
	x := math.Log(float64(max(1, tokens)))
	k := p.class(c)
	k.all.add(x)
	g := k.groups[groupOf(id)]
	if g == nil {
		g = &moments{}
		k.groups[groupOf(id)] = g
	}
	before := g.m2
	g.add(x)
	if g.n > 1 {
		k.within.n++
		k.within.m2 += g.m2 - before
	}
}

// ForgetBefore drops the groups of the steps before step.
func (p *Predictor) ForgetBefore(step int64) {
	for _, k := range p.classes {
		for group := range k.groups {
			if group.Step < step {
				delete(k.groups, group)
			}
		}
	}
}

// distribution of the length of a sample of the class and group. running are
// the tokens so far of the group's samples that still run.
func (p *Predictor) distribution(c int, id sample.ID, running []int) distuv.LogNormal {
	k := p.class(c)
	mean, variance := p.prior(k)
	within := variance * assumedWithin
	if k.within.n >= 4 {
		within = min(variance, max(k.within.m2/k.within.n, leastSpread*leastSpread))
	}
	between := max(variance-within, 0.05*variance)
	var g moments
	if seen := k.groups[groupOf(id)]; seen != nil {
		g = *seen
	}
	for _, tokens := range running {
		// One that has outrun what was expected tells of its group long before
		// it ends; a long group would else be known only when it is too late.
		if x := math.Log(float64(max(1, tokens))) + math.Sqrt(within)/2; x > mean {
			g.add(x)
		}
	}
	if g.n == 0 {
		return distuv.LogNormal{Mu: mean, Sigma: math.Sqrt(variance)}
	}
	precision := g.n/within + 1/between
	mu := (g.n*g.mean/within + mean/between) / precision
	return distuv.LogNormal{Mu: mu, Sigma: math.Sqrt(within + 1/precision)}
}

// prior returns mean and variance of the class with the assumption mixed in.
func (p *Predictor) prior(k *class) (mean, variance float64) {
	assumed := math.Log(assumedShare * float64(p.longest))
	n := k.all.n + assumedWeight
	mean = (k.all.n*k.all.mean + assumedWeight*assumed) / n
	variance = (k.all.m2 + assumedWeight*assumedSpread*assumedSpread) / n
	return mean, max(variance, leastSpread*leastSpread)
}

// Remaining returns the tokens that a sample is expected still to need after
// done tokens.
func (p *Predictor) Remaining(c int, id sample.ID, done int) float64 {
	d := p.distribution(c, id, nil)
	left := float64(p.longest - done)
	if done <= 0 {
		return min(d.Mean(), left)
	}
	// E[L | L > t] of a log-normal is its mean times the ratio of two tails.
	z := (d.Mu - math.Log(float64(done))) / d.Sigma
	above := distuv.UnitNormal.CDF(z)
	if above < 1e-9 {
		return max(0, min(left, float64(done)*d.Sigma))
	}
	expected := d.Mean() * distuv.UnitNormal.CDF(z+d.Sigma) / above
	return max(1, min(expected-float64(done), left))
}

// Urgency orders samples that have not begun: the length that a sample is
// unlikely to pass. A group of which nothing is known thus goes before one that
// is known to be of the same mean length.
func (p *Predictor) Urgency(c int, id sample.ID, running []int) float64 {
	d := p.distribution(c, id, running)
	return min(d.Mean()*math.Exp(optimism*d.Sigma), 4*float64(p.longest))
}

// Quantile returns the length that a share q of the class's samples stay under.
func (p *Predictor) Quantile(c int, q float64) float64 {
	mean, variance := p.prior(p.class(c))
	d := distuv.LogNormal{Mu: mean, Sigma: math.Sqrt(variance)}
	return min(d.Quantile(q), float64(p.longest))
}

// Mean returns the expected length of the class's samples.
func (p *Predictor) Mean(c int) float64 {
	mean, variance := p.prior(p.class(c))
	return min(distuv.LogNormal{Mu: mean, Sigma: math.Sqrt(variance)}.Mean(), float64(p.longest))
}
