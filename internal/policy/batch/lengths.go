package batch

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// lengthWindow is how many of the last texts an estimate rests on: one or two
	// steps of a hundred items, so that a model whose texts grow is followed.
	lengthWindow = 128
	// fewTexts is how many texts must have ended before what was seen replaces
	// what is assumed.
	fewTexts = 8
	// assumedEventTokens is how many tokens an event is taken to hold until texts
	// have ended. Only the order of items of different kinds depends on it.
	assumedEventTokens = 50.0
	// fewLonger is how many of the texts seen must be longer than one under way for
	// their mean to say how much of it is left.
	fewLonger = 3
	// outlivedShare is the share of its events so far that a text which outlived
	// all that was seen is taken to have yet.
	outlivedShare = 0.5
)

// LengthEstimator learns how long texts turn out against their submitters' estimates,
// and from it how much of a text is left. An estimate may be right at the median
// and still be twice too short for one text in twelve, so that a text which has
// outlived its own is likely to be a long one. It is not safe for concurrent use.
type LengthEstimator struct {
	ratios  []float64 // events for each estimated token, of the last texts
	texts   []float64 // events of the last texts, for items without an estimate
	next    int       // place of the next text in both
	ordered []float64 // ratios in order, as of the last median
	median  float64   // of the ratios; 0: to be taken anew
}

// Estimator tells how much of a text is left, and learns from complete ones.
type Estimator interface {
	Observe(item *Item, events int64)
	RemainingWork(item *Item, made int64) float64
}

// NewLengthEstimator returns an estimator that has seen nothing.
func NewLengthEstimator() *LengthEstimator { return &LengthEstimator{} }

// Observe takes in the events of a complete text.
func (l *LengthEstimator) Observe(item *Item, events int64) {
	if events <= 0 {
		return
	}
	l.median = 0
	ratio := 1 / assumedEventTokens
	if item.LengthHint > 0 {
		ratio = float64(events) / float64(item.LengthHint)
	}
	if len(l.ratios) < lengthWindow {
		l.ratios = append(l.ratios, ratio)
		l.texts = append(l.texts, float64(events))
		return
	}
	l.ratios[l.next], l.texts[l.next] = ratio, float64(events)
	l.next = (l.next + 1) % lengthWindow
}

// RemainingWork returns how many events a text is expected to have yet after those made;
// at least 1.
func (l *LengthEstimator) RemainingWork(item *Item, made int64) float64 {
	most := l.most(item)
	if len(l.ratios) < fewTexts {
		return max(1, min(most, float64(item.LengthHint)/assumedEventTokens)-float64(made))
	}
	sum, longer := 0.0, 0
	for i := range l.ratios {
		events := l.texts[i]
		if item.LengthHint > 0 {
			events = l.ratios[i] * float64(item.LengthHint)
		}
		if events = min(most, events); events > float64(made) {
			sum += events - float64(made)
			longer++
		}
	}
	if longer < fewLonger {
		return max(1, min(most-float64(made), outlivedShare*float64(made)))
	}
	return max(1, sum/float64(longer))
}

// most returns the most events that an item's text may have.
func (l *LengthEstimator) most(item *Item) float64 {
	if item.MaxTokens <= 0 {
		return float64(1 << 20)
	}
	if len(l.ratios) < fewTexts {
		return float64(item.MaxTokens) / assumedEventTokens
	}
	return float64(item.MaxTokens) * l.eventsPerToken()
}

// eventsPerToken is the median of the ratios, as estimates are right at theirs.
func (l *LengthEstimator) eventsPerToken() float64 {
	if l.median == 0 {
		l.ordered = append(l.ordered[:0], l.ratios...)
		slices.Sort(l.ordered)
		l.median = stat.Quantile(0.5, stat.Empirical, l.ordered, nil)
	}
	return l.median
}
