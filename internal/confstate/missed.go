package confstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/wire"
)

func encodeDeployment(d *decl.Deployment) []byte {
	encoded, err := json.Marshal(d)
	if err != nil {
		panic(err) // structs of strings and finite numbers always encode
	}
	return encoded
}

// missed returns the changes that a peer lacks, if they are few. A peer that
// could not use them asks for the whole.
func (h *State) missed(s *Snapshot, request wire.ConfigRequest) (wire.ConfigReply, bool) {
	if request.Whole || request.Have == 0 {
		return wire.ConfigReply{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// What came into force meanwhile is another reply's.
	if s != h.current.Load() {
		return wire.ConfigReply{}, false
	}
	deltas, worth := h.history.Since(request.Have, len(s.encoded))
	if !worth {
		return wire.ConfigReply{}, false
	}
	reply := wire.ConfigReply{Revision: s.Revision, Digest: s.digest[:]}
	for _, d := range deltas {
		reply.Missed = append(reply.Missed, wire.ConfigDelta(d))
	}
	return reply, true
}

// putMissed takes in missed changes. The digest is of the result: a peer that
// encodes otherwise, as it is of another release, or that had something else in
// force under this revision, would else leave a mixture in force that nobody
// ever accepted. On a wrong digest the whole is asked for.
func (h *State) putMissed(reply wire.ConfigReply) error {
	s := h.current.Load()
	if s == nil || s.Revision != reply.Missed[0].From {
		return nil // another reply was first; the next heartbeat tells what is missing now
	}
	var deltas []config.Delta
	for _, d := range reply.Missed {
		deltas = append(deltas, config.Delta(d))
	}
	encoded, fits := config.ApplyDeltas(deltas, s.Revision, reply.Revision, s.encoded)
	digest := sha256.Sum256(encoded)
	if !fits || !bytes.Equal(digest[:], reply.Digest) {
		h.whole.Store(true)
		return errors.Errorf("confstate: changes from revision %d to %d do not fit", s.Revision, reply.Revision)
	}
	next := &Snapshot{Revision: reply.Revision}
	if err := json.Unmarshal(encoded, &next.Deployment); err != nil {
		h.whole.Store(true)
		return errors.Wrap(err, "confstate: missed changes")
	}
	h.apply(next)
	return nil
}
