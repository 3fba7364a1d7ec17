// Package config decides how a deployment's accepted configuration changes and
// how changes reach every process.
//
// The configuration is one record in the key-value service, changed by
// compare-and-swap: its revision, the declarations and the newest part of the
// audit trail. A change and its audit entry are one write, so neither can exist
// without the other. Attempt takes one operator's change through that write.
// Follower decides what a process has to fetch and whether its revision is
// current. RefusedLog records the changes that were refused.
package config

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/decl"
)

// Limits of the audit trail.
const (
	// MaxTrailEntries is the number of audit entries at which the older half of the
	// record's trail is moved to an archive, a key of its own.
	MaxTrailEntries = 64
	// maxTrailBytes is the size of the entries at which that happens earlier.
	maxTrailBytes = 256 << 10
	// MaxArchives is the number of archives that are retained; older ones are deleted.
	MaxArchives = 100
)

// Audit is the audit entry of one accepted change.
type Audit struct {
	Revision  int64         `json:"revision"`
	UnixMilli int64         `json:"unix_ms"`
	Operator  string        `json:"operator"`
	From      string        `json:"from"` // network address of the operator's client
	ChangeID  string        `json:"change_id"`
	Action    string        `json:"action"`
	Changes   []decl.Change `json:"changes"`
	Outcome   string        `json:"outcome"`
}

// Actions of audit entries.
const (
	ActionApply   = "apply"
	ActionDrain   = "drain"
	ActionUndrain = "undrain"
)

// OutcomeAccepted is the outcome of every audit entry in the record.
const OutcomeAccepted = "accepted"

// Record is a deployment's accepted configuration.
type Record struct {
	Revision   int64           `json:"revision"` // 0: no configuration has been accepted yet
	Deployment decl.Deployment `json:"deployment"`
	Trail      []Audit         `json:"trail"` // oldest first; the last entry belongs to Revision
}

// Key returns the key of a deployment's record.
func Key(deployment string) string {
	return "config/" + deployment
}

// ArchivePrefix returns the prefix of the keys that hold older audit entries.
func ArchivePrefix(deployment string) string {
	return "audit/" + deployment + "/"
}

// ArchiveKey returns the key of the archive whose first entry belongs to a
// revision.
func ArchiveKey(deployment string, first int64) string {
	return fmt.Sprintf("%s%016d", ArchivePrefix(deployment), first)
}

// Encode returns the stored form of the record.
func (r Record) Encode() []byte {
	return encode(r)
}

// EncodeArchive returns the stored form of audit entries.
func EncodeArchive(entries []Audit) []byte {
	return encode(entries)
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: structs of strings and finite numbers always encode
	}
	return b
}

// DecodeRecord decodes a stored record. Without bytes it returns the zero record,
// which stands for an absent one.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if len(b) == 0 {
		return r, nil
	}
	return r, errors.Wrap(json.Unmarshal(b, &r), "config: decode record")
}

// DecodeArchive decodes stored audit entries.
func DecodeArchive(b []byte) ([]Audit, error) {
	var entries []Audit
	if len(b) == 0 {
		return nil, nil
	}
	return entries, errors.Wrap(json.Unmarshal(b, &entries), "config: decode archive")
}

// revisionOf returns the revision as which a change was accepted, and whether the trail
// has the change.
func (r Record) revisionOf(changeID string) (int64, bool) {
	for _, a := range r.Trail {
		if a.ChangeID == changeID {
			return a.Revision, true
		}
	}
	return 0, false
}

// covers reports whether the trail holds every change after a revision.
func (r Record) covers(revision int64) bool {
	return revision >= r.Revision || len(r.Trail) > 0 && r.Trail[0].Revision <= revision+1
}

// Since returns the changes accepted after a revision, as far as the trail goes
// back.
func (r Record) Since(revision int64) []decl.Change {
	var changes []decl.Change
	for _, a := range r.Trail {
		if a.Revision > revision {
			changes = append(changes, a.Changes...)
		}
	}
	return changes
}

// surplus returns the older half of a trail that exceeds its limits, or nil.
func (r Record) surplus() []Audit {
	if len(r.Trail) < 2 || len(r.Trail) < MaxTrailEntries && len(encode(r.Trail)) < maxTrailBytes {
		return nil
	}
	return r.Trail[:len(r.Trail)/2]
}
