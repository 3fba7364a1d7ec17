package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/fanout"
)

// roleCheckInterval is the interval at which a worker checks whether its role changed. The
// failure of a root or relay needs no faster check, as the others ask the next one at once.
const roleCheckInterval = 500 * time.Millisecond

// demotionDelay is how long a relay goes on as one after the tree ceased to name it. While
// processes register again after a restart of all, each change of the list is another tree.
const demotionDelay = 5 * time.Second

// cancelOnRoleChange calls end when this process has another role than before; a relay that the
// tree no longer names goes on for demotionDelay.
func (v *topicSync) cancelOnRoleChange(ctx context.Context, end context.CancelFunc, role fanout.Role) {
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	var demotedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		current := v.node.role()
		switch {
		case current == role:
			demotedAt = time.Time{}
			continue
		case role == fanout.Relay && current == fanout.Leaf && !v.node.stopping.Load():
			if demotedAt.IsZero() {
				demotedAt = time.Now()
			}
			if time.Since(demotedAt) < demotionDelay {
				continue
			}
		}
		end()
		return
	}
}

// role returns this process's part in the distribution of the store's changes.
func (n *Node) role() fanout.Role {
	if !n.settings.Worker || n.stopping.Load() {
		return fanout.Leaf
	}
	return n.members.Tree().RoleOf(n.settings.ID)
}

const (
	// treePollInterval is how often an unregistered process checks whether it knows the
	// tree, which says whether it is needed.
	treePollInterval = 50 * time.Millisecond
	// registrationRound is the interval at which an entry of a large fleet checks whether
	// enough others are registered. Changes of the list arrive within it.
	registrationRound = 1500 * time.Millisecond
)

// registrationNeeded returns whether this process registers itself now and, if not, after what
// time to ask again. Entries of a large fleet register only as many as others need to reach the
// store through them, unless usage is reported, for which all counts are awaited.
func (n *Node) registrationNeeded() (needed bool, retryAfter time.Duration) {
	switch {
	case n.settings.Worker, n.settings.Usage.Enabled():
		return true, 0
	case !n.treeKnown.Load():
		return false, treePollInterval
	case !n.members.Tree().HasRelays():
		return true, 0
	case n.members.Count() == 0:
		return false, treePollInterval
	}
	_, listed := n.members.Get(n.settings.ID)
	census := fanout.Census{Listed: listed, Peers: n.members.EntriesIn(n.settings.FailureDomain)}
	if n.registration.Register(census, rand.Float64()) {
		return true, 0
	}
	return false, registrationRound
}

// registrationTTL returns the TTL that this process's registration should have now.
func (n *Node) registrationTTL() time.Duration {
	ttl := max(workerTTL, n.settings.MinTTL)
	now := time.Now()
	if len(n.owner.Jobs()) > 0 || n.owner.Standby.HasOrphanedJobs() {
		n.ownedAt.Store(now.UnixNano())
	}
	switch {
	case !n.settings.Worker:
		return ttl * entryTTLFactor
	case n.members.Tree().HasRelays() && n.role() == fanout.Leaf && now.Sub(time.Unix(0, n.ownedAt.Load())) > idleDelay:
		return ttl * idleTTLFactor
	default:
		return ttl
	}
}

// isRoot returns whether this process follows the store for others.
func (n *Node) isRoot() bool { return n.role() == fanout.Root }

// treeNotPublished logs that processes that start may read an outdated tree.
func (n *Node) treeNotPublished(err error) {
	events.TreeNotPublished.Log(n.log, logrus.Fields{"error": err.Error()})
}
