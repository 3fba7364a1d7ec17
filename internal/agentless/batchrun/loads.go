package batchrun

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/schedule"
)

const (
	// loadInterval is how often owners tell each other what they run: three events'
	// time, in which few runs start or end but when a step arrives.
	loadInterval = 100 * time.Millisecond
	// maxLoadRate bounds the bytes a second that a process sends its others so; where
	// there are many engines or others it tells them less often.
	maxLoadRate = 10_000
	// loadMessageBytes and endpointLoadBytes are about the bytes of a message and of each endpoint
	// in it.
	loadMessageBytes, endpointLoadBytes = 120, 24
	// maxRoundBytes bounds what one round of messages holds. Beyond it rounds would be
	// further apart than what was reported counts, and nothing is reported.
	maxRoundBytes = maxLoadRate * int(loadTTL/time.Second)
	// loadTTL is how long a other's load counts.
	loadTTL = time.Second
	// loadTimeout bounds a call; the next one tells all anew.
	loadTimeout = 300 * time.Millisecond
)

// LoadArgs tell an owner what another one runs at the engines of a service.
type LoadArgs struct {
	From    string
	Service string
	Load    schedule.Load
	Shares  map[string]endpoints.ProcessLoad // by endpoint ID
}

// loads are what others reported of their jobs. They are safe for concurrent use.
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

// others sums up what others reported lately.
func (l *reportedLoads) total(now time.Time) schedule.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := schedule.Load{}
	for from, t := range l.byOwner {
		if now.Sub(t.at) > loadTTL {
			delete(l.byOwner, from)
			continue
		}
		sum.Merge(t.load)
	}
	return sum
}

// Load implements the call of that name: another owner tells its load.
func (s *Service) Load(args LoadArgs, _ *struct{}) error {
	now := time.Now()
	s.owner.loads.record(now, args.From, args.Load)
	if s.owner.Switches.On(mechanism.ShareLoad) {
		s.owner.Directory.SetReport(now, args.Service, args.From, args.Shares)
	}
	return nil
}

// tellLoads tells others of this process's load until ctx ends.
func (o *Owner) sendLoads(ctx context.Context) error {
	if o.OtherOwners == nil {
		return nil
	}
	reported := map[string]bool{} // services of which something was reported last
	for ctx.Err() == nil {
		bytes := 0
		if o.Switches.On(mechanism.ShareLoad) {
			bytes = o.sendLoad(ctx, reported)
		}
		pause(ctx, max(loadInterval, time.Duration(bytes)*time.Second/maxLoadRate))
	}
	return nil
}

// tellLoad tells the load once and returns about how many bytes it sent. A service
// of which there is nothing to tell is reported of once more, so that what was reported
// before does not go on counting.
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
		if len(others)*size > maxRoundBytes {
			continue
		}
		for _, other := range others {
			bytes += size
			group.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, loadTimeout)
				defer cancel()
				_ = o.SendLoad(ctx, other, args) // one that is not reported counts what it knows for a second
				return nil
			})
		}
	}
	_ = group.Wait()
	return bytes
}
