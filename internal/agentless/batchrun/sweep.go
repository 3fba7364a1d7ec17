package batchrun

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
)

const (
	// sweepInterval is the interval between sweeps. Each lists the jobs once.
	sweepInterval = time.Minute
	// sweepSlack is added to ResultTTL before a job is removed: the machines' clocks differ by
	// seconds.
	sweepSlack = 30 * time.Second
)

// Sweeper removes jobs from the store when their results need no longer be readable. Otherwise
// the store would grow with every job.
type Sweeper struct {
	Store     kv.TransactionalStore
	ResultTTL time.Duration // how long results stay readable after submission
	Log       *logrus.Logger
	// ShouldSweep reports whether this process is the one that sweeps.
	ShouldSweep func() bool
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, sweepInterval)
		if ctx.Err() == nil && s.ShouldSweep() {
			s.sweep(ctx, time.Now())
		}
	}
	return nil
}

func (s *Sweeper) sweep(ctx context.Context, now time.Time) {
	page, err := kv.ReadAll(ctx, s.Store, prefixJobs)
	if err != nil {
		return // the next sweep retries
	}
	for _, r := range page.Records {
		var record jobRecord
		if err := decode(r.Value, &record); err != nil {
			events.JobUnreadable.Log(s.Log, logrus.Fields{"key": r.Key, "error": err.Error()})
			continue
		}
		if now.Sub(record.Submitted) < s.ResultTTL+sweepSlack {
			continue
		}
		id := r.Key[len(prefixJobs):]
		if err := s.remove(ctx, id, record, r.Revision); err != nil {
			return
		}
		events.JobSwept.Log(s.Log, logrus.Fields{"job": id, "submitted": record.Submitted})
	}
}

// remove deletes a job's assignment, results and spec, and its record last: if this process
// stops in between, the next sweep removes the rest.
func (s *Sweeper) remove(ctx context.Context, id string, record jobRecord, revision int64) error {
	keys := []string{assignmentKey(record.Owner, id)}
	for _, prefix := range []string{donePrefix(id), specPrefix(id)} {
		page, err := kv.ReadAll(ctx, s.Store, prefix)
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			keys = append(keys, r.Key)
		}
	}
	for len(keys) > 0 {
		n := min(len(keys), kv.MaxTransactionEntries-1)
		if _, err := s.Store.Commit(ctx, kv.Transaction{Remove: keys[:n]}); err != nil {
			return err
		}
		keys = keys[n:]
	}
	_, err := s.Store.Commit(ctx, kv.Transaction{Expect: []kv.Expectation{{Key: jobKey(id), Revision: revision}}, Remove: []string{jobKey(id)}})
	return err
}
