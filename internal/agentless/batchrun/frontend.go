package batchrun

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/storepath"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// maxUnknownTries limits the retries of a submission or an end whose outcome is unknown.
	// Retries are idempotent because of their conditions. Submitters give up after little more
	// than a second.
	maxUnknownTries = 10
	// unknownRetryDelay is the delay before such a retry.
	unknownRetryDelay = 50 * time.Millisecond
	// maxKnownJobs limits the jobs of other processes whose records are cached.
	maxKnownJobs = 64
	// storePollInterval is the interval at which the store is polled for new results while the
	// owner does not answer.
	storePollInterval = 400 * time.Millisecond
)

// Frontend handles calls on batch jobs at any process: it forwards them to the job's owner or
// answers them from the store. It is safe for concurrent use.
type Frontend struct {
	Store      kv.TransactionalStore
	Members    *cluster.Members
	Peers      *rpcpool.Pool
	Local      *Owner
	Log        *logrus.Logger
	ValueBytes int
	// Models returns the models that jobs exist for; it may be nil.
	Models func() []string
	// Unreachable reports whether no process seems to reach the store; nil means that some
	// process does.
	Unreachable func() bool

	// Domain is this process's failure domain. If IsHub is set, this process reads results for
	// the other processes of the domain.
	Domain string
	IsHub  bool

	cache resultCache

	mu           sync.Mutex
	known        map[string]*knownJob
	unresponsive map[string]time.Time // owners that did not answer, with the time of the failed call
}

// knownJob is what this process has cached of a job.
type knownJob struct {
	record  jobRecord
	results []batch.Result // read from the store; a prefix of all results
	lastKey string         // key of the last chunk in results
}

// Register registers the calls that a hub serves for other processes.
func (d *Frontend) Register(server *rpc.Server) error {
	if !d.IsHub {
		return nil
	}
	return errors.Wrap(server.RegisterName(hubName, &Hub{frontend: d}), "batchrun")
}

// Submit accepts a job. It returns nil if the job is durable, ErrNotRun if no part of it will
// run, and ErrOutcomeUnknown if the outcome cannot be determined.
func (d *Frontend) Submit(ctx context.Context, spec *batch.Spec) error {
	if d.snapshot(spec.ID) != nil {
		return nil
	}
	parts, err := specParts(spec, d.ValueBytes)
	if err != nil {
		return err
	}
	err = d.commitWithRetry(ctx, func() (bool, error) { return d.tryAccept(ctx, spec, parts) })
	if err == nil {
		events.JobAccepted.Log(d.Log, logrus.Fields{"job": spec.ID, "items": len(spec.Items), "model": spec.Model, "step": spec.Step})
		return nil
	}
	events.JobRefused.Log(d.Log, logrus.Fields{"job": spec.ID, "error": err.Error(), "retry_ms": RetryAfter(err).Milliseconds()})
	return err
}

// withRetryAfter wraps an error with the delay after which the caller should retry.
func withRetryAfter(err error) error {
	return &NotRunError{RetryAfter: storepath.RetryAfter(rand.Float64()), Err: err}
}

// RetryAfter returns the delay after which the caller that gets this error should retry.
func RetryAfter(err error) time.Duration {
	var refused *NotRunError
	if errors.As(err, &refused) {
		return refused.RetryAfter
	}
	return storepath.RetryAfter(rand.Float64())
}

// tryAccept writes the job once. done is true if the job is in the store, written by this try
// or an earlier one.
func (d *Frontend) tryAccept(ctx context.Context, spec *batch.Spec, parts [][]byte) (done bool, err error) {
	owner, found := d.ownerFor(ctx, affinityKey(spec.Model, spec.ID))
	if !found {
		return false, errors.Wrap(kv.ErrUnavailable, "no process can own the job")
	}
	record := jobRecord{Owner: owner, Model: spec.Model, Submitted: spec.Submitted, Total: len(spec.Items), Parts: len(parts)}
	t, err := acceptance(spec.ID, record, parts)
	if err != nil {
		return false, err
	}
	committed, err := d.Store.Commit(ctx, t)
	if err != nil {
		return false, err
	}
	if committed.Done {
		d.remember(spec.ID, record)
		d.notifyAccepted(owner, spec.ID, committed.Revision)
	}
	return true, nil // otherwise the key exists: the job was accepted before
}

// acceptance returns the transaction that stores a new job with its assignment.
func acceptance(id string, record jobRecord, parts [][]byte) (kv.Transaction, error) {
	raw, err := encode(record)
	if err != nil {
		return kv.Transaction{}, err
	}
	assignment, err := encode(assignmentRecord{Fresh: true})
	if err != nil {
		return kv.Transaction{}, err
	}
	t := kv.Transaction{
		Expect: []kv.Expectation{{Key: jobKey(id)}},
		Puts:   []kv.Put{{Key: jobKey(id), Value: raw}, {Key: assignmentKey(record.Owner, id), Value: assignment}},
	}
	for i, part := range parts {
		t.Puts = append(t.Puts, kv.Put{Key: specKey(id, i), Value: part})
	}
	return t, nil
}

