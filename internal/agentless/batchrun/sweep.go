package batchrun

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
)

const (
	// sweepInterval is the interval between sweeps. Each lists the jobs once.
	sweepInterval = time.Minute
	// clockSkew is the largest difference between the clocks of two machines. It lies far above
	// the seconds by which they differ.
	clockSkew = 30 * time.Second
)

// Sweeper removes jobs from the store that were ended and whose results need no longer be
// readable. Otherwise the store would grow with every job. batch.Retention decides.
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
	retention := batch.Retention{ResultTTL: s.ResultTTL, ClockSkew: clockSkew}
	for _, r := range page.Records {
		var record jobRecord
		if err := decode(r.Value, &record); err != nil {
			events.JobUnreadable.Log(s.Log, logrus.Fields{"key": r.Key, "error": err.Error()})
			continue
		}
		removal := retention.Decide(now, record.Submitted, record.Ended)
		if removal == batch.Keep && !record.Removing {
			continue
		}
		id := r.Key[len(prefixJobs):]
		removed, err := s.remove(ctx, id, record, r.Revision)
		if err != nil {
			return
		}
		if removed {
			events.JobSwept.Log(s.Log, logrus.Fields{"job": id, "submitted": record.Submitted, "abandoned": removal == batch.RemoveAbandoned})
		}
	}
}

// remove deletes a job on condition that its record still has the given revision, and reports
// whether it did. The job is either gone as a whole or still there for every reader: one
// transaction removes it or, if it has too many keys or its owner may still write results, marks
// it as being removed first. If this process stops in between, the next sweep removes the rest.
func (s *Sweeper) remove(ctx context.Context, id string, record jobRecord, revision int64) (removed bool, err error) {
	parts, err := s.partKeys(ctx, id)
	if err != nil {
		return false, err
	}
	const others = 3 // other entries of the transaction: the expectation, the record and the assignment
	if !record.Ended || len(parts) > kv.MaxTransactionEntries-others {
		if revision, err = s.removeParts(ctx, id, record, revision); err != nil || revision == 0 {
			return false, err
		}
		parts = nil
	}
	return s.commit(ctx, id, revision, append(parts, jobKey(id), assignmentKey(record.Owner, id)))
}

// partKeys returns the keys of a job's results and spec.
func (s *Sweeper) partKeys(ctx context.Context, id string) ([]string, error) {
	var keys []string
	for _, prefix := range []string{donePrefix(id), specPrefix(id)} {
		page, err := kv.ReadAll(ctx, s.Store, prefix)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			keys = append(keys, r.Key)
		}
	}
	return keys, nil
}

// removeParts marks a job as being removed and deletes its parts. It returns the revision of the
// mark, or 0 if the job was changed meanwhile.
func (s *Sweeper) removeParts(ctx context.Context, id string, record jobRecord, revision int64) (int64, error) {
	if !record.Removing {
		record.Removing = true
		raw, err := encode(record)
		if err != nil {
			return 0, err
		}
		marked, err := s.Store.Commit(ctx, kv.Transaction{
			Expect: []kv.Expectation{{Key: jobKey(id), Revision: revision}},
			Puts:   []kv.Put{{Key: jobKey(id), Value: raw}},
			Remove: []string{assignmentKey(record.Owner, id)},
		})
		if err != nil || !marked.Done {
			return 0, err
		}
		revision = marked.Revision
	}
	parts, err := s.partKeys(ctx, id) // an owner writes none after the mark
	if err != nil {
		return 0, err
	}
	for chunk := range slices.Chunk(parts, kv.MaxTransactionEntries-1) {
		if done, err := s.commit(ctx, id, revision, chunk); err != nil || !done {
			return 0, err
		}
	}
	return revision, nil
}

// commit deletes keys on condition that the job's record has the given revision.
func (s *Sweeper) commit(ctx context.Context, id string, revision int64, remove []string) (done bool, err error) {
	committed, err := s.Store.Commit(ctx, kv.Transaction{Expect: []kv.Expectation{{Key: jobKey(id), Revision: revision}}, Remove: remove})
	return committed.Done, err
}
