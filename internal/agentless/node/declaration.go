package node

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/freshness"
	"siskinloom.example/siskinloom/internal/policy/routes"
)

// applyDeclaration puts a declaration in force, unless it is invalid or not newer.
func (n *Node) applyDeclaration(r kv.Record) {
	declaration, err := n.adapter.Schema.DecodeDeclaration(r.Value)
	if err != nil {
		events.DeclarationUnreadable.Log(n.log, logrus.Fields{"revision": r.Revision, "error": err.Error()})
		return
	}
	before, inForce := n.directory.Declare(declaration)
	if !inForce {
		return
	}
	events.DeclarationInForce.Log(n.log, logrus.Fields{
		"version": declaration.Version, "revision": r.Revision, "routes": len(declaration.Routes), "customers": len(declaration.Customers),
	})
	if before != nil {
		n.logKeyChanges(before.Declaration, declaration)
	}
}

// maxLoggedKeyChanges is the limit of log lines about key changes per declaration.
const maxLoggedKeyChanges = 50

// logKeyChanges logs the customers whose API keys a declaration adds or removes.
func (n *Node) logKeyChanges(before, after *deployment.Declaration) {
	changes := routes.KeyChanges(before, after)
	for _, c := range changes[:min(len(changes), maxLoggedKeyChanges)] {
		events.KeysChanged.Log(n.log, logrus.Fields{"customer": c.Customer, "added": c.Added, "removed": c.Removed, "version": after.Version, "customers": len(changes)})
	}
}

// gapTolerance is how much longer than the operator's bound the declaration may be unconfirmed before
// that is logged: the answers of a root and of the store each confirm it about once a second.
const gapTolerance = time.Second

// declarationConfirmed logs that the declaration is confirmed again after a time in which it might
// have been outdated for longer than the operator allows.
func (n *Node) declarationConfirmed(at, previous time.Time) {
	bound := n.settings.ApplyBound
	if gap := at.Sub(previous); bound > 0 && !previous.IsZero() && gap > bound+gapTolerance {
		metrics.GetOrRegisterCounter("declaration.gaps", n.registry).Inc(1)
		events.DeclarationGap.Log(n.log, logrus.Fields{"gap_ms": gap.Milliseconds()})
	}
}

// declarationAge returns for how long the declaration in force may have been outdated.
func (n *Node) declarationAge() time.Duration {
	return freshness.Age(time.Now(), n.operator.ConfirmedAt())
}

const (
	// confirmTimeout bounds the call that confirms the declaration. A caller whose request would be
	// denied waits for it.
	confirmTimeout = 300 * time.Millisecond
	// confirmBackoff is how long no call is made after one that failed.
	confirmBackoff = 300 * time.Millisecond
)

// declarationConfirmer asks the store whether the declaration is the newest one. Requests that would
// be denied at the same time share a call.
type declarationConfirmer struct {
	calls singleflight.Group

	mu       sync.Mutex
	failedAt time.Time // when the last call failed; zero if it succeeded
}

// confirmDeclaration returns whether the declaration in force includes every change that the operator
// made longer ago than such a change may take to be in force. It asks the store if that is not known.
func (n *Node) confirmDeclaration(ctx context.Context) bool {
	if n.declarationAge() <= n.settings.ApplyBound {
		return true
	}
	select {
	case <-n.confirmer.calls.DoChan("", n.askForDeclaration):
	case <-ctx.Done():
	}
	return n.declarationAge() <= n.settings.ApplyBound
}

// askForDeclaration brings the declaration up to date with the store, unless that failed a moment ago.
func (n *Node) askForDeclaration() (any, error) {
	c := &n.confirmer
	c.mu.Lock()
	backoff := !c.failedAt.IsZero() && time.Since(c.failedAt) < confirmBackoff
	c.mu.Unlock()
	if backoff {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	err := (&cluster.Follower{Store: n.adapter.Store, Topic: n.operator}).Confirm(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt = time.Time{}
	if err != nil {
		c.failedAt = time.Now()
		events.DeclarationUnconfirmed.Log(n.log, logrus.Fields{"error": err.Error(), "age_ms": n.declarationAge().Milliseconds()})
	}
	return nil, nil
}
