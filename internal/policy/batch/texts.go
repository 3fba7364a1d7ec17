package batch

import (
	"slices"
	"strings"
)

// TextPart is a part of an item's text as it is kept outside the job: events in
// order, each with the weight version that generated it.
type TextPart struct {
	Item     string
	First    int64 // ID of the first event; 1 begins the text anew
	Events   [][]byte
	Versions []int64 // of the event at the same place
	Complete bool    // the text ends with these events
	Score    string  // of the complete text; empty: not known
}

// Text is what engines have generated of an item so far, from its first event.
type Text struct {
	Events   [][]byte
	Versions []int64
	Complete bool
	Score    string // of the complete text; empty: not known
	severed  bool   // what followed was lost, so that no part can be told to continue it
}

// Texts joins parts into texts. Parts may be missing, and a text may have been
// begun anew; what is joined is always events of one text without a gap. It is
// not safe for concurrent use.
type Texts struct {
	byItem map[string]*Text
}

// NewTexts returns an empty collection.
func NewTexts() *Texts { return &Texts{byItem: map[string]*Text{}} }

// Add joins a part to its text. It tells whether it was of use: one after a gap is
// not, nor is one that repeats events in the middle of a text.
func (t *Texts) Add(p TextPart) bool {
	if p.First < 1 || len(p.Events) != len(p.Versions) || slices.ContainsFunc(p.Versions, func(v int64) bool { return v <= 0 }) {
		return false
	}
	text := t.byItem[p.Item]
	if p.First == 1 {
		text = &Text{}
		t.byItem[p.Item] = text
	}
	if text == nil || p.First != int64(len(text.Events))+1 || text.severed || text.Complete && len(p.Events) > 0 {
		return false
	}
	text.Events = append(text.Events, p.Events...)
	text.Versions = append(text.Versions, p.Versions...)
	text.Complete = (p.Complete || text.Complete) && len(text.Events) > 0
	if text.Complete && p.Score != "" {
		text.Score = p.Score
	}
	return true
}

// Empty tells whether there are no texts.
func (t *Texts) Empty() bool { return len(t.byItem) == 0 }

// Merge takes over each text of which the other collection has more.
func (t *Texts) Merge(other *Texts) {
	for item, theirs := range other.byItem {
		ours := t.byItem[item]
		if ours == nil || len(theirs.Events) > len(ours.Events) || theirs.Complete && !ours.Complete && len(theirs.Events) == len(ours.Events) {
			t.byItem[item] = theirs
		}
	}
}

// Freeze notes that parts were lost here: texts so far stand, and parts that come
// later count only for texts that are begun anew. A later part may continue
// another run's text of the same length.
func (t *Texts) Freeze() {
	for _, text := range t.byItem {
		text.severed = true
	}
}

// Parts returns the texts as one part each, sorted by item.
func (t *Texts) Parts() []TextPart {
	parts := make([]TextPart, 0, len(t.byItem))
	for item, text := range t.byItem {
		if len(text.Events) > 0 {
			parts = append(parts, TextPart{Item: item, First: 1, Events: text.Events, Versions: text.Versions, Complete: text.Complete, Score: text.Score})
		}
	}
	slices.SortFunc(parts, func(a, b TextPart) int { return strings.Compare(a.Item, b.Item) })
	return parts
}

// Texts returns the job's texts under way. Their events are shared with the job and
// must not be changed.
func (j *Job) Texts() *Texts {
	texts := NewTexts()
	for i := range j.items {
		it := &j.items[i]
		if it.phase == ended || len(it.text) == 0 {
			continue
		}
		texts.byItem[j.Spec.Items[i].ID] = &Text{
			Events: slices.Clip(it.text), Versions: slices.Clip(it.eventVersions), Complete: it.phase == written || it.phase == scoring,
		}
	}
	return texts
}

// EventCount returns how many events of an item's text there are; 0 if it ended.
func (j *Job) EventCount(i int) int64 {
	if j.items[i].phase == ended {
		return 0
	}
	return j.items[i].lastEvent
}

// ResumeTexts has the job's waiting items go on from texts that were kept of it, and
// returns how many items and events that were. A text that the job may not use,
// as its weights are too old or, where one version is wanted, are several, is
// passed over.
func (j *Job) ResumeTexts(texts *Texts) (items, events int) {
	for i := range j.items {
		text := texts.byItem[j.Spec.Items[i].ID]
		it := &j.items[i]
		if text == nil || it.phase != waiting || it.lastEvent >= int64(len(text.Events)) {
			continue
		}
		versions := inOrder(text.Versions)
		if !j.acceptsVersions(versions) {
			continue
		}
		it.text, it.lastEvent, it.versions = slices.Clone(text.Events), int64(len(text.Events)), versions
		it.eventVersions = slices.Clone(text.Versions)
		j.estimate(i)
		items++
		events += len(text.Events)
		switch {
		case text.Complete && text.Score != "" && j.Spec.Items[i].Scorer != nil:
			j.complete(i, text.Score)
		case text.Complete:
			j.textComplete(i)
		}
	}
	return items, events
}

// inOrder returns the versions of events, each once, in order of appearance.
func inOrder(versions []int64) []int64 {
	var seen []int64
	for _, v := range versions {
		if !slices.Contains(seen, v) {
			seen = append(seen, v)
		}
	}
	return seen
}

// acceptsVersions tells whether a text that these weights generated may be used.
func (j *Job) acceptsVersions(versions []int64) bool {
	if j.Spec.SingleVersion && len(versions) > 1 {
		return false
	}
	return !slices.ContainsFunc(versions, func(v int64) bool { return v < j.Spec.MinVersion })
}
