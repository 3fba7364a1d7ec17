// Package sample names the samples of a trainer feed. An id follows from the
// feed's shape alone, so that a second run of the same sample is the same
// sample whoever starts it.
package sample

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/wire"
)

// ErrInvalidName is returned for a name that is not a sample's.
var ErrInvalidName = errors.New("sample: not a sample's name")

// ID is a sample of one feed.
type ID struct {
	Step  int64
	Group int64
	Index int32 // within the group
}

// Name returns the id as trainers see it: deployment/feed/step/group/index.
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

// Parse reads a name of the given feed; the error is ErrName.
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

// Shape is how many samples a step has. Spare samples are run beyond Size so
// that a group need not wait for its longest; Size of them are handed over.
type Shape struct {
	Groups int `json:"groups"`
	Size   int `json:"size"`
	Spare  int `json:"spare,omitempty"`
}

// PerGroup returns the samples run for a group, spare ones included.
func (s Shape) PerGroup() int { return s.Size + s.Spare }

// Slots returns the samples run for a step, spare ones included.
func (s Shape) Slots() int { return s.Groups * s.PerGroup() }

// Needed returns the samples handed over for a step.
func (s Shape) Needed() int { return s.Groups * s.Size }

// Slot returns the place of id within its step, or -1 if the shape has none.
func (s Shape) Slot(id ID) int {
	if id.Group < 0 || id.Group >= int64(s.Groups) || id.Index < 0 || int(id.Index) >= s.PerGroup() {
		return -1
	}
	return int(id.Group)*s.PerGroup() + int(id.Index)
}

// IDAt returns the sample at a slot of a step.
func (s Shape) IDAt(step int64, slot int) ID {
	return ID{Step: step, Group: int64(slot / s.PerGroup()), Index: int32(slot % s.PerGroup())}
}

// Sample is one complete, scored sample, or the word that it cannot be made.
type Sample struct {
	ID           ID
	Prompt       string
	Text         string
	Segments     []wire.Segment // in order, without gaps, from token 0
	Score        float64
	FirstTokenAt time.Time // when its first token was generated
	Failed       string    // why it cannot be made; it has no text then. Empty: it is whole
}

// OldestVersion returns the lowest weight version that produced a token. Nothing
// of a sample that cannot be made is old.
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

// Limits is how old a sample may be when a trainer takes it.
type Limits struct {
	MaxVersionLag int64         // behind the trainer's own version
	MaxAge        time.Duration // since its first token; 0: no limit
}

// Fresh tells whether a trainer at version may take s at now.
func (l Limits) Fresh(s Sample, version int64, now time.Time) bool {
	if version-s.OldestVersion() > l.MaxVersionLag {
		return false
	}
	if s.Failed != "" {
		return true
	}
	return l.MaxAge == 0 || now.Sub(s.FirstTokenAt) <= l.MaxAge
}
