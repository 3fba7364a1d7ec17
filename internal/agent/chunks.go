package agent

import (
	"container/list"
	"context"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// maxVersionsOnDisk is how many weight versions a data directory keeps: the one
// in force and the next one.
const maxVersionsOnDisk = 2

// weightsDirName is the subdirectory of the data directory that holds weights.
const weightsDirName = "weights"

// chunkTable stores chunks of weights for the engine and for other agents. It
// stores them in the data directory if there is one, and otherwise in memory up
// to a limit, evicting the oldest first.
type chunkTable struct {
	dir   string
	limit int

	mu          sync.Mutex
	bytes       int
	inMemory    map[wire.ChunkRequest]*list.Element
	order       *list.List                 // of memoryChunk, oldest first; memory only
	verified    map[string]verifiedVersion // complete versions that match their digest, by versionName
	pinned      string                     // versionName of the version that the engine loads
	versionDirs []string                   // directories of the versions in the data directory, oldest first
	chunkAdded  chan struct{}              // closed and replaced when a chunk is added
}

type memoryChunk struct {
	id   wire.ChunkRequest
	data []byte
}

func newChunkTable(dir string, limit int) *chunkTable {
	return &chunkTable{
		dir:         dir,
		limit:       limit,
		inMemory:    map[wire.ChunkRequest]*list.Element{},
		order:       list.New(),
		verified:    map[string]verifiedVersion{},
		versionDirs: existingVersionDirs(dir),
		chunkAdded:  make(chan struct{}),
	}
}

// existingVersionDirs returns the version directories that an earlier run of
// the agent left in the data directory, oldest first. Without this, each
// restart would leave two versions behind.
func existingVersionDirs(dir string) []string {
	if dir == "" {
		return nil
	}
	found, _ := os.ReadDir(filepath.Join(dir, weightsDirName)) // the directory doesn't exist before the first fetch
	type versionDir struct {
		path    string
		modTime time.Time
	}
	var all []versionDir
	for _, f := range found {
		if info, err := f.Info(); err == nil {
			all = append(all, versionDir{path: filepath.Join(dir, weightsDirName, f.Name()), modTime: info.ModTime()})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].modTime.Before(all[j].modTime) })
	var dirs []string
	for _, a := range all {
		dirs = append(dirs, a.path)
	}
	return dirs
}

// fits reports whether a complete version of the given size can be stored
// beside the one that the engine loads. It is called before the fetch: a
// version that runs out of memory in the middle would be fetched in vain over
// and over.
func (t *chunkTable) fits(model string, version int64, bytes int) bool {
	if t.dir != "" {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pinned != versionName(model, version) {
		bytes += t.pinnedBytes()
	}
	return bytes <= t.limit
}

// pinnedBytes returns the size of the pinned version. The lock must be held.
func (t *chunkTable) pinnedBytes() int {
	n := 0
	for id, element := range t.inMemory {
		if versionName(id.Model, id.Version) == t.pinned {
			n += len(element.Value.(memoryChunk).data)
		}
	}
	return n
}

// versionDir returns the directory of a version's chunks.
func (t *chunkTable) versionDir(model string, version int64) string {
	return filepath.Join(t.dir, weightsDirName, versionName(model, version))
}

// put stores a chunk and wakes those who wait for one.
func (t *chunkTable) put(id wire.ChunkRequest, data []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dir != "" {
		if err := t.putOnDisk(id, data); err != nil {
			return err
		}
	} else if err := t.putInMemory(id, data); err != nil {
		return err
	}
	close(t.chunkAdded)
	t.chunkAdded = make(chan struct{})
	return nil
}

// putInMemory stores a chunk in memory and evicts the oldest chunks of other
// versions to make room. The pinned version is never evicted.
func (t *chunkTable) putInMemory(id wire.ChunkRequest, data []byte) error {
	if _, ok := t.inMemory[id]; ok {
		return nil
	}
	for element := t.order.Front(); element != nil && t.bytes+len(data) > t.limit; {
		oldest, next := element.Value.(memoryChunk).id, element.Next()
		name := versionName(oldest.Model, oldest.Version)
		if name != t.pinned && name != versionName(id.Model, id.Version) {
			t.remove(oldest)
		}
		element = next
	}
	if t.bytes+len(data) > t.limit {
		return errNoRoom
	}
	t.inMemory[id] = t.order.PushBack(memoryChunk{id: id, data: data})
	t.bytes += len(data)
	return nil
}

// remove deletes a chunk from memory. Its version is no longer complete.
func (t *chunkTable) remove(id wire.ChunkRequest) {
	element, ok := t.inMemory[id]
	if !ok {
		return
	}
	t.bytes -= len(element.Value.(memoryChunk).data)
	t.order.Remove(element)
	delete(t.inMemory, id)
	delete(t.verified, versionName(id.Model, id.Version))
}

// putOnDisk writes a chunk to its version's directory. It writes a temporary
// file and renames it, so that a crash leaves no partial chunk.
func (t *chunkTable) putOnDisk(id wire.ChunkRequest, data []byte) error {
	dir := t.versionDir(id.Model, id.Version)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	t.addVersionDir(dir)
	path := filepath.Join(dir, strconv.Itoa(id.Index))
	if err := os.WriteFile(path+".part", data, 0o640); err != nil {
		return err
	}
	return os.Rename(path+".part", path)
}

// addVersionDir records a version's directory and deletes the oldest ones past
// maxVersionsOnDisk.
func (t *chunkTable) addVersionDir(dir string) {
	for _, known := range t.versionDirs {
		if known == dir {
			return
		}
	}
	t.versionDirs = append(t.versionDirs, dir)
	for len(t.versionDirs) > maxVersionsOnDisk {
		delete(t.verified, filepath.Base(t.versionDirs[0]))
		_ = os.RemoveAll(t.versionDirs[0])
		t.versionDirs = t.versionDirs[1:]
	}
}

// get returns a chunk if it is stored.
func (t *chunkTable) get(id wire.ChunkRequest) ([]byte, bool) {
	t.mu.Lock()
	element, ok := t.inMemory[id]
	t.mu.Unlock()
	if ok {
		return element.Value.(memoryChunk).data, true
	}
	if t.dir == "" {
		return nil, false
	}
	data, err := os.ReadFile(filepath.Join(t.versionDir(id.Model, id.Version), strconv.Itoa(id.Index)))
	return data, err == nil
}

// wait returns a chunk, blocking until it is added or the timeout has passed.
func (t *chunkTable) wait(ctx context.Context, id wire.ChunkRequest, timeout time.Duration) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		t.mu.Lock()
		added := t.chunkAdded
		t.mu.Unlock()
		if data, ok := t.get(id); ok {
			return data, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-added:
		}
	}
}

// dropVersion deletes all chunks of a version.
func (t *chunkTable) dropVersion(model string, version int64, chunks int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.verified, versionName(model, version))
	for i := range chunks {
		t.remove(wire.ChunkRequest{Model: model, Version: version, Index: i})
	}
	if t.dir != "" {
		_ = os.RemoveAll(t.versionDir(model, version))
	}
}
