package daemon

import (
	"context"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/operator"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	inspectService     = "Inspect"
	methodInspect      = inspectService + ".Instances"
	inspectTimeout     = 2 * time.Second
	maxConcurrentCalls = 16
	stateLive          = "live"
	stateUnreachable   = "unreachable"
)

// agentReports holds the last heartbeat reply of each agent by the agent's ID.
type agentReports struct {
	mu  sync.Mutex
	all map[string]agentReport
}

// agentReport is an agent's last heartbeat reply.
type agentReport struct {
	receivedAt    time.Time
	revision      int64
	weightVersion int64
	role          string // role of the engine
}

func (a *agentReports) record(reply wire.HeartbeatReply) {
	report := agentReport{receivedAt: time.Now(), weightVersion: reply.Load.WeightVersion, role: reply.EngineRole}
	for _, r := range reply.Revisions {
		report.revision = r.Revision
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all[reply.From] = report
}

func (a *agentReports) get(id string) (agentReport, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	report, ok := a.all[id]
	return report, ok
}

// localInstances returns this entry and the agents that it is connected to.
func (e *entryProcess) localInstances() []operator.Instance {
	all := []operator.Instance{{
		ID: e.settings.ID, Role: string(e.settings.Role), Domain: e.settings.FailureDomain,
		State: stateLive, Revision: e.configState.Revision(),
	}}
	for _, a := range e.pool.Snapshot() {
		in := operator.Instance{ID: a.ID, Role: "agent", Service: a.Service, Domain: a.Domain, State: a.State, HeardAgo: -1}
		if report, ok := e.reports.get(a.ID); ok {
			in.Revision = report.revision
			in.WeightVersion = report.weightVersion
			in.EngineRole = report.role
			in.HeardAgo = time.Since(report.receivedAt)
		}
		all = append(all, in)
	}
	return all
}

// instances returns all instances of the deployment. An entry is connected to only
// some of the agents, so it asks every other entry for its own.
func (e *entryProcess) instances() []operator.Instance {
	ctx, cancel := context.WithTimeout(e.ctx, inspectTimeout)
	defer cancel()
	byID := map[string]operator.Instance{}
	var mu sync.Mutex
	merge := func(all []operator.Instance) {
		mu.Lock()
		defer mu.Unlock()
		for _, in := range all {
			if known, ok := byID[in.ID]; !ok || isFresher(in, known) {
				byID[in.ID] = in
			}
		}
	}
	merge(e.localInstances())
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, peer := range e.peers.Others() {
		group.Go(func() error {
			var reply []operator.Instance
			if err := e.peers.CallPeer(ctx, peer.Address, false, methodInspect, struct{}{}, &reply); err != nil {
				reply = []operator.Instance{{ID: peer.ID, Role: peer.Role, Domain: peer.FailureDomain, State: stateUnreachable, HeardAgo: -1}}
			}
			merge(reply)
			return nil
		})
	}
	_ = group.Wait()
	return sortedByID(byID)
}

// isFresher reports whether a is based on a more recent report of the instance than b.
func isFresher(a, b operator.Instance) bool {
	if b.HeardAgo < 0 {
		return a.HeardAgo >= 0
	}
	return a.HeardAgo >= 0 && a.HeardAgo < b.HeardAgo
}

// sortedByID returns the instances sorted by ID.
func sortedByID(byID map[string]operator.Instance) []operator.Instance {
	all := make([]operator.Instance, 0, len(byID))
	for _, in := range byID {
		all = append(all, in)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// inspect is the net/rpc service by which other entries query this one's instances.
type inspect struct{ e *entryProcess }

// Instances returns this entry and the agents that it is connected to.
func (s *inspect) Instances(_ struct{}, reply *[]operator.Instance) error {
	*reply = s.e.localInstances()
	return nil
}
