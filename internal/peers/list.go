package peers

import (
	"context"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
)

var errNoList = errors.New("peers: the list of instances has not been read yet")

// Lister reads the platform's list of instances.
type Lister interface {
	Instances(ctx context.Context, deployment string) ([]kv.Instance, error)
}

// WrapLister returns a lister that passes each list it reads to ApplyList and
// to the lister of CachedLister, so that one reader serves every part of the
// process.
func (p *Peers) WrapLister(l Lister) Lister {
	return &listerWrapper{lister: l, peers: p}
}

type listerWrapper struct {
	lister Lister
	peers  *Peers
}

// Instances reads the list and passes it on.
func (w *listerWrapper) Instances(ctx context.Context, deployment string) ([]kv.Instance, error) {
	list, err := w.lister.Instances(ctx, deployment)
	if err == nil {
		w.peers.ApplyList(list)
		w.peers.setInstances(list)
	}
	return list, err
}

func (p *Peers) setInstances(list []kv.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = list
}

// CachedLister returns a lister that returns the list last read through
// WrapLister, without reading it again. A duty that read the list itself every
// two seconds would use about 80 KB per second at 1,670 instances, five times
// the limit for control work. The list must not be modified.
func (p *Peers) CachedLister() Lister { return cachedLister{p} }

type cachedLister struct{ peers *Peers }

// Instances returns the last list, or an error if there is none yet.
func (c cachedLister) Instances(context.Context, string) ([]kv.Instance, error) {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	if c.peers.instances == nil {
		return nil, errNoList
	}
	return c.peers.instances, nil
}
