package quarantine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/poison"
)

// Suspect is a request with the reports about it, the oldest first.
type Suspect struct {
	Fingerprint uint64
	Reports     []Report
}

// Quarantined reports whether there are enough reports that processes refuse the request.
func (s *Suspect) Quarantined() bool {
	return len(s.Reports) >= poison.SharedConfig().UnattributedCrashes
}

// List returns the requests under which endpoints ended, by their fingerprints.
func List(ctx context.Context, store kv.TransactionalStore) ([]Suspect, error) {
	page, err := kv.ReadAll(ctx, store, cluster.CrashPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "quarantine: list")
	}
	var all []Suspect
	for _, record := range page.Records { // sorted by key, and so by fingerprint
		r, err := decodeReport(record.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "key %q", record.Key)
		}
		if len(all) == 0 || all[len(all)-1].Fingerprint != r.Fingerprint {
			all = append(all, Suspect{Fingerprint: r.Fingerprint})
		}
		last := &all[len(all)-1]
		last.Reports = append(last.Reports, r)
	}
	for i := range all {
		slices.SortFunc(all[i].Reports, func(a, b Report) int { return cmp.Compare(a.UnixMilli, b.UnixMilli) })
	}
	return all, nil
}

// Standing is what this process knows of a request under which endpoints ended.
type Standing struct {
	Fingerprint  string
	Endpoints    map[string]string // that ended under it, with the process that reported each
	BlockedUntil time.Time         // end of its quarantine; zero: it is only a suspect
	Contested    bool              // another request ran at the same ends
	Running      []string          // endpoints that run copies of it for this process; empty ID: not chosen yet
}

// Status returns the requests under which endpoints ended, sorted by fingerprint.
func (q *Quarantine) Status() []Standing {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make([]Standing, 0, len(q.reports))
	for fingerprint := range q.reports {
		id := requestID(fingerprint)
		all = append(all, Standing{
			Fingerprint: poison.FormatFingerprint(fingerprint), Endpoints: q.endpointsOf(fingerprint),
			BlockedUntil: q.registry.BlockedUntil(now, id), Contested: q.registry.Contested(id), Running: slices.Clone(q.copies[fingerprint]),
		})
	}
	slices.SortFunc(all, func(a, b Standing) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Release removes all reports about a request, so that it may run again, and returns their
// number.
func Release(ctx context.Context, store kv.TransactionalStore, fingerprint uint64) (removed int, err error) {
	page, err := kv.ReadAll(ctx, store, keyPrefix(fingerprint))
	if err != nil {
		return 0, errors.Wrap(err, "quarantine: release")
	}
	for chunk := range slices.Chunk(page.Records, kv.MaxTransactionEntries) {
		t := kv.Transaction{}
		for _, record := range chunk {
			t.Remove = append(t.Remove, record.Key)
		}
		if _, err := store.Commit(ctx, t); err != nil {
			return removed, errors.Wrap(err, "quarantine: release")
		}
		removed += len(chunk)
	}
	return removed, nil
}
