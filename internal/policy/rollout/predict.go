package rollout

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// Parameters of the log-normal distribution of lengths.
const (
	// priorLengthShare is the prior median length, as a share of the maximum length.
	priorLengthShare = 0.25
	// priorSigma is the prior standard deviation of the logarithm of a length.
	priorSigma = 0.8
	// minSigma is a lower bound that keeps predictions from being treated as certain.
	minSigma = 0.15
	// priorWithinShare is the prior share of the variance that lies within a group.
	priorWithinShare = 0.5
	// priorWeight is the weight of the prior, in samples.
	priorWeight = 2
	// urgencySigmas is the number of standard deviations above the mean at which Urgency
	// estimates lengths to order samples.
	urgencySigmas = 2
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

// class holds the observed lengths of one class of prompts.
type class struct {
	all    moments
	within moments // pooled within-group moments: m2, and n as the sum of n-1 over the groups
	groups map[sample.ID]*moments
}

// Predictor predicts the lengths of samples in tokens from observed lengths, per class of
// prompts and per group. Lengths are modelled as log-normal; the samples of a group share a
// mean that varies around the mean of their class.
type Predictor struct {
	maxTokens int
	classes   map[int]*class
}

// NewPredictor returns a predictor of lengths up to maxTokens.
func NewPredictor(maxTokens int) *Predictor {
	return &Predictor{maxTokens: max(1, maxTokens), classes: map[int]*class{}}
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

// Observe records the length of a complete sample.
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

// ForgetBefore drops the statistics of groups of the steps before step.
func (p *Predictor) ForgetBefore(step int64) {
	for _, k := range p.classes {
		for group := range k.groups {
			if group.Step < step {
				delete(k.groups, group)
			}
		}
	}
}

// distribution returns the distribution of the length of a sample of the given class and
// group. running holds the tokens so far of the group's running samples.
func (p *Predictor) distribution(c int, id sample.ID, running []int) distuv.LogNormal {
	k := p.class(c)
	mean, variance := p.prior(k)
	within := variance * priorWithinShare
	if k.within.n >= 4 {
		within = min(variance, max(k.within.m2/k.within.n, minSigma*minSigma))
	}
	between := max(variance-within, 0.05*variance)
	var g moments
	if seen := k.groups[groupOf(id)]; seen != nil {
		g = *seen
	}
	for _, tokens := range running {
		// A running sample that is longer than expected is evidence about its group long
		// before it ends. Without it, a long group would be detected too late.
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

// prior returns the mean and variance of a class, which combine its observed lengths with
// the prior.
func (p *Predictor) prior(k *class) (mean, variance float64) {
	priorMean := math.Log(priorLengthShare * float64(p.maxTokens))
	n := k.all.n + priorWeight
	mean = (k.all.n*k.all.mean + priorWeight*priorMean) / n
	variance = (k.all.m2 + priorWeight*priorSigma*priorSigma) / n
	return mean, max(variance, minSigma*minSigma)
}

// Remaining returns the expected number of tokens that a sample still needs after the
// generated ones.
func (p *Predictor) Remaining(c int, id sample.ID, generated int) float64 {
	d := p.distribution(c, id, nil)
	limit := float64(p.maxTokens - generated)
	if generated <= 0 {
		return min(d.Mean(), limit)
	}
	// E[L | L > t] of a log-normal is its mean times the ratio of two tails.
	z := (d.Mu - math.Log(float64(generated))) / d.Sigma
	above := distuv.UnitNormal.CDF(z)
	if above < 1e-9 {
		return max(0, min(limit, float64(generated)*d.Sigma))
	}
	expected := d.Mean() * distuv.UnitNormal.CDF(z+d.Sigma) / above
	return max(1, min(expected-float64(generated), limit))
}

// Urgency returns the priority of a sample that has not started: a length that the sample is
// unlikely to exceed. A group without observations therefore goes before a group that is
// known to have the same mean length.
func (p *Predictor) Urgency(c int, id sample.ID, running []int) float64 {
	d := p.distribution(c, id, running)
	return min(d.Mean()*math.Exp(urgencySigmas*d.Sigma), 4*float64(p.maxTokens))
}

// Quantile returns the q-quantile of the lengths of the class's samples.
func (p *Predictor) Quantile(c int, q float64) float64 {
	mean, variance := p.prior(p.class(c))
	d := distuv.LogNormal{Mu: mean, Sigma: math.Sqrt(variance)}
	return min(d.Quantile(q), float64(p.maxTokens))
}

// Mean returns the expected length of the class's samples.
func (p *Predictor) Mean(c int) float64 {
	mean, variance := p.prior(p.class(c))
	return min(distuv.LogNormal{Mu: mean, Sigma: math.Sqrt(variance)}.Mean(), float64(p.maxTokens))
}
