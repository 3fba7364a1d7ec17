package handover

import (
	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// ErrSuperseded is returned to a trainer whose feed a restarted run of it has taken over.
var ErrSuperseded = errors.New("handover: another run of this trainer has taken over")

// ErrTooOld is returned to a trainer that resumes from a state older than the feed keeps.
var ErrTooOld = errors.New("handover: the trainer's state is older than the feed keeps")

// Position is the state of a trainer's client. The trainer stores it with its checkpoint
// and resumes from it after a restart.
type Position struct {
	Cursor     int64
	Token      string
	Unrecorded []HeldLot
}

// Client implements the trainer's side of the hand-over.
type Client struct {
	position Position
	opening  bool  // the next pull opens a session
	maxLag   int64 // staleness bound in versions
}

// NewClient returns the client of a trainer that starts from a position. The trainer
// accepts samples that are at most maxLag versions old.
func NewClient(position Position, maxLag int64) *Client {
	return &Client{position: position, opening: true, maxLag: maxLag}
}

// Position returns a copy of the current position.
func (c *Client) Position() Position {
	position := c.position
	position.Unrecorded = append([]HeldLot(nil), position.Unrecorded...)
	return position
}

// Pull returns the next pull of a trainer whose weights have the given version.
func (c *Client) Pull(version int64) Pull {
	return Pull{
		Cursor:     c.position.Cursor,
		Version:    version,
		Token:      c.position.Token,
		Restarted:  c.opening,
		Unrecorded: append([]HeldLot(nil), c.position.Unrecorded...),
	}
}

// HandleAnswer processes an answer and returns its samples, which the trainer then holds.
// It accepts only the first answer for a cursor and returns nil for others. Another answer,
// to an earlier pull or from a paused owner, may contain other samples, and the next pull
// reports only the accepted ones. It also rejects an answer whose samples have become too
// old in transit.
func (c *Client) HandleAnswer(a Answer, version int64) []sample.Sample {
	if !c.opening && !sameSession(a.Token, c.position.Token) {
		return nil
	}
	lot := len(a.Samples) > 0
	if lot && (a.Cursor != c.position.Cursor+1 || !c.isFresh(a.Samples, version)) {
		return nil
	}
	if !lot && a.Cursor != c.position.Cursor {
		return nil
	}
	c.opening = false
	c.position.Token = a.Token
	c.dropRecorded(a.Recorded)
	if !lot {
		return nil
	}
	c.position.Cursor = a.Cursor
	c.position.Unrecorded = append(c.position.Unrecorded, HeldLot{Cursor: a.Cursor, IDs: idsOf(a.Samples)})
	return a.Samples
}

// isFresh reports whether no sample is more than maxLag versions behind version.
func (c *Client) isFresh(samples []sample.Sample, version int64) bool {
	for _, s := range samples {
		if version-s.OldestVersion() > c.maxLag {
			return false
		}
	}
	return true
}

// dropRecorded removes the lots up to the recorded cursor from the position.
func (c *Client) dropRecorded(recorded int64) {
	for len(c.position.Unrecorded) > 0 && c.position.Unrecorded[0].Cursor <= recorded {
		c.position.Unrecorded = c.position.Unrecorded[1:]
	}
}

// HandleRefusal processes a refusal of the latest pull. If it returns nil, the trainer should
// pull again.
func (c *Client) HandleRefusal(reason Refusal) error {
	switch reason {
	case Superseded:
		if token, ok := parseToken(c.position.Token); ok && token.Recorded && !c.opening {
			return ErrSuperseded
		}
		// The session was opened by a process that had already lost the feed, and nothing
		// was recorded in it. The next pull opens another session.
		c.opening = true
		return nil
	case TooOld:
		return ErrTooOld
	case BadToken, Inconsistent:
		return errors.Errorf("handover: pull refused: %s", reason)
	default:
		return nil
	}
}
