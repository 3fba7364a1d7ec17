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

// ActionRelease is the action that releases a request from quarantine.
const ActionRelease = "release"

const (
	// refusedSlots is the number of keys over which the refused changes of a
	// deployment are spread.
	refusedSlots = 4
	// maxStoredGroups limits the groups of a slot, of known operators and of unknown
	// callers each: a flood of wrong keys must not displace what operators tried.
	maxStoredGroups = 100
	// maxMarks limits the writers whose last batch a slot records.
	maxMarks = 256
	// groupGap is the pause after which a like change starts a new group.
	groupGap = time.Hour
	// maxTextBytes limits each text that a caller provides.
	maxTextBytes = 80
)

// RefusedChanges is a group of like changes that were refused or whose outcome is
// unknown: they share operator, host, action, outcome and reason.
type RefusedChanges struct {
	Operator string `json:"operator"` // empty: the key is no operator's
	Host     string `json:"host"`     // network address without the port, which differs with each call
	Action   string `json:"action"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`

	ChangeID  string `json:"change_id"`    // of the last change
	Revision  int64  `json:"revision"`     // in force at the last change
	UnixMilli int64  `json:"unix_ms"`      // time of the first change
	LastMilli int64  `json:"last_unix_ms"` // time of the last change
	Count     int64  `json:"count"`
}

// matches reports whether two groups differ only in times, counts and the details of
// the last change.
func (r RefusedChanges) matches(o RefusedChanges) bool {
	return r.Operator == o.Operator && r.Host == o.Host && r.Action == o.Action &&
		r.Outcome == o.Outcome && r.Reason == o.Reason
}

// join returns the group that two like groups form together.
func (r RefusedChanges) join(o RefusedChanges) RefusedChanges {
	r.Count += o.Count
	r.UnixMilli = min(r.UnixMilli, o.UnixMilli)
	if o.LastMilli >= r.LastMilli {
		r.LastMilli, r.ChangeID, r.Revision = o.LastMilli, o.ChangeID, o.Revision
	}
	return r
}

// sanitized returns the group with the texts of the caller limited in length and
// made valid UTF-8.
func (r RefusedChanges) sanitized() RefusedChanges {
	for _, text := range []*string{&r.Operator, &r.Host, &r.Reason, &r.ChangeID} {
		if len(*text) > maxTextBytes {
			*text = (*text)[:maxTextBytes]
		}
		*text = strings.ToValidUTF8(*text, "?")
	}
	return r
}

// RefusedRecord is the stored record of one of the keys that hold a deployment's
// refused changes.
type RefusedRecord struct {
	Groups  []RefusedChanges `json:"groups"`  // ordered by last growth, the newest last
	Dropped int64            `json:"dropped"` // changes whose groups were dropped
	Marks   []BatchMark      `json:"marks"`   // oldest first
}

// BatchMark is the last batch that a writer has added to the record. It tells a
// writer whose answer was lost whether its batch was added.
type BatchMark struct {
	Writer string `json:"writer"`
	Batch  int64  `json:"batch"`
}

// RefusedPrefix returns the prefix of the keys that hold refused changes.
func RefusedPrefix(deployment string) string {
	return "refused/" + deployment + "/"
}

func refusedKey(deployment, writer string) string {
	return fmt.Sprint(RefusedPrefix(deployment), rendezvous.Key(writer)%refusedSlots)
}

// DecodeRefused decodes a stored record. Without bytes it returns an empty one.
func DecodeRefused(b []byte) (RefusedRecord, error) {
	var r RefusedRecord
	if len(b) == 0 {
		return r, nil
	}
	return r, errors.Wrap(json.Unmarshal(b, &r), "config: decode refused changes")
}

// Total returns how many changes the record lists or counts as dropped.
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

// hasBatch reports whether a writer's batch is in the record.
func (r RefusedRecord) hasBatch(writer string, batch int64) bool {
	return slices.ContainsFunc(r.Marks, func(m BatchMark) bool { return m.Writer == writer && m.Batch >= batch })
}

// withBatch returns the record with a writer's batch added.
func (r RefusedRecord) withBatch(writer string, batch int64, groups []RefusedChanges, dropped int64) RefusedRecord {
	r.Groups, r.Marks = slices.Clone(r.Groups), slices.Clone(r.Marks)
	for _, g := range groups {
		r.Groups, _ = addGroup(r.Groups, g, 0)
	}
	r.Dropped += dropped
	r.trim(func(g RefusedChanges) bool { return g.Operator == "" })
	r.trim(func(g RefusedChanges) bool { return g.Operator != "" })
	r.Marks = slices.DeleteFunc(r.Marks, func(m BatchMark) bool { return m.Writer == writer })
	r.Marks = append(r.Marks, BatchMark{Writer: writer, Batch: batch})
	r.Marks = r.Marks[max(0, len(r.Marks)-maxMarks):]
	return r
}

// trim drops the oldest groups of a kind that exceed the limit.
func (r *RefusedRecord) trim(kind func(RefusedChanges) bool) {
	surplus := countGroups(r.Groups, kind) - maxStoredGroups
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

// addGroup joins a group to a like one or appends it, and reports whether it did.
// With a limit above 0, it does not append a group of unknown callers, or of known
// operators, once there are limit groups of that kind.
func addGroup(groups []RefusedChanges, g RefusedChanges, limit int) ([]RefusedChanges, bool) {
	for i := len(groups) - 1; i >= 0; i-- {
		old := groups[i]
		if old.matches(g) && g.UnixMilli-old.LastMilli < groupGap.Milliseconds() {
			return append(slices.Delete(groups, i, i+1), old.join(g)), true
		}
	}
	unknown := g.Operator == ""
	sameKind := func(o RefusedChanges) bool { return (o.Operator == "") == unknown }
	if limit > 0 && countGroups(groups, sameKind) >= limit {
		return groups, false
	}
	return append(groups, g), true
}
