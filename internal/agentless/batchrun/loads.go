package batchrun

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/schedule"
)

const (
	// loadInterval is how often owners send each other their load: the time of three events, in
	// which few runs start or end, except when a step arrives.
	loadInterval = 100 * time.Millisecond
	// maxLoadRate limits the bytes per second of the messages that a process sends to other
	// owners. With many engines or owners they are sent less often.
	maxLoadRate = 10_000
	// loadMessageBytes and endpointLoadBytes are the approximate sizes of a message and of each
	// endpoint in it.
	loadMessageBytes, endpointLoadBytes = 120, 24
	// maxRoundBytes limits the size of one round of messages. Larger rounds would be further
	// apart than loadTTL, and are not sent.
	maxRoundBytes = maxLoadRate * int(loadTTL/time.Second)
	// loadTTL is how long another owner's load stays valid.
	loadTTL = time.Second
	// loadTimeout is the timeout of a call; the next one sends everything again.
	loadTimeout = 300 * time.Millisecond
)

// LoadArgs holds what an owner runs at the engines of a service.
type LoadArgs struct {
	From    string
	Service string
	Load    schedule.Load
	Shares  map[string]endpoints.ProcessLoad // by endpoint ID
	// Speeds holds speeds that the sender measured, encoded by speed.EncodeReports. An older
	// process ignores the field.
	Speeds []byte
}

// reportedLoads holds the loads that other owners sent. It is safe for concurrent use.
type reportedLoads struct {
	mu      sync.Mutex
	byOwner map[string]reportedLoad
}

type reportedLoad struct {
	at   time.Time
	load schedule.Load
}

func (l *reportedLoads) record(now time.Time, from string, load schedule.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byOwner == nil {
		l.byOwner = map[string]reportedLoad{}
	}
	l.byOwner[from] = reportedLoad{now, load}
}

// total returns the sum of the loads that are still valid.
func (l *reportedLoads) total(now time.Time) schedule.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := schedule.Load{}
	for from, reported := range l.byOwner {
		if now.Sub(reported.at) > loadTTL {
			delete(l.byOwner, from)
			continue
		}
		sum.Merge(reported.load)
	}
	return sum
}

// Load records another owner's load. It is called by net/rpc.
func (s *Service) Load(args LoadArgs, _ *struct{}) error {
	now := time.Now()
	if field, value := loadFault(&args.Load); field == "" {
		s.owner.loads.record(now, args.From, args.Load)
	} else {
		s.owner.logLoadFault(now, &args, field, value)
	}
	for id, share := range args.Shares {
		if share.InFlight < 0 || share.Heavy < 0 || !validLoad(share.Burden+burdenTolerance) {
			delete(args.Shares, id)
			s.owner.logLoadFault(now, &args, "Shares", share)
		}
	}
	if s.owner.Switches.On(mechanism.ShareLoad) {
		s.owner.Directory.SetReport(now, args.Service, args.From, args.Shares)
	}
	s.owner.mergeSpeeds(now, &args)
	return nil
}

const (
	// maxLoadValue is the largest accepted value of a load: more events or seconds than any job has.
	maxLoadValue = 1e9
	// burdenTolerance allows for rounding: a burden is a sum to which values were added and from
	// which they were subtracted.
	burdenTolerance = 1e-6
)

func validLoad(value float64) bool { return value >= 0 && value <= maxLoadValue }

// loadFault returns the first field of a load whose value is out of range, or an empty string. A
// value that is not a number would make all weights of this process's runs not a number.
func loadFault(l *schedule.Load) (field string, value any) {
	switch {
	case !validLoad(l.Projected):
		return "Load.Projected", l.Projected
	case !validLoad(l.Work):
		return "Load.Work", l.Work
	case !validLoad(l.Longest):
		return "Load.Longest", l.Longest
	}
	return "", nil
}

func (o *Owner) logLoadFault(now time.Time, args *LoadArgs, field string, value any) {
	if unwritten, ok := o.speeds.mayLog(now, args.From); ok {
		events.LoadNotUsed.Log(o.Log, logrus.Fields{"from": args.From, "service": args.Service, "field": field, "value": fmt.Sprint(value), "unwritten": unwritten})
	}
}

// sendLoads sends this process's load to the other owners until ctx ends.
func (o *Owner) sendLoads(ctx context.Context) error {
	if o.OtherOwners == nil {
		return nil
	}
	reported := map[string]bool{} // services that had a load when they were last reported
	for ctx.Err() == nil {
		bytes := 0
		if o.Switches.On(mechanism.ShareLoad) {
			bytes = o.sendLoad(ctx, reported)
		}
		pause(ctx, max(loadInterval, time.Duration(bytes)*time.Second/maxLoadRate))
	}
	return nil
}

// sendLoad sends the load once and returns the approximate number of bytes. A service whose
// load has dropped to nothing is reported once more, so that its earlier load does not stay
// valid.
func (o *Owner) sendLoad(ctx context.Context, reported map[string]bool) (bytes int) {
	table := o.Directory.Table()
	if table == nil {
		return 0
	}
	load := o.newRound(table, o.openJobs(), time.Now()).own
	var group errgroup.Group
	for name, service := range table.Declaration.Services {
		if len(service.Models) == 0 {
			continue
		}
		shares := o.Directory.ProcessLoads(name)
		busy := len(shares) > 0 || load.Work > 0
		if !busy && !reported[name] {
			continue
		}
		reported[name] = busy
		args := LoadArgs{From: o.Name, Service: name, Load: load, Shares: shares}
		others := o.OtherOwners(service.Models)
		size := loadMessageBytes + endpointLoadBytes*len(shares)
		speeds := o.speedMessages(time.Now(), name, others, size)
		if len(others)*size > maxRoundBytes {
			others = nil
		}
		bytes += len(others) * size
		for _, other := range receivers(others, speeds) {
			args := args
			args.Speeds = speeds[other]
			group.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, loadTimeout)
				defer cancel()
				_ = o.SendLoad(ctx, other, args) // a receiver that is not reached uses the last load until loadTTL is over
				return nil
			})
		}
	}
	_ = group.Wait()
	return bytes
}

// receivers returns the processes that get a message: the other owners, and those that get
// speeds only, as standbys.
func receivers(others []string, speeds map[string][]byte) []string {
	to := slices.Clone(others)
	for name := range speeds {
		if !slices.Contains(others, name) {
			to = append(to, name)
		}
	}
	return to
}
