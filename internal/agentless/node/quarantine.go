package node

import (
	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/crashfeed"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

// addQuarantine creates the components that keep requests under which endpoints end from further
// endpoints: the one that decides, and the one that passes its reports from process to process.
func (n *Node) addQuarantine(self cluster.Member, peers *rpcpool.Pool, switches *mechanism.Switches) {
	n.quarantine = quarantine.New(self.Name, n.adapter.Store, n.adapter.Prober, n.log, n.registry)
	n.crashes = crashfeed.New(crashfeed.Config{
		Self: self, Members: n.members, Peers: peers, Receiver: n.quarantine, Switches: switches, Log: n.log, Registry: n.registry,
	})
	n.quarantine.Directory, n.quarantine.Switches, n.quarantine.Feed = n.directory, switches, n.crashes
}
