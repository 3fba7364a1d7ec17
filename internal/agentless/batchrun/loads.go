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
	// tellEvery is how often owners tell each other what they run: three events'
	// time, in which few runs start or end but when a step arrives.
	tellEvery = 100 * time.Millisecond
	// tellRate bounds the bytes a second that a process sends its fellows so; where
	// there are many engines or fellows it tells them less often.
	tellRate = 10_000
	// tellSize and shareSize are about the bytes of a message and of each endpoint
	// in it.
	tellSize, shareSize = 120, 24
	// mostTold bounds what one round of messages holds. Beyond it rounds would be
	// further apart than what was told counts, and nothing is told.
	mostTold = tellRate * int(loadLife/time.Second)
	// loadLife is how long a fellow's load counts.
	loadLife = time.Second
	// tellLimit bounds a call; the next one tells all anew.
	tellLimit = 300 * time.Millisecond
)

// LoadArgs tell an owner what another one runs at the engines of a service.
type LoadArgs struct {
	From    string
	Service string
	Load    schedule.Load
	Shares  map[string]endpoints.ProcessLoad // by endpoint ID
}

// loads are what fellows told of their jobs. They are safe for concurrent use.
type loads struct {
	mu     sync.Mutex
	byName map[string]toldLoad
}

type toldLoad struct {
	at   time.Time
	load schedule.Load
}

func (l *loads) told(now time.Time, from string, load schedule.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byName == nil {
		l.byName = map[string]toldLoad{}
	}
	l.byName[from] = toldLoad{now, load}
}

// others sums up what fellows told lately.
func (l *loads) others(now time.Time) schedule.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := schedule.Load{}
	for from, t := range l.byName {
		if now.Sub(t.at) > loadLife {
			delete(l.byName, from)
			continue
		}
		sum.Merge(t.load)
	}
	return sum
}

// Load implements the call of that name: another owner tells its load.
func (s *Service) Load(args LoadArgs, _ *struct{}) error {
	now := time.Now()
	s.owner.loads.told(now, args.From, args.Load)
	if s.owner.Switches.On(mechanism.ShareLoad) {
		s.owner.Directory.SetReport(now, args.Service, args.From, args.Shares)
	}
	return nil
}

// tellLoads tells fellows of this process's load until ctx ends.
func (o *Owner) tellLoads(ctx context.Context) error {
	if o.OtherOwners == nil {
		return nil
	}
	told := map[string]bool{} // services of which something was told last
	for ctx.Err() == nil {
		bytes := 0
		if o.Switches.On(mechanism.ShareLoad) {
			bytes = o.tellLoad(ctx, told)
		}
		pause(ctx, max(tellEvery, time.Duration(bytes)*time.Second/tellRate))
	}
	return nil
}

// tellLoad tells the load once and returns about how many bytes it sent. A service
// of which there is nothing to tell is told of once more, so that what was told
// before does not go on counting.
func (o *Owner) tellLoad(ctx context.Context, told map[string]bool) (bytes int) {
	table := o.Directory.Table()
	if table == nil {
		return 0
	}
	load := o.survey(table, o.open(), time.Now()).own
	var group errgroup.Group
	for name, service := range table.Declaration.Services {
		if len(service.Models) == 0 {
			continue
		}
		shares := o.Directory.ProcessLoads(name)
		busy := len(shares) > 0 || load.Work > 0
		if !busy && !told[name] {
			continue
		}
		told[name] = busy
		args := LoadArgs{From: o.Name, Service: name, Load: load, Shares: shares}
		fellows := o.OtherOwners(service.Models)
		size := tellSize + shareSize*len(shares)
		if len(fellows)*size > mostTold {
			continue
		}
		for _, fellow := range fellows {
			bytes += size
			group.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, tellLimit)
				defer cancel()
				_ = o.SendLoad(ctx, fellow, args) // one that is not told counts what it knows for a second
				return nil
			})
		}
	}
	_ = group.Wait()
	return bytes
}