// commitWithRetry retries a conditional write until its outcome is known, or for a while if no
// process reaches the store. Once a try may have taken effect, a later refusal no longer means
// that the write had no effect.
func (d *Frontend) commitWithRetry(ctx context.Context, try func() (bool, error)) error {
	began := time.Now()
	unknownTries := 0 // tries from the first one whose outcome is unknown
	var last error
	for unknownTries < maxUnknownTries {
		done, err := try()
		if err == nil && done {
			return nil
		}
		last = err
		if unknownTries > 0 || errors.Is(err, kv.ErrUnknown) {
			unknownTries++
		}
		wait := unknownRetryDelay
		if unknownTries == 0 {
			wait = d.retryDelay(began, err)
		}
		if wait == 0 || ctx.Err() != nil {
			break
		}
		pause(ctx, wait)
	}
	if unknownTries > 0 {
		return errors.Wrap(ErrOutcomeUnknown, last.Error())
	}
	return withRetryAfter(errors.Wrap(ErrNotRun, last.Error()))
}

// retryDelay returns the delay before a write that certainly had no effect is retried, or 0 if
// it must not be retried.
func (d *Frontend) retryDelay(began time.Time, err error) time.Duration {
	unreachable := d.Unreachable != nil && errors.Is(err, kv.ErrUnavailable) && d.Unreachable()
	if time.Since(began) < storepath.HoldDuration(unreachable) {
		return storepath.HoldRetryInterval
	}
	return 0
}

// End ends a job. It returns nil if the end is durable.
func (d *Frontend) End(ctx context.Context, id string) error {
	if known := d.snapshot(id); known != nil && known.record.Ended {
		return nil
	}
	missing, asked := false, false
	err := d.commitWithRetry(ctx, func() (bool, error) {
		if !asked {
			asked = true
			if done, err := d.endAtOwner(ctx, id); done || err != nil {
				return done, err
			}
		}
		done, found, err := d.tryEnd(ctx, id)
		missing = err == nil && !found
		return done || missing, err
	})
	switch {
	case missing:
		return ErrNoJob
	case err == nil:
		events.JobEnded.Log(d.Log, logrus.Fields{"job": id})
	}
	return err
}

// endAtOwner ends a job under the mark that its owner reports, which avoids reading the record:
// every change of the record also changes the assignment. done is false if no owner knows the
// job, or if it was moved meanwhile.
func (d *Frontend) endAtOwner(ctx context.Context, id string) (done bool, err error) {
	owner, found := d.likelyOwner(ctx, id)
	if !found {
		return false, nil
	}
	status, err := d.queryStatus(ctx, owner, id)
	switch {
	case err != nil:
		return false, nil // fall back to the store
	case status.Ended:
		return true, nil // not cached, because the rest of the record is unknown
	case !status.Owned:
		return false, nil
	}
	expect := kv.Expectation{Key: assignmentKey(owner, id), Revision: status.Mark}
	return d.commitEnd(ctx, id, status.Record, expect)
}

func (d *Frontend) queryStatus(ctx context.Context, owner, id string) (StandingReply, error) {
	return callOwner(ctx, d, owner, callStanding, 0, StandingArgs{Job: id}, func() StandingReply { return d.Local.jobStatus(id) })
}

// commitEnd writes a job's end under an expectation that holds only while the record is as
// given.
func (d *Frontend) commitEnd(ctx context.Context, id string, record jobRecord, expect kv.Expectation) (done bool, err error) {
	record.Ended = true
	raw, err := encode(record)
	if err != nil {
		return false, err
	}
	committed, err := d.Store.Commit(ctx, kv.Transaction{
		Expect: []kv.Expectation{expect},
		Puts:   []kv.Put{{Key: jobKey(id), Value: raw}},
		Remove: []string{assignmentKey(record.Owner, id)},
	})
	if err != nil || !committed.Done {
		return false, err
	}
	d.remember(id, record)
	d.notifyOwner(record.Owner, callEnded, AssignmentArgs{Job: id, Revision: committed.Revision})
	return true, nil
}

func (d *Frontend) tryEnd(ctx context.Context, id string) (done, found bool, err error) {
	stored, record, err := d.fetchRecord(ctx, id)
	if err != nil || stored.Revision == 0 {
		return false, false, err
	}
	if record.Ended {
		return true, true, nil
	}
	done, err = d.commitEnd(ctx, id, record, kv.Expectation{Key: jobKey(id), Revision: stored.Revision})
	if err == nil && !done {
		err = errors.Wrap(kv.ErrUnknown, "the job changed concurrently") // read it again
	}
	return done, true, err
}

// NotifyMoved notifies a job's new owner of its assignment.
func (d *Frontend) NotifyMoved(owner, job string, revision int64) {
	d.notifyOwner(owner, callMarked, AssignmentArgs{Job: job, Revision: revision, Begun: true})
}

