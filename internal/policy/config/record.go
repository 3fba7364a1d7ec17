// Package config decides how a deployment's accepted configuration changes and
// spreads.
//
// The configuration is one record in the key-value service, changed by
// compare-and-swap: its revision, the declarations and the newest part of the
// audit trail. A change and its audit entry are one write, so neither can exist
// without the other. Attempt carries one operator's change through that write;
// Follower decides what one process has to fetch and whether it is current.
package config

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/decl"
)

// Limits of the audit trail.
const (
	// MaxTrail is how many audit entries the record holds before its older half
	// goes to a key of its own.
	MaxTrailEntries = 64
	// trailBytes is the size of the entries at which that happens earlier.
	trailBytes = 256 << 10
	// MaxArchives is how many such keys are kept; older ones are deleted.
	MaxArchives = 100
)

// Audit is one accepted change.
type Audit struct {
	Revision  int64         `json:"revision"`
	UnixMilli int64         `json:"unix_ms"`
	Operator  string        `json:"operator"`
	From      string        `json:"from"` // network address of the operator's end
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
	Revision   int64           `json:"revision"` // 0: none was accepted yet
	Deployment decl.Deployment `json:"deployment"`
	Trail      []Audit         `json:"trail"` // oldest first; the last is of Revision
}

// Key returns the key of a deployment's record.
func Key(deployment string) string {
	return "config/" + deployment
}

// ArchivePrefix returns the start of the keys that hold older audit entries.
func ArchivePrefix(deployment string) string {
	return "audit/" + deployment + "/"
}

// ArchiveKey returns the key for archived entries that begin with a revision.
func ArchiveKey(deployment string, first int64) string {
	return fmt.Sprintf("%s%016d", ArchivePrefix(deployment), first)
}

// Encode returns the record as it is stored.
func (r Record) Encode() []byte {
	return encode(r)
}

// EncodeArchive returns audit entries as they are stored.
func EncodeArchive(entries []Audit) []byte {
	return encode(entries)
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // structs of strings and finite numbers always encode
	}
	return b
}

// DecodeRecord reads a stored record; no bytes are an absent record.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if len(b) == 0 {
		return r, nil
	}
	return r, errors.Wrap(json.Unmarshal(b, &r), "config: record")
}

// DecodeArchive reads stored audit entries.
func DecodeArchive(b []byte) ([]Audit, error) {
	var entries []Audit
	if len(b) == 0 {
		return nil, nil
	}
	return entries, errors.Wrap(json.Unmarshal(b, &entries), "config: archive")
}

// find returns the revision that a change was accepted as.
func (r Record) find(changeID string) (int64, bool) {
	for _, a := range r.Trail {
		if a.ChangeID == changeID {
			return a.Revision, true
		}
	}
	return 0, false
}

// covers tells whether the trail holds every change after a revision.
func (r Record) covers(revision int64) bool {
	return revision >= r.Revision || len(r.Trail) > 0 && r.Trail[0].Revision <= revision+1
}

// Since lists the changes accepted after a revision, as far as the trail goes
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

// surplus returns the older half of a trail that has outgrown its limits.
func (r Record) surplus() []Audit {
	if len(r.Trail) < 2 || len(r.Trail) < MaxTrailEntries && len(encode(r.Trail)) < trailBytes {
		return nil
	}
	return r.Trail[:len(r.Trail)/2]
}
