// Package batch decides the course of a batch job: which item starts next,
// whether a broken run is resumed or begun anew, when an item is given up, and
// in which order results are listed. Messages go in and decisions come out;
// there is no input, output or clock.
package batch

import (
	"time"

	"github.com/pkg/errors"
)

// Spec is a batch job as it was submitted. It does not change.
type Spec struct {
	ID            string
	Customer      string // on whose behalf; empty: nobody's
	Host          string // of the route that it came by
	Step          int64
	Model         string
	MinVersion    int64 // oldest weight version that may generate a token
	SingleVersion bool  // one version for an item's whole text
	WantGroups    int   // groups that its trainer waits for; 0: no groups
	MaxAttempts   int
	Priority      int // of the route, 0 is the highest
	Submitted     time.Time
	Due           time.Time // results are due
	Expires       time.Time // items may be given up
	Items         []Item
}

// Item is one sample to be generated.
type Item struct {
	ID         string
	Path       string
	Header     [][2]string // passed on to the engine
	Body       []byte
	Group      string
	LengthHint int // estimated output tokens; 0: unknown
	MaxTokens  int // most output tokens that may come; 0: unknown
	Scorer     *Scorer
}

// Scorer is the request that scores a finished text.
type Scorer struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// State of a result.
type State int

// The states of results.
const (
	Completed State = iota
	Aborted
)

// Result is an item's listed outcome.
type Result struct {
	Item     string
	State    State
	Output   []byte // data of all events, separated by line feeds
	Versions []int64
	Score    string
}

// Errors of a submission.
var (
	ErrNoItems   = errors.New("batch: a job needs items")
	ErrDuplicate = errors.New("batch: two items have one id")
	ErrNoID      = errors.New("batch: an item has no id")
)

// Check returns what is wrong with a submitted job.
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
