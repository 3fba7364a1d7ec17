package routing

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"siskinloom.example/siskinloom/api/platformpb"
	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/peers"
	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/policy/gossip"
	"siskinloom.example/siskinloom/internal/policy/membership"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	gossipRounds = 300
	// keptClients is how many connections to other entries an entry keeps.
	keptClients = 32
	// connectPackets are the headers of the packets that open and close a
	// connection.
	connectPackets = 7 * 52
	// grpcOverhead is what a call of the key-value service takes beside its two
	// messages: frames, headers and trailers once they are indexed, and the
	// headers of four packets.
	grpcOverhead = 130 + 4*52
	letterDuties = 64
	dutyChanges  = 420 // instances restarted a day; each has a share of the duties
	day          = 24 * 60 * 60
	// dutyChangeRate is of the holders of all duties, a second.
	dutyChangeRate = float64(dutyChanges) * letterDuties / fleetEntries / day
	// spreading is in how many rounds an entry's news of a duty crosses the
	// fleet; heartbeats carry the whole list meanwhile.
	spreading   = 5
	configTrail = config.MaxTrailEntries
	letterFeeds = 14
	// letterCallers is assumed; the letter does not tell it.
	letterCallers = 600
)

// gossipLoad is what an entry takes part in, per round.
type gossipLoad struct {
	beats, connects float64
}

// controlParts measures, at the letter's size, what an entry sends and receives
// by use. The sums, with the rates that other runs measure, are made where all
// are known.
func controlParts() ([]bounds.Figure, error) {
	h, err := measureHeartbeats()
	if err != nil {
		return nil, err
	}
	fences, err := fencesSize()
	if err != nil {
		return nil, err
	}
	order, err := orderSize()
	if err != nil {
		return nil, err
	}
	leaseRead, leaseWrite := leaseCallSizes()
	return []bounds.Figure{
		{Name: "control.bytes_per_s.heartbeats", Value: slices.Max(h.all)},
		{Name: "control.bytes_per_s.entries", Value: h.between},
		{Name: "control.bytes_per_s.list", Value: listBytesPerSecond()},
		{Name: "control.bytes_per_s.fences", Value: dutyChangeRate * fences * h.kept},
		{Name: "control.peer_heartbeat_bytes", Value: h.pair},
		{Name: "control.peer_connects_per_s", Value: h.connects},
		{Name: "control.lease_read_bytes", Value: leaseRead},
		{Name: "control.lease_write_bytes", Value: leaseWrite},
		{Name: "control.config_read_bytes", Value: float64(configReadSize())},
		{Name: "control.order_bytes", Value: order},
	}, nil
}

// heartbeats are what the entries of the fleet exchange.
type heartbeats struct {
	all      []float64 // bytes a second of each entry, to agents and entries
	between  float64   // of the busiest, between entries
	connects float64   // a second, of the entry with the most
	kept     float64   // agents of the entry that keeps the most
	pair     float64   // bytes of one between entries and its answer
}

func measureHeartbeats() (heartbeats, error) {
	var h heartbeats
	pair, opening, err := peerHeartbeatSize()
	if err != nil {
		return h, err
	}
	holders, err := holdersSize()
	if err != nil {
		return h, err
	}
	if h.all, err = entryHeartbeats(); err != nil {
		return h, err
	}
	for _, kept := range keptByEntry() {
		h.kept = max(h.kept, float64(len(kept)))
	}
	h.pair = pair
	for i, load := range gossipLoads() {
		own := load.beats*(pair+dutyChangeRate*spreading*holders) + load.connects*(opening+connectPackets)
		own /= heartbeat.Seconds()
		h.all[i] += own
		h.between = max(h.between, own)
		h.connects = max(h.connects, load.connects/heartbeat.Seconds())
	}
	return h, nil
}

// entryHeartbeats returns the bytes a second of each entry's heartbeats to agents.
func entryHeartbeats() ([]float64, error) {
	pair, err := heartbeatSize()
	if err != nil {
		return nil, err
	}
	rates := make([]float64, fleetEntries)
	for i, kept := range keptByEntry() {
		for _, k := range kept {
			rates[i] += pair / k.Interval.Seconds()
		}
	}
	return rates, nil
}

