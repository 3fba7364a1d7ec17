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

// The reference fleet has the long-term target size of a deployment, which the users
// expect within two years.
const (
	referenceEntries  = 370
	referenceAgents   = 1300
	referenceServices = 8
	referenceDomains  = 8
	// packetBytes is the bytes of the headers of the packets that carry a heartbeat,
	// its reply and the acknowledgement: IPv4 and TCP with time stamps.
	packetBytes = 3 * 52
	// listBytesPerInstance is the bytes of one instance in the platform's list.
	listBytesPerInstance = 96
)

// referenceFleet returns the entries and agents of the reference fleet.
func referenceFleet() (entries []string, agents []membership.Instance) {
	for i := range referenceEntries {
		entries = append(entries, fmt.Sprintf("entry-%03d.batumi-port", i))
	}
	for i := range referenceAgents {
		agents = append(agents, membership.Instance{
			ID:      fmt.Sprintf("agent-%04d.kobuleti", i),
			Address: fmt.Sprintf("10.3.%d.%d:7400", i/250, i%250+1),
			Domain:  fmt.Sprint("domain-", i%referenceDomains),
			Service: fmt.Sprint("service-", serviceOf(i)),
		})
	}
	return entries, agents
}

// serviceOf returns the service of an agent. Half of the agents belong to the first
// service, half of the rest to the second, and so on; the last two services are small.
func serviceOf(i int) int {
	rest := referenceAgents
	for s := range referenceServices - 1 {
		if i < rest/2 {
			return s
		}
		i -= rest / 2
		rest -= rest / 2
	}
	return referenceServices - 1
}

// fanout measures, in the reference fleet, which agents the entries connect to,
// and the heartbeat traffic of the busiest entry and of the busiest agent from the
// encoded size of real messages. The baseline also includes the list reads.
func fanout() ([]bounds.Figure, error) {
	pair, err := heartbeatSize()
	if err != nil {
		return nil, err
	}
	entries, agents := referenceFleet()
	c := newConnectionStats(agents)
	for _, e := range entries {
		c.add(membership.SelectConnections(e, entries, agents, membership.DefaultFanout(), heartbeatInterval), pair)
	}
	minWatchers, maxConnectedEntries, maxAgentBytes := math.MaxInt, 0, 0.0
	for _, a := range agents {
		minWatchers = min(minWatchers, c.watchers[a.ID])
		maxConnectedEntries = max(maxConnectedEntries, c.connectedEntries[a.ID])
		maxAgentBytes = max(maxAgentBytes, c.agentBytes[a.ID])
	}
	return []bounds.Figure{
		{Name: "membership.coverage", Value: float64(minWatchers)},
		{Name: "membership.keepers_most", Value: float64(maxConnectedEntries)},
		{Name: "membership.kept_most", Value: float64(c.maxConnections)},
		{Name: "membership.services_reached", Value: float64(c.minServices)},
		{Name: "membership.domains_reached", Value: float64(c.minDomains)},
		{Name: "membership.heartbeat_s_most", Value: c.maxInterval.Seconds()},
		{Name: "control.heartbeat_pair_bytes", Value: pair},
		{Name: "control.bytes_per_s.agents", Value: c.entryBytes},
		{Name: "control.bytes_per_s_agent", Value: maxAgentBytes},
		{Name: "control.bytes_per_s.baseline", Value: referenceAgents*pair/heartbeatInterval.Seconds() + listBytesPerSecond()},
	}, nil
}

// connectionStats accumulates statistics on the connections of all entries.
type connectionStats struct {
	agents           map[string]membership.Instance
	watchers         map[string]int     // entries that watch an agent, by agent
	connectedEntries map[string]int     // entries connected to an agent, by agent
	agentBytes       map[string]float64 // per second, by agent
	entryBytes       float64            // per second, of the busiest entry
	maxConnections   int
	minServices      int // fewest that any entry is connected to
	minDomains       int // fewest of a service that any entry is connected to
	maxInterval      time.Duration
}

func newConnectionStats(agents []membership.Instance) *connectionStats {
	c := &connectionStats{
		agents:           map[string]membership.Instance{},
		watchers:         map[string]int{},
		connectedEntries: map[string]int{},
		agentBytes:       map[string]float64{},
		minServices:      math.MaxInt,
		minDomains:       math.MaxInt,
	}
	for _, a := range agents {
		c.agents[a.ID] = a
	}
	return c
}

func (c *connectionStats) add(connections []membership.Connection, pair float64) {
	domains := map[string]map[string]bool{}
	total := 0.0
	for _, k := range connections {
		a := c.agents[k.ID]
		if domains[a.Service] == nil {
			domains[a.Service] = map[string]bool{}
		}
		domains[a.Service][a.Domain] = true
		rate := pair / k.Interval.Seconds()
		total += rate
		c.agentBytes[k.ID] += rate
		c.connectedEntries[k.ID]++
		if k.Watched {
			c.watchers[k.ID]++
		}
		c.maxInterval = max(c.maxInterval, k.Interval)
	}
	c.entryBytes = max(c.entryBytes, total)
	c.maxConnections = max(c.maxConnections, len(connections))
	c.minServices = min(c.minServices, len(domains))
	for _, d := range domains {
		c.minDomains = min(c.minDomains, len(d))
	}
}

// heartbeatSize returns the bytes of a heartbeat and its reply as net/rpc encodes them
// on an established connection.
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

// steadySize returns the size of a message on a connection that has already carried
// one of its types.
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

// sampleHeartbeat returns a heartbeat and its reply with the contents that a busy
// deployment sends. They have no fences: these are sent only when they change, and
// never by agents.
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
