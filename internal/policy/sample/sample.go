// Package sample defines the samples of a trainer feed and their IDs. An ID is
// derived from the feed's shape alone, so that a sample which is generated a
// second time keeps its ID whichever process starts it.
package sample

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/wire"
)

// ErrInvalidName is returned by Parse for a string that is not a sample name of
// the given feed.
var ErrInvalidName = errors.New("sample: invalid sample name")

// ID identifies a sample within one feed.
type ID struct {
	Step  int64
	Group int64
	Index int32 // within the group
}

// Name returns the sample name that trainers see:
// deployment/feed/step/group/index.
func (id ID) Name(deployment, feed string) string {
	var b strings.Builder
	b.WriteString(deployment)
	b.WriteByte('/')
	b.WriteString(feed)
	for _, part := range [...]int64{id.Step, id.Group, int64(id.Index)} {
		b.WriteByte('/')
		b.WriteString(strconv.FormatInt(part, 10))
	}
	return b.String()
}

// Parse parses a sample name of the given feed. It returns ErrInvalidName for any
// other string.
func Parse(name, deployment, feed string) (ID, error) {
	rest, found := strings.CutPrefix(name, deployment+"/"+feed+"/")
	parts := strings.Split(rest, "/")
	if !found || len(parts) != 3 {
		return ID{}, errors.Wrap(ErrInvalidName, name)
	}
	step, errStep := strconv.ParseInt(parts[0], 10, 64)
	group, errGroup := strconv.ParseInt(parts[1], 10, 64)
	index, errIndex := strconv.ParseInt(parts[2], 10, 32)
	if errStep != nil || errGroup != nil || errIndex != nil {
		return ID{}, errors.Wrap(ErrInvalidName, name)
	}
	return ID{Step: step, Group: group, Index: int32(index)}, nil
}

// Shape is the number of samples in a step. Each group generates Spare samples in
// addition to Size, so that it does not have to wait for its longest sample; Size
// samples of a group are handed over to the trainer.
type Shape struct {
	Groups int `json:"groups"`
	Size   int `json:"size"`
	Spare  int `json:"spare,omitempty"`
}

// PerGroup returns the number of samples generated for a group, spare samples
// included.
func (s Shape) PerGroup() int { return s.Size + s.Spare }

// Slots returns the number of samples generated for a step, spare samples
// included.
func (s Shape) Slots() int { return s.Groups * s.PerGroup() }

// Needed returns the number of samples handed over for a step.
func (s Shape) Needed() int { return s.Groups * s.Size }

// Slot returns the index of id within its step, or -1 if id is outside the shape.
func (s Shape) Slot(id ID) int {
	if id.Group < 0 || id.Group >= int64(s.Groups) || id.Index < 0 || int(id.Index) >= s.PerGroup() {
		return -1
	}
	return int(id.Group)*s.PerGroup() + int(id.Index)
}

// IDAt returns the ID of the sample at a slot of a step.
func (s Shape) IDAt(step int64, slot int) ID {
	return ID{Step: step, Group: int64(slot / s.PerGroup()), Index: int32(slot % s.PerGroup())}
}

// Sample is a complete, scored sample, or the report that the sample cannot be
// generated.
type Sample struct {
	ID           ID
	Prompt       string
	Text         string
	Segments     []wire.Segment // in order, without gaps, from token 0
	Score        float64
	FirstTokenAt time.Time
	Failed       string // why the sample cannot be generated, in which case Text is empty; empty if the sample is complete
}

// OldestVersion returns the lowest weight version that generated a token. It
// returns math.MaxInt64 for a sample that cannot be generated, which never counts
// as stale.
func (s Sample) OldestVersion() int64 {
	if s.Failed != "" {
		return math.MaxInt64
	}
	var oldest int64
	for i, segment := range s.Segments {
		if i == 0 || segment.Version < oldest {
			oldest = segment.Version
		}
	}
	return oldest
}

// Limits bounds the staleness of a sample at the time a trainer takes it.
type Limits struct {
	MaxVersionLag int64         // weight versions behind the trainer's version
	MaxAge        time.Duration // since the first token; 0 means no limit
}

// Fresh reports whether a trainer whose weights are at version may take s at now.
func (l Limits) Fresh(s Sample, version int64, now time.Time) bool {
	if version-s.OldestVersion() > l.MaxVersionLag {
		return false
	}
	if s.Failed != "" {
		return true
	}
	return l.MaxAge == 0 || now.Sub(s.FirstTokenAt) <= l.MaxAge
}
