package handover

import (
	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// ErrSuperseded is returned to a trainer whose restart has taken over its feed.
var ErrSuperseded = errors.New("handover: another run of this trainer has taken over")

// ErrTooOld is returned to a trainer that went back further than is kept.
var ErrTooOld = errors.New("handover: the trainer's state is older than the feed keeps")

// Position is what a trainer keeps with its own state, and what it goes on from
// after a restart.
type Position struct {
	Cursor     int64
	Token      string
	Unrecorded []HeldLot
}

// Client is the trainer's side of the hand-over.
type Client struct {
	at       Position
	opening  bool // no answer since the start
	versions int64
}

// NewClient returns the client of a trainer that starts at a position. versions
// is the staleness bound that the trainer accepts.
func NewClient(at Position, versions int64) *Client {
	return &Client{at: at, opening: true, versions: versions}
}

// Position returns what to keep.
func (c *Client) Position() Position {
	at := c.at
	at.Unrecorded = append([]HeldLot(nil), at.Unrecorded...)
	return at
}

// Pull returns the next pull of a trainer at version.
func (c *Client) Pull(version int64) Pull {
	return Pull{
		Cursor:     c.at.Cursor,
		Version:    version,
		Token:      c.at.Token,
		Restarted:  c.opening,
		Unrecorded: append([]HeldLot(nil), c.at.Unrecorded...),
	}
}

// HandleAnswer settles an answer and returns the samples that the trainer now holds. It
// takes one answer for a cursor, whichever comes first: another one, of an
// earlier pull or of a paused owner, may hold other samples, and only the one
// taken is told with the next pull. An answer that became too old on its way is
// not taken either.
func (c *Client) HandleAnswer(a Answer, version int64) []sample.Sample {
	if !c.opening && !sameSession(a.Token, c.at.Token) {
		return nil
	}
	lot := len(a.Samples) > 0
	if lot && (a.Cursor != c.at.Cursor+1 || !c.fresh(a.Samples, version)) {
		return nil
	}
	if !lot && a.Cursor != c.at.Cursor {
		return nil
	}
	c.opening = false
	c.at.Token = a.Token
	c.forget(a.Recorded)
	if !lot {
		return nil
	}
	c.at.Cursor = a.Cursor
	c.at.Unrecorded = append(c.at.Unrecorded, HeldLot{Cursor: a.Cursor, IDs: idsOf(a.Samples)})
	return a.Samples
}

func (c *Client) fresh(samples []sample.Sample, version int64) bool {
	for _, s := range samples {
		if version-s.OldestVersion() > c.versions {
			return false
		}
	}
	return true
}

func (c *Client) forget(recorded int64) {
	for len(c.at.Unrecorded) > 0 && c.at.Unrecorded[0].Cursor <= recorded {
		c.at.Unrecorded = c.at.Unrecorded[1:]
	}
}

// HandleRefusal settles a refusal of the newest pull. Nil: pull again.
func (c *Client) HandleRefusal(reason Refusal) error {
	switch reason {
	case Superseded:
		if token, ok := parseToken(c.at.Token); ok && token.Recorded && !c.opening {
			return ErrSuperseded
		}
		// The session was opened by an owner that was no longer the owner, and
		// nothing was recorded in it: open another.
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
