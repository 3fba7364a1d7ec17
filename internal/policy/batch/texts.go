package batch

import (
	"slices"
	"strings"
)

// TextPart is a part of an item's text as it is copied or stored outside the job:
// consecutive events, each with the weight version that generated it.
type TextPart struct {
	Item     string
	First    int64 // ID of the first event; a part with ID 1 replaces the text
	Events   [][]byte
	Versions []int64 // weight version of each event
	Complete bool    // the text ends with these events
	Score    string  // score of the complete text; empty if not known
}

// Text is the text generated for an item so far, from its first event.
type Text struct {
	Events   [][]byte
	Versions []int64
	Complete bool
	Score    string // score of the complete text; empty if not known
	frozen   bool   // later parts were lost, so it is unknown whether a part continues this text
}

// Texts assembles texts from parts. Parts may be missing, and a text may have been
// restarted; an assembled text always consists of events of one text without a gap. It
// is not safe for concurrent use.
type Texts struct {
	byItem map[string]*Text
}

// NewTexts returns an empty collection.
func NewTexts() *Texts { return &Texts{byItem: map[string]*Text{}} }

// Add appends a part to its text and reports whether it did. It rejects a part after a
// gap and a part that repeats events in the middle of a text.
func (t *Texts) Add(p TextPart) bool {
	if p.First < 1 || len(p.Events) != len(p.Versions) || slices.ContainsFunc(p.Versions, func(v int64) bool { return v <= 0 }) {
		return false
	}
	text := t.byItem[p.Item]
	if p.First == 1 {
		text = &Text{}
		t.byItem[p.Item] = text
	}
	if text == nil || p.First != int64(len(text.Events))+1 || text.frozen || text.Complete && len(p.Events) > 0 {
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

// Empty reports whether there are no texts.
func (t *Texts) Empty() bool { return len(t.byItem) == 0 }

// Merge takes over each text that is longer in other, or equally long and complete only
// there.
func (t *Texts) Merge(other *Texts) {
	for item, theirs := range other.byItem {
		ours := t.byItem[item]
		if ours == nil || len(theirs.Events) > len(ours.Events) || theirs.Complete && !ours.Complete && len(theirs.Events) == len(ours.Events) {
			t.byItem[item] = theirs
		}
	}
}

// Freeze records that parts were lost at this point. The texts so far remain valid, but
// later parts are only accepted if they restart a text, as a later part may continue a
// text of another run that happens to have the same length.
func (t *Texts) Freeze() {
	for _, text := range t.byItem {
		text.frozen = true
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

// Texts returns the texts of all items without a result. Their events are shared with the
// job and must not be modified.
func (j *Job) Texts() *Texts {
	texts := NewTexts()
	for i := range j.items {
		it := &j.items[i]
		if it.phase == ended || len(it.text) == 0 {
			continue
		}
		texts.byItem[j.Spec.Items[i].ID] = &Text{
			Events: slices.Clip(it.text), Versions: slices.Clip(it.eventVersions), Complete: it.phase == generated || it.phase == scoring,
		}
	}
	return texts
}

// EventCount returns the number of events of an item's text, or 0 if the item has a
// result.
func (j *Job) EventCount(i int) int64 {
	if j.items[i].phase == ended {
		return 0
	}
	return j.items[i].lastEvent
}

// ResumeTexts makes waiting items continue from stored texts, and returns the number of
// resumed items and events. It ignores texts that the job may not use, either because
// their weights are too old or because they mix versions although the job requires a
// single one.
func (j *Job) ResumeTexts(texts *Texts) (items, events int) {
	for i := range j.items {
		text := texts.byItem[j.Spec.Items[i].ID]
		it := &j.items[i]
		if text == nil || it.phase != waiting || it.lastEvent >= int64(len(text.Events)) {
			continue
		}
		versions := distinct(text.Versions)
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
			j.finishText(i)
		}
	}
	return items, events
}

// distinct returns the distinct versions in order of appearance.
func distinct(versions []int64) []int64 {
	var seen []int64
	for _, v := range versions {
		if !slices.Contains(seen, v) {
			seen = append(seen, v)
		}
	}
	return seen
}

// acceptsVersions reports whether the job may use a text with these weight versions.
func (j *Job) acceptsVersions(versions []int64) bool {
	if j.Spec.SingleVersion && len(versions) > 1 {
		return false
	}
	return !slices.ContainsFunc(versions, func(v int64) bool { return v < j.Spec.MinVersion })
}
