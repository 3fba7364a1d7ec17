package steps

import (
	"fmt"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

// draw draws the texts of a step and their estimates.
func (w *world) draw(index int, t *trainer) *job {
	body := distuv.LogNormal{Mu: 0, Sigma: lengthSigma, Src: w.random}
	errs := distuv.LogNormal{Mu: 0, Sigma: hintSigma, Src: w.random}
	scale := t.MeanEvents / body.Mean()
	spec := &batch.Spec{ID: fmt.Sprintf("t%d-%d", index, t.submitted), Model: model, WantGroups: t.WantGroups, Submitted: w.now}
	j := &job{trainer: index, step: t.submitted, submitted: w.now}
	j.resubmitted = min(len(t.incomplete), t.WantGroups/2)
	earlier := t.incomplete[:j.resubmitted]
	t.incomplete = t.incomplete[j.resubmitted:]
	for g := range t.Groups {
		for k := range t.GroupSize {
			events := drawLength(scale*body.Rand(), w.random.Float64() < longShare, t.MaxEvents)
			if g < len(earlier) {
				events = earlier[g][k]
			}
			j.lengths = append(j.lengths, events)
			spec.Items = append(spec.Items, batch.Item{
				ID: fmt.Sprintf("%s-%d", spec.ID, len(spec.Items)), Group: fmt.Sprint(g),
				LengthHint: max(1, int(float64(events*tokensPerEvent)*errs.Rand())), MaxTokens: int(t.MaxEvents) * tokensPerEvent,
			})
		}
	}
	j.Job = batch.NewJob(spec, nil)
	j.SetEstimator(w.lengths)
	t.MinStepTimes = append(t.MinStepTimes, time.Duration(requiredEvents(j, t.Trainer))*w.load.EventTime)
	return j
}

func drawLength(length float64, long bool, maxEvents int64) int64 {
	if long {
		length *= longFactor
	}
	return min(maxEvents, max(1, int64(length)))
}

// requiredEvents returns the events of the longest text that a step needs: it leaves
// out the groups with the longest texts, as many as the step can do without.
func requiredEvents(j *job, t Trainer) int64 {
	longest := make([]int64, t.Groups)
	for i, events := range j.lengths {
		longest[i/t.GroupSize] = max(longest[i/t.GroupSize], events)
	}
	for range t.Groups - t.WantGroups {
		longestGroup := j.resubmitted
		for g := j.resubmitted; g < len(longest); g++ {
			if longest[g] > longest[longestGroup] {
				longestGroup = g
			}
		}
		longest[longestGroup] = 0
	}
	maxEvents := int64(0)
	for _, events := range longest {
		maxEvents = max(maxEvents, events)
	}
	return maxEvents
}
