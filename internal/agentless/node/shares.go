package node

import (
	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/sharerun"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

// newShares returns the component that divides the slots of services under pressure between
// processes. The owner of jobs reports its scoring calls and the gate its callers' requests; both
// observe the slots that this process gets.
func (n *Node) newShares(self cluster.Member, peers *rpcpool.Pool, switches *mechanism.Switches) *sharerun.Runner {
	shares := sharerun.New(sharerun.Config{
		Self: self, Directory: n.directory, Members: n.members, Peers: peers, Switches: switches, Log: n.log, Registry: n.registry,
	})
	shares.AddSource(n.owner)
	shares.AddSource(n.gate)
	n.owner.Shares, n.gate.Shares = shares, shares
	return shares
}
