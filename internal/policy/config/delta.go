package config

import "slices"

// Limits of the deltas that a process keeps for its peers.
const (
	maxDeltas     = 64
	maxDeltaBytes = 512 << 10
	// deltaOverhead is the size in bytes that a sent delta takes in addition to its
	// content.
	deltaOverhead = 32
)

// Delta is the difference between two revisions: the part of the newer encoding
// between the prefix and the suffix that both have in common. This is small, since
// a change touches few places, which are close together in the encoding.
type Delta struct {
	From, To   int64 // revisions
	Head, Tail int   // lengths in bytes of the common prefix and suffix
	Middle     []byte
}

// NewDelta returns the delta between two encodings.
func NewDelta(from, to int64, before, after []byte) Delta {
	limit := min(len(before), len(after))
	head := 0
	for head < limit && before[head] == after[head] {
		head++
	}
	tail := 0
	for tail < limit-head && before[len(before)-1-tail] == after[len(after)-1-tail] {
		tail++
	}
	return Delta{From: from, To: to, Head: head, Tail: tail, Middle: slices.Clone(after[head : len(after)-tail])}
}

// apply returns the newer encoding, or false if the delta does not fit the older
// one.
func (d Delta) apply(before []byte) ([]byte, bool) {
	if d.Head < 0 || d.Tail < 0 || d.Head+d.Tail > len(before) {
		return nil, false
	}
	after := make([]byte, 0, d.Head+len(d.Middle)+d.Tail)
	after = append(after, before[:d.Head]...)
	after = append(after, d.Middle...)
	return append(after, before[len(before)-d.Tail:]...), true
}

// ApplyDeltas applies consecutive deltas to the encoding of revision from and
// returns the encoding of revision to, or false if they do not fit. Only a digest
// proves that the result is right.
func ApplyDeltas(deltas []Delta, from, to int64, encoded []byte) ([]byte, bool) {
	for _, d := range deltas {
		if d.From != from {
			return nil, false
		}
		var fits bool
		if encoded, fits = d.apply(encoded); !fits {
			return nil, false
		}
		from = d.To
	}
	return encoded, from == to
}

// History holds the newest deltas that a process has applied. It is not safe for
// concurrent use.
type History struct {
	deltas []Delta
	bytes  int
}

// Add appends a delta, which must start at the revision where the last one ended,
// and drops the oldest ones that exceed the limits.
func (h *History) Add(d Delta) {
	h.deltas = append(h.deltas, d)
	h.bytes += d.size()
	for len(h.deltas) > maxDeltas || h.bytes > maxDeltaBytes {
		h.bytes -= h.deltas[0].size()
		h.deltas = h.deltas[1:]
	}
}

// size returns the size in bytes of the delta when it is sent.
func (d Delta) size() int {
	return len(d.Middle) + deltaOverhead
}

// Since returns the deltas after a revision. It returns false if there are none, if
// they are not held, or if they are larger than half of a snapshot, whose size is given
// in bytes.
func (h *History) Since(have int64, snapshot int) ([]Delta, bool) {
	bytes := 0
	for i := len(h.deltas) - 1; i >= 0; i-- {
		if bytes += h.deltas[i].size(); bytes > snapshot/2 {
			return nil, false
		}
		if h.deltas[i].From == have {
			return h.deltas[i:len(h.deltas):len(h.deltas)], true
		}
	}
	return nil, false
}
