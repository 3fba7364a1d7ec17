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
		panic(err) // encoding structs of strings and finite numbers can't fail
	}
	return encoded
}

// missedChanges returns the deltas that a peer lacks, or false if they are not
// kept or are larger than half a snapshot. A peer that could not apply deltas
// requests a snapshot.
func (st *State) missedChanges(s *Snapshot, request wire.ConfigRequest) (wire.ConfigReply, bool) {
	if request.Whole || request.Have == 0 {
		return wire.ConfigReply{}, false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	// If a newer configuration came into force meanwhile, another reply sends it.
	if s != st.current.Load() {
		return wire.ConfigReply{}, false
	}
	deltas, ok := st.history.Since(request.Have, len(s.encoded))
	if !ok {
		return wire.ConfigReply{}, false
	}
	reply := wire.ConfigReply{Revision: s.Revision, Digest: s.digest[:]}
	for _, d := range deltas {
		reply.Missed = append(reply.Missed, wire.ConfigDelta(d))
	}
	return reply, true
}

// applyMissed applies deltas and compares the result with the digest. A peer
// that encodes differently because it runs another release, or that had another
// configuration in force under this revision, would otherwise put a mixture in
// force that nobody ever accepted. If the digest differs, a full snapshot is
// requested next.
func (st *State) applyMissed(reply wire.ConfigReply) error {
	s := st.current.Load()
	if s == nil || s.Revision != reply.Missed[0].From {
		return nil // another reply was first; the next heartbeat requests what is still missing
	}
	var deltas []config.Delta
	for _, d := range reply.Missed {
		deltas = append(deltas, config.Delta(d))
	}
	encoded, fits := config.ApplyDeltas(deltas, s.Revision, reply.Revision, s.encoded)
	digest := sha256.Sum256(encoded)
	if !fits || !bytes.Equal(digest[:], reply.Digest) {
		st.needsSnapshot.Store(true)
		return errors.Errorf("confstate: changes from revision %d to %d do not apply to the current configuration", s.Revision, reply.Revision)
	}
	next := &Snapshot{Revision: reply.Revision}
	if err := json.Unmarshal(encoded, &next.Deployment); err != nil {
		st.needsSnapshot.Store(true)
		return errors.Wrap(err, "confstate: missed changes")
	}
	st.apply(next)
	return nil
}