// NotifyLoading notifies the owner of a model's jobs that an endpoint was ordered to load
// weights of the model. A lost notification costs a few refused requests.
func (d *Frontend) NotifyLoading(args LoadingArgs) {
	members := d.Members.Owners()
	if len(members) == 0 {
		return
	}
	owner := newOwnerChooser(d.Models).choose(args.Model, members)
	go func() {
		_ = d.notify(owner, callLoading, args, logrus.Fields{"endpoint": args.Endpoint, "model": args.Model}, func() { d.Local.markLoading(args) })
	}()
}

// OtherOwners returns the other processes that own jobs of these models.
func (d *Frontend) OtherOwners(models []string) []string {
	return slices.DeleteFunc(d.ownersOf(models), func(name string) bool { return name == d.Local.Name })
}

// ownersOf returns the processes that own jobs of these models, each once.
func (d *Frontend) ownersOf(models []string) []string {
	members := d.Members.Owners()
	if len(members) == 0 {
		return nil
	}
	var names []string
	for _, model := range models {
		if name := newOwnerChooser(d.Models).choose(model, members); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// SendLoad sends this process's load to another process.
func (d *Frontend) SendLoad(ctx context.Context, to string, args LoadArgs) error {
	return d.call(ctx, to, callLoad, 0, args, &struct{}{})
}

// StandbyFor returns the process that would own a job of this process if this one were gone.
func (d *Frontend) StandbyFor(model, job string) (name string, found bool) {
	others := without(d.responsive(d.Members.Owners()), d.Local.Name)
	if len(others) == 0 {
		return "", false
	}
	return newOwnerChooser(d.Models).choose(affinityKey(model, job), others), true
}

// SendCopy sends new events of a job's texts to a process. lacking is true if the receiver
// needs all events.
func (d *Frontend) SendCopy(ctx context.Context, to string, args CopyArgs) (lacking bool, err error) {
	var reply CopyReply
	if err := d.call(ctx, to, callCopy, 0, args, &reply); err != nil {
		return false, err // a late answer may still write to the reply
	}
	return reply.Lacking, nil
}

// FetchTexts asks the other workers for a job's texts and returns the answers that arrive
// before ctx ends. Workers that are leaving are asked too: one of them may have had the job.
func (d *Frontend) FetchTexts(ctx context.Context, job string) [][]byte {
	others := d.otherWorkers()
	for len(others) == 0 && ctx.Err() == nil {
		pause(ctx, workersRetryDelay) // this process has just started
		others = d.otherWorkers()
	}
	answers := make(chan []byte, len(others))
	for _, other := range others {
		go func() {
			var reply TextsReply
			if err := d.call(ctx, other.Name, callTexts, 0, TextsArgs{Job: job}, &reply); err != nil {
				answers <- nil
				return
			}
			answers <- reply.Raw
		}()
	}
	var texts [][]byte
	for range others {
		select {
		case raw := <-answers:
			if raw != nil {
				texts = append(texts, raw)
			}
		case <-ctx.Done():
			return texts
		}
	}
	return texts
}

func (d *Frontend) otherWorkers() []cluster.Member {
	var workers []cluster.Member
	for _, m := range without(d.Members.Live(), d.Local.Name) {
		if m.Worker {
			workers = append(workers, m)
		}
	}
	return workers
}

// notifyOwner notifies an owner, without blocking, of a change that its watch would report
// later.
func (d *Frontend) notifyOwner(owner, method string, args AssignmentArgs) {
	go func() { _ = d.sendMark(owner, method, args) }()
}

// sendMark notifies an owner and returns the error of the call.
func (d *Frontend) sendMark(owner, method string, args AssignmentArgs) error {
	fields := logrus.Fields{"job": args.Job, "revision": args.Revision}
	return d.notify(owner, method, args, fields, func() { d.Local.handleMark(method, args) })
}

// notify calls a method of an owner that has no result, or local if the owner is this process.
// It logs a failed call with the given fields.
func (d *Frontend) notify(owner, method string, args any, fields logrus.Fields, local func()) error {
	_, err := callOwner(context.Background(), d, owner, method, 0, args, func() struct{} {
		local()
		return struct{}{}
	})
	if err != nil {
		fields["owner"], fields["error"] = owner, err.Error()
		events.OwnerNotTold.Log(d.Log, fields)
	}
	return err
}

// fetchRecord reads a job's record from the store and caches it.
func (d *Frontend) fetchRecord(ctx context.Context, id string) (kv.Record, jobRecord, error) {
	stored, record, err := readRecord(ctx, d.Store, id)
	if err == nil && stored.Revision != 0 {
		d.remember(id, record)
	}
	return stored, record, err
}

func (d *Frontend) remember(id string, record jobRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known == nil {
		d.known = map[string]*knownJob{}
	}
	known := d.known[id]
	if known == nil {
		known = &knownJob{}
		d.known[id] = known
		d.forgetOldest()
	}
	ended := known.record.Ended
	known.record = record
	known.record.Ended = ended || record.Ended
}

func (d *Frontend) forgetOldest() {
	for len(d.known) > maxKnownJobs {
		oldest := ""
		for id, k := range d.known {
			if oldest == "" || k.record.Submitted.Before(d.known[oldest].record.Submitted) {
				oldest = id
			}
		}
		delete(d.known, oldest)
	}
}
