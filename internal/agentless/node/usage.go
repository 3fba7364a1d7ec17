package node

import (
	"context"
	"net/rpc"

	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/usagerun"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

// usageParts are a process's parts of the reports of usage. Those that serve callers
// count and tell, workers take in what is told. The zero value has none.
type usageParts struct {
	teller   *usagerun.Sender
	books    *usagerun.Ledger
	reporter *usagerun.Reporter
}

func (n *Node) addUsage(self cluster.Member, peers *rpcpool.Pool) {
	rules := n.settings.Usage
	switch {
	case !rules.Enabled():
	case self.Worker:
		n.usage.books = usagerun.NewLedger(rules, self.Boot)
	default:
		n.gate.Usage = usagerun.NewCounter(rules)
		n.usage.teller = &usagerun.Sender{Config: rules, Counter: n.gate.Usage, Self: self, Members: n.members, Duty: keyDuty, Peers: peers, Log: n.log}
	}
}

// newReporter returns what reports usage while this process leads, or nil.
func (n *Node) newReporter() *usagerun.Reporter {
	if n.usage.books == nil || n.adapter.Biller == nil {
		return nil
	}
	return &usagerun.Reporter{
		Config: n.settings.Usage, Self: n.settings.ID, Ledger: n.usage.books, Members: n.members, Leader: n.leader, Store: n.adapter.Store,
		Biller: n.adapter.Biller, Log: n.log, Registry: n.registry,
	}
}

func (u *usageParts) register(calls *rpc.Server) error {
	if u.books == nil {
		return nil
	}
	return u.books.Register(calls)
}

func (u *usageParts) run(ctx context.Context, group *errgroup.Group) {
	if u.teller != nil {
		group.Go(func() error { return u.teller.Run(ctx) })
	}
	if u.reporter != nil {
		group.Go(func() error { return u.reporter.Run(ctx) })
	}
}

// flush tells what was counted before this process ends.
func (u *usageParts) flush(ctx context.Context) {
	if u.teller != nil {
		u.teller.Flush(ctx)
	}
}
