package config

import (
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
)

const (
	// slowAgentHeartbeatInterval is the interval of the heartbeats to an agent from the
	// entry that has the most agents in the reference fleet (docs/design/membership.md).
	slowAgentHeartbeatInterval = 2300 * time.Millisecond
	outageDuration             = time.Minute
	sampleInterval             = 200 * time.Millisecond
)

// measureAvailability measures how much availability is lost because a process without
// recent proof that its configuration is current takes no work. It returns the share of
// time for which healthy processes take no work, with lost messages, while the service
// answers and during an outage.
func measureAvailability() ([]bounds.Figure, error) {
	f := newFleet(7, referenceEntries, referenceAgents)
	f.agentHeartbeatInterval = slowAgentHeartbeatInterval
	f.startAll()
	f.Run(warmUpTime, never)
	servedShare := f.unreadyShare(measureTime)
	f.configStore.outage = true
	outageShare := f.unreadyShare(outageDuration)
	return []bounds.Figure{
		{Name: "config.unready_share", Value: servedShare},
		{Name: "config.unready_share_outage", Value: outageShare},
	}, nil
}

// unreadyShare returns the mean share of processes that take no work during the given
// time.
func (f *fleet) unreadyShare(duration time.Duration) float64 {
	unready, all := 0, 0
	for began := f.Now(); f.Now().Sub(began) < duration; {
		f.Run(sampleInterval, never)
		for _, n := range f.nodes {
			all++
			if !n.follower.Ready(f.Now()) {
				unready++
			}
		}
	}
	return float64(unready) / float64(all)
}
