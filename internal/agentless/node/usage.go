package node

import (
	"context"
	"net/rpc"

	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/usagerun"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

// usageRoles holds a process's components for reporting usage. Processes that serve callers
// count requests and send the counts to workers. The zero value has no components.
type usageRoles struct {
	sender   *usagerun.Sender
	ledger   *usagerun.Ledger
	reporter *usagerun.Reporter
}

// addUsage creates the components for reporting usage, if it is enabled.
func (n *Node) addUsage(self cluster.Member, peers *rpcpool.Pool) {
	config := n.settings.Usage
	switch {
	case !config.Enabled():
	case self.Worker:
		n.usage.ledger = usagerun.NewLedger(config, self.Boot)
	default:
		n.gate.Usage = usagerun.NewCounter(config)
		n.usage.sender = &usagerun.Sender{Config: config, Counter: n.gate.Usage, Self: self, Members: n.members, Duty: keyDuty, Peers: peers, Log: n.log}
	}
}

// newReporter returns the reporter of usage, which is active while this process leads, or nil.
func (n *Node) newReporter() *usagerun.Reporter {
	if n.usage.ledger == nil || n.adapter.Biller == nil {
		return nil
	}
	return &usagerun.Reporter{
		Config: n.settings.Usage, Self: n.settings.ID, Ledger: n.usage.ledger, Members: n.members, Leader: n.leader, Store: n.adapter.Store,
		Biller: n.adapter.Biller, Log: n.log, Registry: n.registry,
	}
}

// register registers the service that receives counts, on a worker.
func (u *usageRoles) register(server *rpc.Server) error {
	if u.ledger == nil {
		return nil
	}
	return u.ledger.Register(server)
}

// run starts the components.
func (u *usageRoles) run(ctx context.Context, group *errgroup.Group) {
	if u.sender != nil {
		group.Go(func() error { return u.sender.Run(ctx) })
	}
	if u.reporter != nil {
		group.Go(func() error { return u.reporter.Run(ctx) })
	}
}

// flush sends the counts that were not sent yet, before this process ends.
func (u *usageRoles) flush(ctx context.Context) {
	if u.sender != nil {
		u.sender.Flush(ctx)
	}
}
