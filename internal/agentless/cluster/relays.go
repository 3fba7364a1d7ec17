package cluster

import (
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// scoutCount is how many processes follow the store for all others. Each costs
// the store a watch and an answer for every change, whatever the size of the
// fleet. One that is cut off follows by way of others; when both are gone, the rest
// ask the store themselves until the list names new ones.
const scoutCount = 2

// Relays returns the workers that follow the store and pass its news on. Every
// process that knows the same members finds the same scouts.
func Relays(members *Members) []Member {
	var workers []Member
	var keys []uint64
	for _, m := range members.Live() {
		if m.Worker && !m.Leaving {
			workers = append(workers, m)
			keys = append(keys, rendezvous.Key(m.Name))
		}
	}
	ranked := rendezvous.Ranked(rendezvous.Key("scouts"), keys, scoutCount)
	scouts := make([]Member, len(ranked))
	for i, at := range ranked {
		scouts[i] = workers[at]
	}
	return scouts
}
