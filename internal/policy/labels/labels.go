// Package labels determines which weight version generated each token of a
// sample. It relies only on the versions that the engine reports with the tokens.
// A sample with a token that cannot be attributed to a version is rejected with
// the reason; the caller then generates it again under the same ID.
package labels

import (
	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/wire"
)

// Errors that reject a sample.
var (
	ErrGap          = errors.New("labels: tokens are missing")
	ErrConflict     = errors.New("labels: two reports of a token differ")
	ErrUnattributed = errors.New("labels: a token has no version")
	ErrForeignCache = errors.New("labels: the version of an imported KV cache is unknown or generated no token")
	ErrEmpty        = errors.New("labels: no tokens")
)

// Builder builds the segments of one sample from the reads of its streams.
// The zero value is ready for use. After an error, every call that can fail
// returns that error.
type Builder struct {
	segments     []wire.Segment // without gaps; adjacent segments differ in version
	streamStart  int            // sample index of the current stream's first token
	nextToken    int            // sample index of the first token not yet read
	cacheVersion int64          // version of an imported KV cache that no token has followed yet; 0 if none
	firstErr     error
}

// Add adds the tokens of one read of the current stream. Tokens that were read
// before are checked against the versions that the first read reported.
func (b *Builder) Add(r wire.ReadReply) error {
	if b.firstErr != nil {
		return b.firstErr
	}
	if len(r.Versions) != len(r.Tokens) {
		return b.fail(ErrUnattributed)
	}
	start := b.streamStart + r.Offset
	if start > b.nextToken || r.Offset < 0 {
		return b.fail(ErrGap)
	}
	for i, version := range r.Versions {
		if err := b.addToken(start+i, version); err != nil {
			return b.fail(err)
		}
	}
	return nil
}

func (b *Builder) addToken(index int, version int64) error {
	if version <= 0 {
		return ErrUnattributed
	}
	if index < b.nextToken {
		if b.versionAt(index) != version {
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
		b.segments = append(b.segments, wire.Segment{Version: version, From: index, To: index + 1})
	}
	b.nextToken++
	return nil
}

// checkCache validates an imported KV cache when the first token after it
// arrives. A cache that another version computed influences every later token
// without appearing in a segment, so the sample would look fresher than it is. If
// a segment has the cache's version, the sample's oldest version is still correct.
func (b *Builder) checkCache(version int64) error {
	cacheVersion := b.cacheVersion
	b.cacheVersion = 0
	if cacheVersion == 0 || cacheVersion == version {
		return nil
	}
	for _, segment := range b.segments {
		if segment.Version == cacheVersion {
			return nil
		}
	}
	return ErrForeignCache
}

func (b *Builder) versionAt(index int) int64 {
	for _, segment := range b.segments {
		if index >= segment.From && index < segment.To {
			return segment.Version
		}
	}
	return 0
}

// Resume starts a new stream that continues after the given number of tokens. Later
// tokens belong to the abandoned stream and are dropped.
func (b *Builder) Resume(tokens int) error {
	if b.firstErr != nil {
		return b.firstErr
	}
	if tokens < 0 || tokens > b.nextToken {
		return b.fail(ErrGap)
	}
	b.streamStart = tokens
	b.nextToken = tokens
	b.truncate(tokens)
	return nil
}

func (b *Builder) truncate(tokens int) {
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

// Import records that the current stream continues from a KV cache that an engine
// exported while it served version. A version of 0 means that the engine did not
// report one, which is an error.
func (b *Builder) Import(version int64) error {
	if b.firstErr != nil {
		return b.firstErr
	}
	if version <= 0 {
		return b.fail(ErrForeignCache)
	}
	b.cacheVersion = version
	return nil
}

// Tokens returns the number of tokens read.
func (b *Builder) Tokens() int { return b.nextToken }

// Segments returns the segments built so far, or nil after an error.
func (b *Builder) Segments() []wire.Segment {
	if b.firstErr != nil {
		return nil
	}
	return append([]wire.Segment(nil), b.segments...)
}

// Finish returns the segments of a complete sample with the given number of tokens.
// It checks them against reported, the segments in the engine's final response, if it
// contained any; these cover the last stream and count from its first token.
func (b *Builder) Finish(tokens int, reported []wire.Segment) ([]wire.Segment, error) {
	if b.firstErr != nil {
		return nil, b.firstErr
	}
	switch {
	case tokens == 0:
		return nil, b.fail(ErrEmpty)
	case tokens != b.nextToken:
		return nil, b.fail(ErrGap)
	}
	for _, segment := range reported {
		if !b.matches(segment) {
			return nil, b.fail(ErrConflict)
		}
	}
	return b.Segments(), nil
}

func (b *Builder) matches(reported wire.Segment) bool {
	from, to := reported.From+b.streamStart, reported.To+b.streamStart
	if from < b.streamStart || to > b.nextToken {
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
	b.firstErr = err
	b.segments = nil
	return err
}
