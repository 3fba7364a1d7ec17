// Package payload holds the body of a request in segments, so that a long one is received without
// being copied into ever larger buffers.
package payload

import (
	"bytes"
	"io"
	"slices"
)

// Body is a request's body. It is not changed once it is complete. The zero value is empty.
type Body struct {
	segments [][]byte
	length   int
}

// Of returns a body of one segment.
func Of(b []byte) Body {
	var body Body
	body.Append(b)
	return body
}

// Append adds a segment, which must not be changed afterwards.
func (b *Body) Append(segment []byte) {
	if len(segment) == 0 {
		return
	}
	b.segments = append(b.segments, segment)
	b.length += len(segment)
}

// Len returns the length in bytes.
func (b Body) Len() int { return b.length }

// Segments returns the segments in order. They must not be changed.
func (b Body) Segments() [][]byte { return b.segments }

// Reader returns a reader of the whole body.
func (b Body) Reader() io.Reader {
	readers := make([]io.Reader, len(b.segments))
	for i, segment := range b.segments {
		readers[i] = bytes.NewReader(segment)
	}
	return io.MultiReader(readers...)
}

// Bytes returns the whole body, which is a copy if there is more than one segment.
func (b Body) Bytes() []byte {
	if len(b.segments) == 1 {
		return b.segments[0]
	}
	return slices.Concat(b.segments...)
}
