package batchrun

import (
	"slices"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// affinityKey returns the key by which a job's owner is chosen. The jobs of a model share an
// owner, because they compete for the same engines and one owner knows which of their slots are
// free. With an owner per job, engines refused a third of the runs sent to them.
func affinityKey(model, id string) string {
	if model != "" {
		return model
	}
	return id
}

// ownerChooser chooses the owners of jobs.
type ownerChooser struct {
	models []string // sorted; distributed over the owners
}

// newOwnerChooser returns a chooser that knows the given models; models may be nil.
func newOwnerChooser(models func() []string) ownerChooser {
	if models == nil {
		return ownerChooser{}
	}
	return ownerChooser{models: models()}
}

// choose returns the owner for a key; members must not be empty. Processes that know the same
// models and members choose the same owner; otherwise the job's record decides who owns it.
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
