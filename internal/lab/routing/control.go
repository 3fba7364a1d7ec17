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
	// maxPeerConnections is the number of connections to other entries that an entry
	// keeps open.
	maxPeerConnections = 32
	// connectBytes is the bytes of the headers of the packets that open and close a
	// connection.
	connectBytes = 7 * 52
	// grpcOverhead is the bytes of a call of the key-value service without its two
	// messages: frames, headers and trailers once they are indexed, and the headers
	// of four packets.
	grpcOverhead            = 130 + 4*52
	referenceDuties         = 64
	referenceRestartsPerDay = 420 // instances restarted per day; each holds a share of the duties
	secondsPerDay           = 24 * 60 * 60
	// dutyChangeRate is the number of changes of duty holders per second, over all
	// duties.
	dutyChangeRate = float64(referenceRestartsPerDay) * referenceDuties / referenceEntries / secondsPerDay
	// spreadRounds is the number of gossip rounds until a change of a duty's holder has
	// reached the whole fleet. Until then heartbeats carry the whole list.
	spreadRounds   = 5
	trailLength    = config.MaxTrailEntries
	referenceFeeds = 14
	// referenceCallers is an assumption; the users gave no number.
	referenceCallers = 600
)

// gossipLoad is the heartbeats and new connections of an entry per round, in both
// directions.
type gossipLoad struct {
	heartbeats, connects float64
}

// controlParts measures what an entry sends and receives by use in the
// reference fleet. The totals also need rates from other measurements and are calculated
// where all of them are known.
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
		{Name: "control.bytes_per_s.heartbeats", Value: slices.Max(h.byEntry)},
		{Name: "control.bytes_per_s.entries", Value: h.maxBetweenEntries},
		{Name: "control.bytes_per_s.list", Value: listBytesPerSecond()},
		{Name: "control.bytes_per_s.fences", Value: dutyChangeRate * fences * h.maxConnections},
		{Name: "control.peer_heartbeat_bytes", Value: h.pair},
		{Name: "control.peer_connects_per_s", Value: h.maxConnects},
		{Name: "control.lease_read_bytes", Value: leaseRead},
		{Name: "control.lease_write_bytes", Value: leaseWrite},
		{Name: "control.config_read_bytes", Value: float64(configReadSize())},
		{Name: "control.order_bytes", Value: order},
	}, nil
}

// heartbeats is the heartbeat traffic of the entries of the fleet.
type heartbeats struct {
	byEntry           []float64 // bytes per second of each entry, with agents and entries
	maxBetweenEntries float64   // bytes per second of the busiest entry, with other entries
	maxConnects       float64   // new connections per second of the entry with the most
	maxConnections    float64   // agents that the entry with the most is connected to
	pair              float64   // bytes of a heartbeat between entries and its reply
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
	if h.byEntry, err = entryHeartbeats(); err != nil {
		return h, err
	}
	for _, connections := range connectionsByEntry() {
		h.maxConnections = max(h.maxConnections, float64(len(connections)))
	}
	h.pair = pair
	for i, load := range gossipLoads() {
		own := load.heartbeats*(pair+dutyChangeRate*spreadRounds*holders) + load.connects*(opening+connectBytes)
		own /= heartbeatInterval.Seconds()
		h.byEntry[i] += own
		h.maxBetweenEntries = max(h.maxBetweenEntries, own)
		h.maxConnects = max(h.maxConnects, load.connects/heartbeatInterval.Seconds())
	}
	return h, nil
}

// entryHeartbeats returns the bytes per second of each entry's heartbeats with agents.
func entryHeartbeats() ([]float64, error) {
	pair, err := heartbeatSize()
	if err != nil {
		return nil, err
	}
	rates := make([]float64, referenceEntries)
	for i, connections := range connectionsByEntry() {
		for _, k := range connections {
			rates[i] += pair / k.Interval.Seconds()
		}
	}
	return rates, nil
}

// connectionsByEntry returns the connections that each entry keeps to agents.
func connectionsByEntry() [][]membership.Connection {
	entries, agents := referenceFleet()
	all := make([][]membership.Connection, len(entries))
	for i, e := range entries {
		all[i] = membership.SelectConnections(e, entries, agents, membership.DefaultFanout(), heartbeatInterval)
	}
	return all
}

// listBytesPerSecond returns the bytes per second of an entry's reads of the
// platform's list.
func listBytesPerSecond() float64 {
	return (referenceEntries + referenceAgents) * listBytesPerInstance / membership.PollInterval(referenceEntries+referenceAgents).Seconds()
}

// gossipLoads simulates gossip rounds of all entries and returns the mean load of each
// entry per round.
func gossipLoads() []gossipLoad {
	rnd := rand.New(rand.NewPCG(1, 1))
	gossipPeers := make([]gossip.Peer, referenceEntries)
	partners := make([]*gossip.Partners, referenceEntries)
	open := make([][]string, referenceEntries)
	index := map[string]int{}
	for i := range referenceEntries {
		gossipPeers[i] = gossip.Peer{ID: fmt.Sprint("entry-", i), Domain: fmt.Sprint(i % referenceDomains)}
		partners[i] = gossip.NewPartners(gossipPeers[i].Domain)
		index[gossipPeers[i].ID] = i
	}
	loads := make([]gossipLoad, referenceEntries)
	for range gossipRounds {
		for i := range referenceEntries {
			others := append(append([]gossip.Peer(nil), gossipPeers[:i]...), gossipPeers[i+1:]...)
			for _, p := range partners[i].Choose(rnd, others, peers.Fanout) {
				to := &loads[index[p.ID]]
				loads[i].heartbeats++
				to.heartbeats++
				var opened bool
				if open[i], opened = connect(open[i], p.ID); opened {
					loads[i].connects++
					to.connects++
				}
			}
		}
	}
	for i := range loads {
		loads[i].heartbeats /= gossipRounds
		loads[i].connects /= gossipRounds
	}
	return loads
}