// keptByEntry returns the agents that each entry keeps.
func keptByEntry() [][]membership.Connection {
	entries, agents := fullFleet()
	all := make([][]membership.Connection, len(entries))
	for i, e := range entries {
		all[i] = membership.SelectConnections(e, entries, agents, membership.DefaultFanout(), heartbeat)
	}
	return all
}

// listBytesPerSecond is what an entry's reads of the platform's list take.
func listBytesPerSecond() float64 {
	return (fleetEntries + fleetAgents) * listBytes / membership.PollInterval(fleetEntries+fleetAgents).Seconds()
}

// gossipLoads runs rounds of all entries.
func gossipLoads() []gossipLoad {
	rnd := rand.New(rand.NewPCG(1, 1))
	peersOf := make([]gossip.Peer, fleetEntries)
	partners := make([]*gossip.Partners, fleetEntries)
	open := make([][]string, fleetEntries)
	index := map[string]int{}
	for i := range fleetEntries {
		peersOf[i] = gossip.Peer{ID: fmt.Sprint("entry-", i), Domain: fmt.Sprint(i % fleetDomains)}
		partners[i] = gossip.NewPartners(peersOf[i].Domain)
		index[peersOf[i].ID] = i
	}
	loads := make([]gossipLoad, fleetEntries)
	for range gossipRounds {
		for i := range fleetEntries {
			others := append(append([]gossip.Peer(nil), peersOf[:i]...), peersOf[i+1:]...)
			for _, p := range partners[i].Choose(rnd, others, peers.Fanout) {
				to := &loads[index[p.ID]]
				loads[i].beats++
				to.beats++
				var opened bool
				if open[i], opened = connect(open[i], p.ID); opened {
					loads[i].connects++
					to.connects++
				}
			}
		}
	}
	for i := range loads {
		loads[i].beats /= gossipRounds
		loads[i].connects /= gossipRounds
	}
	return loads
}

// connect adds a peer to the open connections, the oldest of too many of which
// is closed; opened is false if it was among them.
func connect(open []string, id string) (now []string, opened bool) {
	for _, o := range open {
		if o == id {
			return open, false
		}
	}
	open = append(open, id)
	if len(open) > keptClients {
		open = open[1:]
	}
	return open, true
}

// peerHeartbeatSize returns the bytes of a heartbeat between entries and its
// answer on a standing connection, and what the first on a new one takes more.
func peerHeartbeatSize() (pair, opening float64, err error) {
	toAgent, fromAgent := sampleHeartbeat()
	req := wire.HeartbeatRequest{From: toAgent.From, Domain: toAgent.Domain, Revisions: toAgent.Revisions, Quarantine: toAgent.Quarantine, HoldersHash: 1 << 63}
	reply := wire.HeartbeatReply{From: toAgent.From, Domain: toAgent.Domain, Revisions: toAgent.Revisions, Quarantine: fromAgent.Quarantine, Ready: true}
	const method = wire.EntryService + ".Heartbeat"
	for _, m := range []struct{ header, body any }{
		{&rpc.Request{ServiceMethod: method, Seq: 100000}, req},
		{&rpc.Response{ServiceMethod: method, Seq: 100000}, reply},
	} {
		steady, err := steadySize(m.header, m.body)
		if err != nil {
			return 0, 0, err
		}
		first, err := firstSize(m.header, m.body)
		if err != nil {
			return 0, 0, err
		}
		pair += float64(steady)
		opening += float64(first - steady)
	}
	return pair + packetBytes, opening, nil
}

// firstSize is the size of a message on a new connection, with the description
// of its types.
func firstSize(header, body any) (int, error) {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	for _, v := range []any{header, body} {
		if err := encoder.Encode(v); err != nil {
			return 0, errors.Wrap(err, "control")
		}
	}
	return buffer.Len(), nil
}

// holdersSize is what the list of all duties' holders takes.
func holdersSize() (float64, error) {
	var reply wire.HeartbeatReply
	for i := range letterDuties {
		reply.Holders = append(reply.Holders, wire.Holder{Duty: fmt.Sprint("feed/kartli-maritime/exam-marking-", i), Address: "10.3.117.200:7400", Epoch: 300})
	}
	with, err := steadySize(struct{}{}, reply)
	if err != nil {
		return 0, err
	}
	without, err := steadySize(struct{}{}, wire.HeartbeatReply{})
	return float64(with - without), err
}

