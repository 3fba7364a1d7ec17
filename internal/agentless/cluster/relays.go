package cluster

import (
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// relayCount is the number of relays. Each one costs the store a watch and an answer
// per change, regardless of the size of the fleet. A relay that is cut off from the
// store reaches it through other processes. When both relays are lost, all processes
// ask the store directly until the list of members yields new relays.
const relayCount = 2

// Relays returns the workers that watch the store and serve its changes to the other
// processes. All processes that know the same members compute the same relays.
func Relays(members *Members) []Member {
	var workers []Member
	var keys []uint64
	for _, m := range members.Live() {
		if m.Worker && !m.Leaving {
			workers = append(workers, m)
			keys = append(keys, rendezvous.Key(m.Name))
		}
	}
	// Processes of all releases must use this key, or they would compute different relays.
	ranked := rendezvous.Ranked(rendezvous.Key("scouts"), keys, relayCount)
	relays := make([]Member, len(ranked))
	for i, at := range ranked {
		relays[i] = workers[at]
	}
	return relays
}
