package cluster

import (
	"bytes"
	"context"
	"encoding/gob"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
)

// bootstrapKey is the key at which the first root publishes the tree. It has no lease, because
// it must outlive a restart of all processes. It is outside the prefixes that are followed.
const bootstrapKey = "bootstrap/tree"

// bootstrapWriteInterval is the least time between two writes of the tree by one process, since
// it changes with each registration while a fleet starts.
const bootstrapWriteInterval = 2 * time.Second

// treeCheckInterval is how often the first root compares the tree with the published one.
const treeCheckInterval = 300 * time.Millisecond

// Bootstrap publishes the tree to processes that start. Without it a process has to list all
// members to learn whom to ask for changes: after a restart of all, the store would have to send
// as many members as there are, to each of them.
//
// A tree that is out of date does no harm. Its processes answer that they serve no changes or
// not at all, and the reader turns to the store.
type Bootstrap struct {
	Store kv.TransactionalStore
	Self  string
	// Tree returns the current tree.
	Tree func() *Tree
	// Failed is called when the tree cannot be published; it may be nil.
	Failed func(error)

	published []byte // encoded tree that the store holds; nil if unknown
}

// ReadTree returns the published tree, which is empty if there is none. The store may answer
// with an older one.
func ReadTree(ctx context.Context, store kv.TransactionalStore) (*Tree, error) {
	record, err := store.ReadStale(ctx, bootstrapKey)
	if err != nil {
		return &Tree{}, err
	}
	if record.Revision == 0 {
		return &Tree{}, nil
	}
	var tree Tree
	if err := gob.NewDecoder(bytes.NewReader(record.Value)).Decode(&tree); err != nil {
		return &Tree{}, errors.Wrapf(err, "cluster: value of %s", bootstrapKey)
	}
	return &tree, nil
}

// Run publishes the tree, while this process is its first root, until ctx is done.
func (b *Bootstrap) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wrote, err := b.publish(ctx)
		if err != nil && b.Failed != nil && ctx.Err() == nil {
			b.Failed(err)
		}
		if wrote || err != nil {
			sleep(ctx, bootstrapWriteInterval)
		} else {
			sleep(ctx, treeCheckInterval)
		}
	}
	return nil
}

// publish writes the tree if it changed, and reports whether it called the store.
func (b *Bootstrap) publish(ctx context.Context) (called bool, err error) {
	tree := b.Tree()
	if tree.IsEmpty() || tree.Roots[0].Name != b.Self {
		b.published = nil // another process may write meanwhile
		return false, nil
	}
	value, err := encodeTree(tree)
	if err != nil {
		return false, err
	}
	if bytes.Equal(value, b.published) {
		return false, nil
	}
	if b.published == nil {
		record, err := b.Store.Read(ctx, bootstrapKey)
		if err != nil {
			return true, err
		}
		if bytes.Equal(value, record.Value) {
			b.published = value
			return true, nil
		}
	}
	if _, err := b.Store.Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: bootstrapKey, Value: value}}}); err != nil {
		return true, err
	}
	b.published = value
	return true, nil
}

// encodeTree returns the stored form of a tree. It leaves out the times at which the processes
// started, with which it would change at each restart of one of them.
func encodeTree(tree *Tree) ([]byte, error) {
	stored := Tree{Roots: withoutBoot(tree.Roots), Relays: withoutBoot(tree.Relays)}
	var raw bytes.Buffer
	if err := gob.NewEncoder(&raw).Encode(stored); err != nil {
		return nil, errors.Wrap(err, "cluster: tree")
	}
	return raw.Bytes(), nil
}

func withoutBoot(members []Member) []Member {
	stored := make([]Member, len(members))
	for i, m := range members {
		m.Boot = 0
		stored[i] = m
	}
	return stored
}
