package routing

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/membership"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	fleetEntries  = 370
	fleetAgents   = 1300
	fleetServices = 8
	fleetDomains  = 8
	// packetBytes are the headers of the packets that carry a heartbeat, its
	// answer and the acknowledgement: IPv4, TCP and its time stamps.
	packetBytes = 3 * 52
	// listBytes is what one instance takes in the platform's list.
	listBytes = 96
)

func fullFleet() (entries []string, agents []membership.Instance) {
	for i := range fleetEntries {
		entries = append(entries, fmt.Sprintf("entry-%03d.batumi-port", i))
	}
	for i := range fleetAgents {
		agents = append(agents, membership.Instance{
			ID:      fmt.Sprintf("agent-%04d.kobuleti", i),
			Address: fmt.Sprintf("10.3.%d.%d:7400", i/250, i%250+1),
			Domain:  fmt.Sprint("domain-", i%fleetDomains),
			Service: fmt.Sprint("service-", serviceOf(i)),
		})
	}
	return entries, agents
}

// serviceOf gives half of the agents to the first service, half of the rest to
// the second, and so on; the last two are small.
func serviceOf(i int) int {
	rest := fleetAgents
	for s := range fleetServices - 1 {
		if i < rest/2 {
			return s
		}
		i -= rest / 2
		rest -= rest / 2
	}
	return fleetServices - 1
}

// fanout measures, at the letter's size, who keeps whom, and the busiest
// entry's and the busiest agent's heartbeats and list reads from the encoded
// size of real messages.
func fanout() ([]bounds.Figure, error) {
	pair, err := heartbeatSize()
	if err != nil {
		return nil, err
	}
	entries, agents := fullFleet()
	c := newCensus(agents)
	for _, e := range entries {
		c.add(membership.SelectConnections(e, entries, agents, membership.DefaultFanout(), heartbeat), pair)
	}
	fewest, crowded, busiest := math.MaxInt, 0, 0.0
	for _, a := range agents {
		fewest = min(fewest, c.watchers[a.ID])
		crowded = max(crowded, c.keepers[a.ID])
		busiest = max(busiest, c.agentBytes[a.ID])
	}
	return []bounds.Figure{
		{Name: "membership.coverage", Value: float64(fewest)},
		{Name: "membership.keepers_most", Value: float64(crowded)},
		{Name: "membership.kept_most", Value: float64(c.mostKept)},
		{Name: "membership.services_reached", Value: float64(c.services)},
		{Name: "membership.domains_reached", Value: float64(c.domains)},
		{Name: "membership.heartbeat_s_most", Value: c.slowest.Seconds()},
		{Name: "control.heartbeat_pair_bytes", Value: pair},
		{Name: "control.bytes_per_s.agents", Value: c.entryBytes},
		{Name: "control.bytes_per_s_agent", Value: busiest},
		{Name: "control.bytes_per_s.baseline", Value: fleetAgents*pair/heartbeat.Seconds() + listBytesPerSecond()},
	}, nil
}

// census counts over all entries what each keeps.
type census struct {
	agents     map[string]membership.Instance
	watchers   map[string]int
	keepers    map[string]int
	agentBytes map[string]float64
	entryBytes float64 // of the busiest entry
	mostKept   int
	services   int // fewest that an entry reaches
	domains    int // fewest of a service that an entry reaches
	slowest    time.Duration
}

func newCensus(agents []membership.Instance) *census {
	c := &census{
		agents:     map[string]membership.Instance{},
		watchers:   map[string]int{},
		keepers:    map[string]int{},
		agentBytes: map[string]float64{},
		services:   math.MaxInt,
		domains:    math.MaxInt,
	}
	for _, a := range agents {
		c.agents[a.ID] = a
	}
	return c
}

func (c *census) add(kept []membership.Connection, pair float64) {
	domains := map[string]map[string]bool{}
	total := 0.0
	for _, k := range kept {
		a := c.agents[k.ID]
		if domains[a.Service] == nil {
			domains[a.Service] = map[string]bool{}
		}
		domains[a.Service][a.Domain] = true
		rate := pair / k.Interval.Seconds()
		total += rate
		c.agentBytes[k.ID] += rate
		c.keepers[k.ID]++
		if k.Watched {
			c.watchers[k.ID]++
		}
		c.slowest = max(c.slowest, k.Interval)
	}
	c.entryBytes = max(c.entryBytes, total)
	c.mostKept = max(c.mostKept, len(kept))
	c.services = min(c.services, len(domains))
	for _, d := range domains {
		c.domains = min(c.domains, len(d))
	}
}

// heartbeatSize returns the bytes of a heartbeat and its answer on a
// connection that has carried some before, as net/rpc encodes them.
func heartbeatSize() (float64, error) {
	req, reply := sampleHeartbeat()
	sent, err := steadySize(&rpc.Request{ServiceMethod: "Agent.Heartbeat", Seq: 100000}, req)
	if err != nil {
		return 0, err
	}
	answered, err := steadySize(&rpc.Response{ServiceMethod: "Agent.Heartbeat", Seq: 100000}, reply)
	if err != nil {
		return 0, err
	}
	return float64(sent + answered + packetBytes), nil
}

func steadySize(header, body any) (int, error) {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	for range 2 {
		buffer.Reset()
		if err := encoder.Encode(header); err != nil {
			return 0, errors.Wrap(err, "heartbeat size")
		}
		if err := encoder.Encode(body); err != nil {
			return 0, errors.Wrap(err, "heartbeat size")
		}
	}
	return buffer.Len(), nil
}

// sampleHeartbeat fills what a busy deployment's heartbeats carry. Fences are
// sent when they change only, and agents send none back.
func sampleHeartbeat() (wire.HeartbeatRequest, wire.HeartbeatReply) {
	revisions := []wire.Revision{{
		Deployment: "kartli-maritime", Revision: 4711, ConfirmedAgo: 1_234_567_890,
		QuorumFor: 3_456_789_012, Boot: math.MaxUint64 / 5, Clock: 90 * time.Hour,
	}}
	quarantine := []wire.QuarantineEntry{{Fingerprint: math.MaxUint64 / 3, Service: "renewal", Endpoints: 2, ExpiresUnix: 1_800_000_000_000}}
	req := wire.HeartbeatRequest{
		From:       "entry-123.batumi-port",
		Domain:     "batumi-port",
		Revisions:  revisions,
		Quarantine: quarantine,
	}
	reply := wire.HeartbeatReply{
		From:       "agent-1234.kobuleti",
		Target:     wire.Target{Incarnation: "01JDXW7K3M9Q5V8Z2B4C6D8F0G", Uptime: 90 * time.Hour},
		Domain:     "kobuleti",
		Service:    "examiner",
		Load:       wire.Load{Running: 14, Queued: 120, Slots: 16, QueuedSeconds: 3.25, WeightVersion: 12345},
		Revisions:  revisions,
		Quarantine: quarantine,
		Ready:      true,
	}
	return req, reply
}
