package agent

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/wire"
)

// errNoRoom reports that the memory is used by a version that the engine loads.
var errNoRoom = errors.New("agent: no memory for another version while the engine loads one")

// verifiedVersion is a version whose chunks are all stored here and match its
// digest.
type verifiedVersion struct {
	model   string
	version int64
	chunks  int
	digest  []byte // SHA-256 of the chunks in order
}

// versionName returns the name of a version in paths. The model's name comes
// over the network and may not be a valid file name, so it is hashed.
func versionName(model string, version int64) string {
	return fmt.Sprintf("%016x-%d", xxhash.Sum64String(model), version)
}

// markVerified records a complete version that matches its digest.
func (t *chunkTable) markVerified(v verifiedVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verified[versionName(v.model, v.version)] = v
}

// findVerified returns a version if it is complete and matches its digest.
func (t *chunkTable) findVerified(model string, version int64) (verifiedVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.verified[versionName(model, version)]
	return v, ok
}

// verifiedChunk returns a chunk of a verified version by the version's name.
func (t *chunkTable) verifiedChunk(name string, index int) ([]byte, bool) {
	t.mu.Lock()
	v, ok := t.verified[name]
	t.mu.Unlock()
	if !ok || index < 0 || index >= v.chunks {
		return nil, false
	}
	return t.get(wire.ChunkRequest{Model: v.model, Version: v.version, Index: index})
}

// pin keeps a version in memory until unpin is called. Otherwise a newer
// version that is fetched meanwhile would evict chunks that the engine has yet
// to read.
func (t *chunkTable) pin(model string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pinned = versionName(model, version)
}

func (t *chunkTable) unpin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pinned = ""
}
