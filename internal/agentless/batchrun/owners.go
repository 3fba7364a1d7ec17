package batchrun

import (
	"slices"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// affinity names what shares an owner: the jobs of one model compete for the
// same engines, and one owner knows which of their slots are free. With an owner
// for each job, engines turned away a third of the runs sent to them.
func affinity(model, id string) string {
	if model != "" {
		return model
	}
	return id
}

// owners chooses owners of jobs.
type owners struct {
	models []string // sorted; their jobs are spread over the owners
}

// ownersFor returns the choice among the jobs of models; nil: none are known.
func ownersFor(models func() []string) owners {
	if models == nil {
		return owners{}
	}
	return owners{models: models()}
}

// of returns the owner of what has a key; members must not be empty. Processes
// that know the same models and members choose the same; where they do not, the
// job's record says who has it.
func (o owners) of(key string, members []cluster.Member) string {
	nodes := make([]uint64, len(members))
	for i, m := range members {
		nodes[i] = rendezvous.Key(m.Name)
	}
	at, found := slices.BinarySearch(o.models, key)
	if !found {
		return members[rendezvous.Ranked(rendezvous.Key(key), nodes, 1)[0]].Name
	}
	things := make([]uint64, len(o.models))
	for i, model := range o.models {
		things[i] = rendezvous.Key(model)
	}
	return members[rendezvous.Spread(things, nodes)[at]].Name
}
