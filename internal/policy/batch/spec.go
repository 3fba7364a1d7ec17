// Package batch implements the state machine of a batch job: which item starts
// next, whether an interrupted run is resumed or restarted, when an item is
// aborted, and in which order results are listed. It performs no I/O and reads no
// clock: callers report what happened and ask for decisions.
package batch

import (
	"time"

	"github.com/pkg/errors"
)

// Spec is a batch job as it was submitted. It does not change.
type Spec struct {
	ID            string
	Customer      string // on whose behalf it was submitted; empty if there is none
	Host          string // of the route on which it was submitted
	Step          int64
	Model         string
	MinVersion    int64 // oldest weight version that may generate a token
	SingleVersion bool  // all tokens of an item must come from the same version
	WantGroups    int   // number of groups that the trainer waits for; 0 if it does not use groups
	MaxAttempts   int   // failed runs after which an item is aborted
	Priority      int   // of the route; 0 is the highest
	Submitted     time.Time
	Due           time.Time // when the results are due
	Expires       time.Time // when unfinished items are aborted; zero for never
	Items         []Item
}

// Item is one sample to generate.
type Item struct {
	ID         string
	Path       string
	Header     [][2]string // forwarded to the engine
	Body       []byte
	Group      string
	LengthHint int     // estimated number of output tokens; 0 if unknown
	MaxTokens  int     // limit of output tokens; 0 if unknown
	Scorer     *Scorer // nil if the text is not scored
}

// Scorer is the request that scores a complete text.
type Scorer struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// State is the state of a result.
type State int

// The states of results.
const (
	Completed State = iota
	Aborted
)

// Result is the final result of an item.
type Result struct {
	Item     string
	State    State
	Output   []byte // data of all events, separated by line feeds
	Versions []int64
	Score    string
}

// Errors of Spec.Check.
var (
	ErrNoItems   = errors.New("batch: a job needs items")
	ErrDuplicate = errors.New("batch: two items have one id")
	ErrNoID      = errors.New("batch: an item has no id")
)

// itemBytes is what an item takes beside its bytes, with the state of its run.
const itemBytes = 500

// Size returns about how many bytes a process holds of a job that it owns.
func (s *Spec) Size() int64 {
	size := int64(0)
	for i := range s.Items {
		item := &s.Items[i]
		size += itemBytes + int64(len(item.ID)+len(item.Path)+len(item.Body)+len(item.Group))
		for _, pair := range item.Header {
			size += int64(len(pair[0]) + len(pair[1]))
		}
		if item.Scorer != nil {
			size += int64(len(item.Scorer.ID) + len(item.Scorer.Host) + len(item.Scorer.Path) + len(item.Scorer.Body))
		}
	}
	return size
}

// Check validates a submitted job.
func (s *Spec) Check() error {
	if len(s.Items) == 0 {
		return ErrNoItems
	}
	seen := make(map[string]bool, len(s.Items))
	for i, item := range s.Items {
		if item.ID == "" {
			return errors.Wrapf(ErrNoID, "items[%d]", i)
		}
		if seen[item.ID] {
			return errors.Wrapf(ErrDuplicate, "items[%d] %q", i, item.ID)
		}
		seen[item.ID] = true
	}
	return nil
}
