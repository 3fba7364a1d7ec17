package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// Outcomes of changes that are not known to be accepted.
const (
	OutcomeRefused = "refused"
	OutcomeUnknown = "unknown"
)

// ActionRelease takes a request out of quarantine.
const ActionRelease = "release"

const (
	// refusedSlots is how many keys share the refused changes of a deployment.
	refusedSlots = 4
	// keptRefused bounds the groups of a slot, operators' and strangers' each: a
	// flood of wrong keys must not push out what operators tried.
	keptRefused = 100
	// keptMarks bounds the writers whose last batch a slot remembers.
	keptMarks = 256
	// groupSpan ends a group: what was tried later begins another.
	groupSpan = time.Hour
	// longestText is the longest text, in bytes, that is kept of a caller's.
	longestText = 80
)

// Refused is a group of like changes that were refused or whose outcome was
// unknown: one operator, host, action, outcome and reason.
type RefusedChanges struct {
	Operator string `json:"operator"` // empty: no operator has the key
	Host     string `json:"host"`     // network address without the port, which differs with each call
	Action   string `json:"action"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`

	ChangeID  string `json:"change_id"` // of the last one
	Revision  int64  `json:"revision"`  // in force at the last one
	UnixMilli int64  `json:"unix_ms"`   // of the first one
	LastMilli int64  `json:"last_unix_ms"`
	Count     int64  `json:"count"`
}

// like tells whether two groups differ only in when and how often.
func (r RefusedChanges) like(o RefusedChanges) bool {
	return r.Operator == o.Operator && r.Host == o.Host && r.Action == o.Action &&
		r.Outcome == o.Outcome && r.Reason == o.Reason
}

func (r RefusedChanges) join(o RefusedChanges) RefusedChanges {
	r.Count += o.Count
	r.UnixMilli = min(r.UnixMilli, o.UnixMilli)
	if o.LastMilli >= r.LastMilli {
		r.LastMilli, r.ChangeID, r.Revision = o.LastMilli, o.ChangeID, o.Revision
	}
	return r
}

// clean bounds what a caller can put into the group.
func (r RefusedChanges) clean() RefusedChanges {
	for _, text := range []*string{&r.Operator, &r.Host, &r.Reason, &r.ChangeID} {
		if len(*text) > longestText {
			*text = (*text)[:longestText]
		}
		*text = strings.ToValidUTF8(*text, "?")
	}
	return r
}

// RefusedRecord is what one key holds of a deployment's refused changes.
type RefusedRecord struct {
	Groups  []RefusedChanges `json:"groups"`  // the one that grew last is last
	Dropped int64            `json:"dropped"` // changes that no group tells of any more
	Marks   []BatchMark      `json:"marks"`   // the newest is last
}

// BatchMark is the last batch that a writer has put into the record. By it a
// writer whose answer was lost knows whether its batch is there.
type BatchMark struct {
	Writer string `json:"writer"`
	Batch  int64  `json:"batch"`
}

// RefusedPrefix returns the start of the keys that hold refused changes.
func RefusedPrefix(deployment string) string {
	return "refused/" + deployment + "/"
}

func refusedKey(deployment, writer string) string {
	return fmt.Sprint(RefusedPrefix(deployment), rendezvous.Key(writer)%refusedSlots)
}

// DecodeRefused reads a stored record; no bytes are an empty one.
func DecodeRefused(b []byte) (RefusedRecord, error) {
	var r RefusedRecord
	if len(b) == 0 {
		return r, nil
	}
	return r, errors.Wrap(json.Unmarshal(b, &r), "config: refused changes")
}

// Total is how many changes the record tells of or counts.
func (r RefusedRecord) Total() int64 {
	return r.Dropped + total(r.Groups)
}

func total(groups []RefusedChanges) int64 {
	n := int64(0)
	for _, g := range groups {
		n += g.Count
	}
	return n
}

// has tells whether a writer's batch is in the record.
func (r RefusedRecord) has(writer string, batch int64) bool {
	return slices.ContainsFunc(r.Marks, func(m BatchMark) bool { return m.Writer == writer && m.Batch >= batch })
}

// with returns the record with a writer's batch added.
func (r RefusedRecord) with(writer string, batch int64, groups []RefusedChanges, dropped int64) RefusedRecord {
	r.Groups, r.Marks = slices.Clone(r.Groups), slices.Clone(r.Marks)
	for _, g := range groups {
		r.Groups, _ = addGroup(r.Groups, g, 0)
	}
	r.Dropped += dropped
	r.trim(func(g RefusedChanges) bool { return g.Operator == "" })
	r.trim(func(g RefusedChanges) bool { return g.Operator != "" })
	r.Marks = slices.DeleteFunc(r.Marks, func(m BatchMark) bool { return m.Writer == writer })
	r.Marks = append(r.Marks, BatchMark{Writer: writer, Batch: batch})
	r.Marks = r.Marks[max(0, len(r.Marks)-keptMarks):]
	return r
}

// trim drops the oldest groups of a kind above their bound.
func (r *RefusedRecord) trim(kind func(RefusedChanges) bool) {
	surplus := countGroups(r.Groups, kind) - keptRefused
	r.Groups = slices.DeleteFunc(r.Groups, func(g RefusedChanges) bool {
		if surplus <= 0 || !kind(g) {
			return false
		}
		surplus--
		r.Dropped += g.Count
		return true
	})
}

func countGroups(groups []RefusedChanges, kind func(RefusedChanges) bool) int {
	n := 0
	for _, g := range groups {
		if kind(g) {
			n++
		}
	}
	return n
}

// addGroup joins a group to the like one or appends it. With a limit, one that
// would be more than so many of strangers, or of operators, is not added.
func addGroup(groups []RefusedChanges, g RefusedChanges, limit int) ([]RefusedChanges, bool) {
	for i := len(groups) - 1; i >= 0; i-- {
		old := groups[i]
		if old.like(g) && g.UnixMilli-old.LastMilli < groupSpan.Milliseconds() {
			return append(slices.Delete(groups, i, i+1), old.join(g)), true
		}
	}
	stranger := g.Operator == ""
	alike := func(o RefusedChanges) bool { return (o.Operator == "") == stranger }
	if limit > 0 && countGroups(groups, alike) >= limit {
		return groups, false
	}
	return append(groups, g), true
}