// connect adds a peer to the open connections and closes the oldest one if there are
// too many. It returns false if the peer was already connected.
func connect(open []string, id string) (now []string, opened bool) {
	for _, o := range open {
		if o == id {
			return open, false
		}
	}
	open = append(open, id)
	if len(open) > maxPeerConnections {
		open = open[1:]
	}
	return open, true
}

// peerHeartbeatSize returns the bytes of a heartbeat between entries and its reply on
// an established connection, and the additional bytes of the first one on a new
// connection.
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
		first, err := firstMessageSize(m.header, m.body)
		if err != nil {
			return 0, 0, err
		}
		pair += float64(steady)
		opening += float64(first - steady)
	}
	return pair + packetBytes, opening, nil
}

// firstMessageSize returns the size of the first message on a new connection, with the
// descriptions of its types.
func firstMessageSize(header, body any) (int, error) {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	for _, v := range []any{header, body} {
		if err := encoder.Encode(v); err != nil {
			return 0, errors.Wrap(err, "control")
		}
	}
	return buffer.Len(), nil
}

// holdersSize returns the bytes of the list of the holders of all duties.
func holdersSize() (float64, error) {
	var reply wire.HeartbeatReply
	for i := range referenceDuties {
		reply.Holders = append(reply.Holders, wire.Holder{Duty: fmt.Sprint("feed/kartli-maritime/exam-marking-", i), Address: "10.3.117.200:7400", Epoch: 300})
	}
	with, err := steadySize(struct{}{}, reply)
	if err != nil {
		return 0, err
	}
	without, err := steadySize(struct{}{}, wire.HeartbeatReply{})
	return float64(with - without), err
}

// orderSize returns the bytes of an order to an engine and its reply.
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

// leaseCallSizes returns the bytes of a read and of a renewal of a duty's record.
func leaseCallSizes() (read, write float64) {
	key := "duty/kartli-maritime/weights/kartli-maritime/examiner"
	value := make([]byte, 260) // size of the record in JSON with its envelope
	request := &platformpb.CompareAndSwapRequest{Key: key, ExpectedRevision: 1 << 40, Value: value}
	response := &platformpb.CompareAndSwapResponse{Swapped: true, Current: &platformpb.Record{Key: key, Value: value, Revision: 1 << 40}}
	write = float64(proto.Size(request) + proto.Size(response) + grpcOverhead)
	get := &platformpb.GetRequest{Key: key}
	found := &platformpb.GetResponse{Record: response.Current}
	return float64(proto.Size(get) + proto.Size(found) + grpcOverhead), write
}

// fencesSize returns the bytes of a heartbeat with the epochs of all duties.
func fencesSize() (float64, error) {
	var req wire.HeartbeatRequest
	for i := range referenceDuties {
		req.Fences = append(req.Fences, wire.Fence{Duty: fmt.Sprint("feed/kartli-maritime/exam-marking-", i), Epoch: 300})
	}
	size, err := steadySize(struct{}{}, req)
	return float64(size), err
}

// configReadSize returns the bytes of a read of the configuration's record with a
// full audit trail.
func configReadSize() int {
	digest := fmt.Sprintf("%064x", 1)
	d := decl.Deployment{Name: "kartli-maritime"}
	for i := range referenceServices {
		name := fmt.Sprint("examiner-model-", i)
		d.Services = append(d.Services, decl.Service{Name: name, Kind: decl.KindModel, Slots: 16, QueueLimit: 1000, CapacityFloor: 0.75, MaxBodyBytes: 1 << 20})
		d.Classes = append(d.Classes, decl.Class{Name: name + "-lookup", Service: name, Match: []string{"GET /status/*"}, Idempotent: true, Deadline: time.Second, Priority: 3})
	}
	for i := range referenceFeeds {
		d.Feeds = append(d.Feeds, decl.Feed{Name: fmt.Sprint("exam-marking-", i), Service: "examiner-model-1", Model: "examiner", Scorer: "scorer", TrainerSHA256: digest, GroupSize: 8, GroupsPerStep: 512})
	}
	for i := range referenceCallers {
		d.Callers = append(d.Callers, decl.Caller{Name: fmt.Sprint("kiosk-", i), Agency: "batumi-crewing", Weight: 1, KeySHA256: digest, RateLimit: 20, Burst: 40})
	}
	r := config.Record{Revision: 1 << 20, Deployment: d}
	for i := range trailLength {
		r.Trail = append(r.Trail, config.Audit{
			Revision: 1<<20 + int64(i), UnixMilli: 1_800_000_000_000, Operator: "port-operations", From: "10.3.117.200:50000",
			ChangeID: "01JDXW7K3M9Q5V8Z2B4C6D8F0G", Action: config.ActionApply, Outcome: config.OutcomeAccepted,
			Changes: []decl.Change{{Kind: "changed", Object: "caller kiosk-17", Field: "rate_limit", Before: "20", After: "40"}},
		})
	}
	return len(r.Encode()) + grpcOverhead
}
