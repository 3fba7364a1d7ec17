package batch

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// lengthWindow is the number of most recent texts that estimates are based on: one or
	// two steps of a hundred items, so that estimates follow a model whose texts grow.
	lengthWindow = 128
	// minTexts is the number of texts that must be complete before observed lengths
	// replace the default.
	minTexts = 8
	// assumedEventTokens is the number of tokens per event until minTexts texts are
	// complete. It only affects the order of items of different kinds.
	assumedEventTokens = 50.0
	// minLongerTexts is how many observed texts must be longer than a text in progress
	// for their mean to predict its remaining events.
	minLongerTexts = 3
	// overrunShare predicts the remaining events of a text that is longer than almost all
	// observed texts, as a share of its events so far.
	overrunShare = 0.5
)

// LengthEstimator learns how the lengths of texts compare with their submitters'
// estimates, and predicts the remaining events of a text. An estimate may be right at
// the median and still be too low by a factor of two for one text in twelve, so a text
// that has exceeded its estimate is likely to be a long one. It is not safe for
// concurrent use.
type LengthEstimator struct {
	ratios       []float64 // events per estimated token of the last texts
	eventCounts  []float64 // events of the last texts, for items without an estimate
	next         int       // index of the next text in both ring buffers
	sortedRatios []float64 // ratios in ascending order, as of the last median
	medianRatio  float64   // cached median of ratios; 0 if it must be computed
}

// Estimator predicts the remaining events of texts and learns from complete texts.
type Estimator interface {
	// Observe records the number of events of a complete text.
	Observe(item *Item, events int64)
	// RemainingWork returns the expected number of events after the generated ones.
	RemainingWork(item *Item, generated int64) float64
}

// NewLengthEstimator returns an estimator without observations.
func NewLengthEstimator() *LengthEstimator { return &LengthEstimator{} }

// Observe records the number of events of a complete text.
func (l *LengthEstimator) Observe(item *Item, events int64) {
	if events <= 0 {
		return
	}
	l.medianRatio = 0
	ratio := 1 / assumedEventTokens
	if item.LengthHint > 0 {
		ratio = float64(events) / float64(item.LengthHint)
	}
	if len(l.ratios) < lengthWindow {
		l.ratios = append(l.ratios, ratio)
		l.eventCounts = append(l.eventCounts, float64(events))
		return
	}
	l.ratios[l.next], l.eventCounts[l.next] = ratio, float64(events)
	l.next = (l.next + 1) % lengthWindow
}

// RemainingWork returns the expected number of events that a text still needs after the
// generated ones, at least 1.
func (l *LengthEstimator) RemainingWork(item *Item, generated int64) float64 {
	maxEvents := l.maxEvents(item)
	if len(l.ratios) < minTexts {
		return max(1, min(maxEvents, float64(item.LengthHint)/assumedEventTokens)-float64(generated))
	}
	sum, longer := 0.0, 0
	for i := range l.ratios {
		events := l.eventCounts[i]
		if item.LengthHint > 0 {
			events = l.ratios[i] * float64(item.LengthHint)
		}
		if events = min(maxEvents, events); events > float64(generated) {
			sum += events - float64(generated)
			longer++
		}
	}
	if longer < minLongerTexts {
		return max(1, min(maxEvents-float64(generated), overrunShare*float64(generated)))
	}
	return max(1, sum/float64(longer))
}

// maxEvents returns the maximum number of events that an item's text may have.
func (l *LengthEstimator) maxEvents(item *Item) float64 {
	if item.MaxTokens <= 0 {
		return float64(1 << 20)
	}
	if len(l.ratios) < minTexts {
		return float64(item.MaxTokens) / assumedEventTokens
	}
	return float64(item.MaxTokens) * l.eventsPerToken()
}

// eventsPerToken returns the median of the ratios, as estimates are right at the median.
func (l *LengthEstimator) eventsPerToken() float64 {
	if l.medianRatio == 0 {
		l.sortedRatios = append(l.sortedRatios[:0], l.ratios...)
		slices.Sort(l.sortedRatios)
		l.medianRatio = stat.Quantile(0.5, stat.Empirical, l.sortedRatios, nil)
	}
	return l.medianRatio
}
