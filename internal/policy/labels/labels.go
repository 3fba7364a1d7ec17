// Package labels tells which weight version produced each token of a sample.
// It believes only what the engine reports with the tokens. A sample of which
// any token cannot be attributed is refused with the reason; it is then run
// again under the same id.
package labels

import (
	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/wire"
)

// Reasons why a sample has no labels.
var (
	ErrGap          = errors.New("labels: tokens are missing")
	ErrConflict     = errors.New("labels: two reports of a token differ")
	ErrUnattributed = errors.New("labels: a token has no version")
	ErrForeignCache = errors.New("labels: imported KV cache of an unknown or unlabelled version")
	ErrEmpty        = errors.New("labels: no tokens")
)

// Builder builds the segments of one sample from the reads of its streams.
// The zero value is ready. After an error every call returns that error.
type Builder struct {
	segments []wire.Segment // adjacent ones differ in version; no gaps
	base     int            // token at which the stream being read begins
	next     int            // first token not yet read
	cache    int64          // version of an imported KV cache not yet seen in a token
	failed   error
}

// Add takes the tokens of one read of the current stream. A repeated read is
// checked against what the first one said.
func (b *Builder) Add(r wire.ReadReply) error {
	if b.failed != nil {
		return b.failed
	}
	if len(r.Versions) != len(r.Tokens) {
		return b.fail(ErrUnattributed)
	}
	at := b.base + r.Offset
	if at > b.next || r.Offset < 0 {
		return b.fail(ErrGap)
	}
	for i, version := range r.Versions {
		if err := b.token(at+i, version); err != nil {
			return b.fail(err)
		}
	}
	return nil
}

func (b *Builder) token(at int, version int64) error {
	if version <= 0 {
		return ErrUnattributed
	}
	if at < b.next {
		if b.versionOf(at) != version {
			return ErrConflict
		}
		return nil
	}
	if err := b.checkCache(version); err != nil {
		return err
	}
	last := len(b.segments) - 1
	if last >= 0 && b.segments[last].Version == version {
		b.segments[last].To++
	} else {
		b.segments = append(b.segments, wire.Segment{Version: version, From: at, To: at + 1})
	}
	b.next++
	return nil
}

// checkCache settles an imported cache at the first token after it. A cache of
// prompt tokens computed by another version shapes every token after it without
// being in any segment: the sample would look fresher than it is. With a token
// of the cache's version in the segments the oldest version stays right.
func (b *Builder) checkCache(version int64) error {
	cache := b.cache
	b.cache = 0
	if cache == 0 || cache == version {
		return nil
	}
	for _, segment := range b.segments {
		if segment.Version == cache {
			return nil
		}
	}
	return ErrForeignCache
}

func (b *Builder) versionOf(at int) int64 {
	for _, segment := range b.segments {
		if at >= segment.From && at < segment.To {
			return segment.Version
		}
	}
	return 0
}

// Resume begins another stream that goes on after the first tokens tokens. What
// was read beyond them belongs to the stream given up and is dropped.
func (b *Builder) Resume(tokens int) error {
	if b.failed != nil {
		return b.failed
	}
	if tokens < 0 || tokens > b.next {
		return b.fail(ErrGap)
	}
	b.base = tokens
	b.next = tokens
	b.cut(tokens)
	return nil
}

func (b *Builder) cut(tokens int) {
	for i, segment := range b.segments {
		if segment.From >= tokens {
			b.segments = b.segments[:i]
			return
		}
		if segment.To > tokens {
			b.segments[i].To = tokens
		}
	}
}

// Import tells that the current stream goes on from a KV cache that an engine
// exported while it ran version; 0 if it did not say.
func (b *Builder) Import(version int64) error {
	if b.failed != nil {
		return b.failed
	}
	if version <= 0 {
		return b.fail(ErrForeignCache)
	}
	b.cache = version
	return nil
}

// Tokens returns how many tokens were read.
func (b *Builder) Tokens() int { return b.next }

// Segments returns the labels read so far; nil after an error.
func (b *Builder) Segments() []wire.Segment {
	if b.failed != nil {
		return nil
	}
	return append([]wire.Segment(nil), b.segments...)
}

// Finish returns the labels of the complete sample of tokens tokens. reported
// are the segments of the engine's own final answer, if it gave any; they are
// of the last stream and count from its beginning.
func (b *Builder) Finish(tokens int, reported []wire.Segment) ([]wire.Segment, error) {
	if b.failed != nil {
		return nil, b.failed
	}
	switch {
	case tokens == 0:
		return nil, b.fail(ErrEmpty)
	case tokens != b.next:
		return nil, b.fail(ErrGap)
	}
	for _, segment := range reported {
		if !b.agrees(segment) {
			return nil, b.fail(ErrConflict)
		}
	}
	return b.Segments(), nil
}

func (b *Builder) agrees(reported wire.Segment) bool {
	from, to := reported.From+b.base, reported.To+b.base
	if from < b.base || to > b.next {
		return false
	}
	for _, segment := range b.segments {
		overlaps := segment.From < to && segment.To > from
		if overlaps && segment.Version != reported.Version {
			return false
		}
	}
	return true
}

func (b *Builder) fail(err error) error {
	b.failed = err
	b.segments = nil
	return err
}
