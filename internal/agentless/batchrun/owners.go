package batchrun

import (
	"slices"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// affinity names what shares an owner: the jobs of one model compete for the
// same engines, and one owner knows which of their slots are free. With an owner
// for each job, engines turned away a third of the runs sent to them.
func affinityKey(model, id string) string {
	if model != "" {
		return model
	}
	return id
}

// owners chooses owners of jobs.
type ownerChooser struct {
	models []string // sorted; their jobs are spread over the owners
}

// ownersFor returns the choice among the jobs of models; nil: none are known.
func newOwnerChooser(models func() []string) ownerChooser {
	if models == nil {
		return ownerChooser{}
	}
	return ownerChooser{models: models()}
}

// of returns the owner of what has a key; members must not be empty. Processes
// that know the same models and members choose the same; where they do not, the
// job's record says who has it.
func (c ownerChooser) choose(key string, members []cluster.Member) string {
	memberKeys := make([]uint64, len(members))
	for i, m := range members {
		memberKeys[i] = rendezvous.Key(m.Name)
	}
	at, found := slices.BinarySearch(c.models, key)
	if !found {
		return members[rendezvous.Ranked(rendezvous.Key(key), memberKeys, 1)[0]].Name
	}
	modelKeys := make([]uint64, len(c.models))
	for i, model := range c.models {
		modelKeys[i] = rendezvous.Key(model)
	}
	return members[rendezvous.Spread(modelKeys, memberKeys)[at]].Name
}