// orderSize is what an order to an engine and its reply take.
func orderSize() (float64, error) {
	_, reply := sampleHeartbeat()
	o := wire.Order{
		ID: "01JDXW7K3M9Q5V8Z2B4C6D8F0G", Fence: wire.Fence{Duty: "weights/kartli-maritime/examiner", Epoch: 300}, Sequence: 100000,
		Kind: wire.OrderPrepare, Model: "examiner", Version: 12345, Remaining: 10 * time.Second,
		Sources: []string{"", "10.3.117.200:7400", "10.3.117.201:7400"}, Target: reply.Target,
	}
	const method = wire.AgentService + ".Order"
	sent, err := steadySize(&rpc.Request{ServiceMethod: method, Seq: 100000}, o)
	if err != nil {
		return 0, err
	}
	answered, err := steadySize(&rpc.Response{ServiceMethod: method, Seq: 100000}, wire.OrderReply{Outcome: wire.Answered, Version: 12345, Target: reply.Target})
	return float64(sent + answered + packetBytes), err
}

// leaseCallSizes returns what a read and a renewal of a duty's record take.
func leaseCallSizes() (read, write float64) {
	key := "duty/kartli-maritime/weights/kartli-maritime/examiner"
	value := make([]byte, 260) // the record in JSON and its envelope
	request := &platformpb.CompareAndSwapRequest{Key: key, ExpectedRevision: 1 << 40, Value: value}
	response := &platformpb.CompareAndSwapResponse{Swapped: true, Current: &platformpb.Record{Key: key, Value: value, Revision: 1 << 40}}
	write = float64(proto.Size(request) + proto.Size(response) + grpcOverhead)
	get := &platformpb.GetRequest{Key: key}
	found := &platformpb.GetResponse{Record: response.Current}
	return float64(proto.Size(get) + proto.Size(found) + grpcOverhead), write
}

// fencesSize is what the epochs of all duties take on a heartbeat.
func fencesSize() (float64, error) {
	var req wire.HeartbeatRequest
	for i := range letterDuties {
		req.Fences = append(req.Fences, wire.Fence{Duty: fmt.Sprint("feed/kartli-maritime/exam-marking-", i), Epoch: 300})
	}
	size, err := steadySize(struct{}{}, req)
	return float64(size), err
}

// configReadSize is what a read of the configuration's record takes with a full
// trail.
func configReadSize() int {
	digest := fmt.Sprintf("%064x", 1)
	d := decl.Deployment{Name: "kartli-maritime"}
	for i := range fleetServices {
		name := fmt.Sprint("examiner-model-", i)
		d.Services = append(d.Services, decl.Service{Name: name, Kind: decl.KindModel, Slots: 16, QueueLimit: 1000, CapacityFloor: 0.75, MaxBodyBytes: 1 << 20})
		d.Classes = append(d.Classes, decl.Class{Name: name + "-lookup", Service: name, Match: []string{"GET /status/*"}, Idempotent: true, Deadline: time.Second, Priority: 3})
	}
	for i := range letterFeeds {
		d.Feeds = append(d.Feeds, decl.Feed{Name: fmt.Sprint("exam-marking-", i), Service: "examiner-model-1", Model: "examiner", Scorer: "scorer", TrainerSHA256: digest, GroupSize: 8, GroupsPerStep: 512})
	}
	for i := range letterCallers {
		d.Callers = append(d.Callers, decl.Caller{Name: fmt.Sprint("kiosk-", i), Agency: "batumi-crewing", Weight: 1, KeySHA256: digest, RateLimit: 20, Burst: 40})
	}
	r := config.Record{Revision: 1 << 20, Deployment: d}
	for i := range configTrail {
		r.Trail = append(r.Trail, config.Audit{
			Revision: 1<<20 + int64(i), UnixMilli: 1_800_000_000_000, Operator: "port-operations", From: "10.3.117.200:50000",
			ChangeID: "01JDXW7K3M9Q5V8Z2B4C6D8F0G", Action: config.ActionApply, Outcome: config.OutcomeAccepted,
			Changes: []decl.Change{{Kind: "changed", Object: "caller kiosk-17", Field: "rate_limit", Before: "20", After: "40"}},
		})
	}
	return len(r.Encode()) + grpcOverhead
}
