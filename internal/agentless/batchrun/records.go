// Package batchrun runs batch jobs: it stores accepted jobs in the platform's key-value store,
// runs each job at one owner, makes results durable before any reader sees them, and moves jobs
// to another process when their owner leaves.
//
// Keys: jobs/ID holds a job's record, spec/ID/NN the parts of its spec, todo/OWNER/ID its
// assignment to an owner, done/ID/NNNNNN its results from that position on. The revision of an
// assignment is the owner's fencing token: every result is written under the condition that the
// assignment still has this revision, so an owner that lost a job can write no more of its
// results. Messages between processes and log fields call the token the mark. A result is listed
// when it is durable and readers may see it.
package batchrun

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
)

// AssignmentsPrefix is the key prefix of the assignments of all owners.
const AssignmentsPrefix = "todo/"

const (
	prefixJobs = "jobs/"
	prefixSpec = "spec/"
	prefixDone = "done/"
)

// Errors of calls on batch jobs.
var (
	// ErrNoJob is returned if the store has no such job.
	ErrNoJob = errors.New("batchrun: no such batch job")
	// ErrNotRun is returned for a submission that was certainly not accepted, or an end that
	// certainly had no effect.
	ErrNotRun = errors.New("batchrun: batch job was not accepted")
	// ErrOutcomeUnknown is returned for a submission or an end that may have taken effect.
	ErrOutcomeUnknown = errors.New("batchrun: outcome is unknown")
	// ErrTooLarge is returned for a job that exceeds the store's limits.
	ErrTooLarge       = errors.New("batchrun: batch job is too large")
	errNotChecked     = errors.New("batchrun: whether the job was accepted before is not known")
	errOwnersFull     = errors.New("batchrun: owners have no memory for the job")
	errNoOwnerAnswers = errors.New("batchrun: no other owner answers")
	// ErrUnavailable is returned if neither the job's owner nor the store answers.
	ErrUnavailable = errors.New("batchrun: neither owner nor store answers")
)

// NotRunError wraps the error of a call that certainly had no effect, or that could not be
// answered, and says when the caller should retry.
type NotRunError struct {
	RetryAfter time.Duration
	Err        error
}

// Error implements the error interface.
func (e *NotRunError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error: ErrNotRun or ErrUnavailable with its cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// jobRecord is the value of the key jobs/ID.
type jobRecord struct {
	Owner     string
	Model     string
	Submitted time.Time
	Total     int
	Parts     int
	Ended     bool
	// Removing means that the job's results and spec are being deleted: for readers it is gone.
	Removing bool
}

// assignmentRecord is the value of the key todo/OWNER/ID.
type assignmentRecord struct {
	Fresh bool // no result is durable yet
}

func jobKey(id string) string            { return prefixJobs + id }
func specPrefix(id string) string        { return prefixSpec + id + "/" }
func specKey(id string, part int) string { return fmt.Sprintf("%s%02d", specPrefix(id), part) }

// AssignmentPrefix returns the key prefix of the assignments of an owner.
func AssignmentPrefix(owner string) string { return AssignmentsPrefix + owner + "/" }

func assignmentKey(owner, id string) string  { return AssignmentPrefix(owner) + id }
func donePrefix(id string) string            { return prefixDone + id + "/" }
func doneKey(id string, position int) string { return fmt.Sprintf("%s%06d", donePrefix(id), position) }

// assignedJob returns the job ID in an assignment's key.
func assignedJob(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// readRecord reads a job's record from the store. The returned kv.Record has revision 0 if
// there is no such job, or if it is being removed.
func readRecord(ctx context.Context, store kv.TransactionalStore, id string) (kv.Record, jobRecord, error) {
	var record jobRecord
	stored, err := store.Read(ctx, jobKey(id))
	if err != nil || stored.Revision == 0 {
		return stored, record, err
	}
	if err := decode(stored.Value, &record); err != nil {
		return stored, record, errors.Wrapf(err, "job %s", id)
	}
	if record.Removing {
		return kv.Record{Key: stored.Key}, jobRecord{}, nil
	}
	return stored, record, nil
}

func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(v)
	return b.Bytes(), errors.Wrap(err, "batchrun: encode")
}

func decode(raw []byte, v any) error {
	return errors.Wrap(gob.NewDecoder(bytes.NewReader(raw)).Decode(v), "batchrun: decode")
}

// specParts encodes a spec and splits it into values that fit into the store.
func specParts(spec *batch.Spec, valueBytes int) ([][]byte, error) {
	w := &partWriter{valueBytes: valueBytes}
	if err := gob.NewEncoder(w).Encode(spec); err != nil {
		return nil, errors.Wrap(err, "batchrun: encode")
	}
	const others = 3 // other entries of the transaction: the expectation, the record and the assignment
	if len(w.parts) > kv.MaxTransactionEntries-others {
		return nil, ErrTooLarge
	}
	return w.parts, nil
}

// partWriter splits what is written into parts of at most valueBytes.
type partWriter struct {
	valueBytes int
	parts      [][]byte
}

// Write implements io.Writer.
func (w *partWriter) Write(p []byte) (int, error) {
	written := len(p)
	for len(p) > 0 {
		last := len(w.parts) - 1
		if last < 0 || len(w.parts[last]) == w.valueBytes {
			w.parts = append(w.parts, nil)
			continue
		}
		n := min(len(p), w.valueBytes-len(w.parts[last]))
		w.parts[last] = append(w.parts[last], p[:n]...)
		p = p[n:]
	}
	return written, nil
}

func joinSpec(records []kv.Record, want int) (*batch.Spec, error) {
	if len(records) != want {
		return nil, errors.Errorf("batchrun: spec has %d of %d parts", len(records), want)
	}
	var raw []byte
	for _, r := range records {
		raw = append(raw, r.Value...)
	}
	spec := &batch.Spec{}
	return spec, decode(raw, spec)
}

func joinDone(records []kv.Record) ([]batch.Result, error) {
	var all []batch.Result
	for _, r := range records {
		var part []batch.Result
		if err := decode(r.Value, &part); err != nil {
			return nil, err
		}
		all = append(all, part...)
	}
	return all, nil
}
