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
	"golang.org/x/time/rate"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/storepath"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// maxUnknownTries limits the tries to write a submission or an end after the first one whose
	// outcome is unknown. Retries are idempotent because of the transaction's conditions.
	// Submitters give up after little more than a second.
	maxUnknownTries = 10
	// unknownRetryDelay is the delay before a write whose outcome is unknown is retried.
	unknownRetryDelay = 50 * time.Millisecond
	// checksPerSecond limits how often the store is asked whether a job was accepted that is refused
	// now.
	checksPerSecond = 100
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
	checks       *rate.Limiter // of the store for submissions that are refused
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
func (f *Frontend) Register(server *rpc.Server) error {
	if !f.IsHub {
		return nil
	}
	return errors.Wrap(server.RegisterName(hubName, &Hub{frontend: f}), "batchrun")
}

// Submit accepts a job. It returns nil if the job is durable, ErrNotRun if no part of it will
// run, and ErrOutcomeUnknown if the outcome cannot be determined.
func (f *Frontend) Submit(ctx context.Context, spec *batch.Spec) error {
	if f.snapshot(spec.ID) != nil {
		return nil
	}
	parts, err := specParts(spec, f.ValueBytes)
	if err != nil {
		return err
	}
	// From here on the items are held in their encoded form only.
	s := &submission{id: spec.ID, step: spec.Step, size: spec.Size(), record: jobRecord{Model: spec.Model, Submitted: spec.Submitted, Total: len(spec.Items), Parts: len(parts)}, parts: parts}
	err = f.commitWithRetry(ctx, func() (bool, error) { return f.tryAccept(ctx, s) })
	if err == nil {
		events.JobAccepted.Log(f.Log, logrus.Fields{"job": s.id, "items": s.record.Total, "model": s.record.Model, "step": s.step})
		return nil
	}
	events.JobNotAccepted.Log(f.Log, logrus.Fields{"job": s.id, "error": err.Error(), "retry_ms": RetryAfter(err).Milliseconds()})
	return err
}

// submission is a job that is being accepted.
type submission struct {
	id     string
	step   int64
	size   int64     // batch.Spec.Size
	record jobRecord // without its owner
	parts  [][]byte  // the encoded spec
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
func (f *Frontend) tryAccept(ctx context.Context, s *submission) (done bool, err error) {
	owner, err := f.ownerFor(ctx, s)
	if errors.Is(err, errOwnersFull) {
		accepted, checkErr := f.Accepted(ctx, s.id)
		if checkErr != nil || accepted {
			return accepted, checkErr
		}
	}
	if err != nil {
		return false, err
	}
	record := s.record
	record.Owner = owner
	t, err := acceptance(s.id, record, s.parts)
	if err != nil {
		return false, err
	}
	committed, err := f.Store.Commit(ctx, t)
	if err != nil {
		return false, err
	}
	if committed.Done {
		f.remember(s.id, record)
		f.notifyAccepted(owner, s.id, committed.Revision)
		return true, nil
	}
	return f.acceptedBefore(ctx, s.id)
}

// Accepted returns whether a job was accepted, by this process or another one. It asks the store a limited
// number of times a second, as submissions that are refused may be many. The error says that it is not
// known.
func (f *Frontend) Accepted(ctx context.Context, id string) (bool, error) {
	if f.snapshot(id) != nil {
		return true, nil
	}
	if !f.allowCheck() {
		return false, errNotChecked
	}
	stored, _, err := f.fetchRecord(ctx, id)
	if err != nil {
		return false, errors.Wrap(errNotChecked, err.Error())
	}
	return stored.Revision != 0, nil
}

// allowCheck returns whether the store may be asked for another job.
func (f *Frontend) allowCheck() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checks == nil {
		f.checks = rate.NewLimiter(checksPerSecond, checksPerSecond)
	}
	return f.checks.Allow()
}

// acceptedBefore reports whether a job whose record exists was accepted. The record of an old job
// with the same ID may still be there although the job is being removed.
func (f *Frontend) acceptedBefore(ctx context.Context, id string) (bool, error) {
	stored, _, err := f.fetchRecord(ctx, id)
	switch {
	case err != nil:
		return false, errors.Wrap(kv.ErrUnknown, err.Error()) // it may have been accepted
	case stored.Revision == 0:
		return false, errors.Wrap(kv.ErrUnavailable, "an old job with this ID is being removed")
	default:
		return true, nil
	}
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
func (f *Frontend) commitWithRetry(ctx context.Context, try func() (bool, error)) error {
	began := time.Now()
	unknownTries := 0 // tries from the first one whose outcome is unknown
	var last error
	for unknownTries < maxUnknownTries {
		done, err := try()
		if err == nil && done {
			return nil
		}
		last = err
		if errors.Is(err, errNotChecked) {
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
		if unknownTries == 0 && errors.Is(err, errOwnersFull) {
			break // nothing is free in a moment
		}
		if unknownTries > 0 || errors.Is(err, kv.ErrUnknown) {
			unknownTries++
		}
		wait := unknownRetryDelay
		if unknownTries == 0 {
			wait = f.retryDelay(began, err)
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
func (f *Frontend) retryDelay(began time.Time, err error) time.Duration {
	unreachable := f.Unreachable != nil && errors.Is(err, kv.ErrUnavailable) && f.Unreachable()
	if time.Since(began) < storepath.HoldDuration(unreachable) {
		return storepath.HoldRetryInterval
	}
	return 0
}

// End ends a job. It returns nil if the end is durable.
func (f *Frontend) End(ctx context.Context, id string) error {
	if known := f.snapshot(id); known != nil && known.record.Ended {
		return nil
	}
	missing, asked := false, false
	err := f.commitWithRetry(ctx, func() (bool, error) {
		if !asked {
			asked = true
			if done, err := f.endAtOwner(ctx, id); done || err != nil {
				return done, err
			}
		}
		done, found, err := f.tryEnd(ctx, id)
		missing = err == nil && !found
		return done || missing, err
	})
	switch {
	case missing:
		return ErrNoJob
	case err == nil:
		events.JobEnded.Log(f.Log, logrus.Fields{"job": id})
	}
	return err
}

// endAtOwner ends a job under the fencing token that its owner reports. That avoids reading the
// record, because every change of the record also changes the assignment. done is false if no
// owner knows the job, or if it was moved meanwhile.
func (f *Frontend) endAtOwner(ctx context.Context, id string) (done bool, err error) {
	owner, found := f.likelyOwner(ctx, id)
	if !found {
		return false, nil
	}
	status, err := f.queryStatus(ctx, owner, id)
	switch {
	case err != nil:
		return false, nil // fall back to the store
	case status.Ended:
		return true, nil // not cached, because the rest of the record is unknown
	case !status.Owned:
		return false, nil
	}
	expect := kv.Expectation{Key: assignmentKey(owner, id), Revision: status.Mark}
	return f.commitEnd(ctx, id, status.Record, expect)
}

func (f *Frontend) queryStatus(ctx context.Context, owner, id string) (StandingReply, error) {
	return callOwner(ctx, f, owner, callStanding, 0, StandingArgs{Job: id}, func() StandingReply { return f.Local.jobStatus(id) })
}

// commitEnd writes a job's end under an expectation that holds only while the record is as
// given.
func (f *Frontend) commitEnd(ctx context.Context, id string, record jobRecord, expect kv.Expectation) (done bool, err error) {
	record.Ended = true
	raw, err := encode(record)
	if err != nil {
		return false, err
	}
	committed, err := f.Store.Commit(ctx, kv.Transaction{
		Expect: []kv.Expectation{expect},
		Puts:   []kv.Put{{Key: jobKey(id), Value: raw}},
		Remove: []string{assignmentKey(record.Owner, id)},
	})
	if err != nil || !committed.Done {
		return false, err
	}
	f.remember(id, record)
	f.notifyOwner(record.Owner, callEnded, AssignmentArgs{Job: id, Revision: committed.Revision})
	return true, nil
}

func (f *Frontend) tryEnd(ctx context.Context, id string) (done, found bool, err error) {
	stored, record, err := f.fetchRecord(ctx, id)
	if err != nil || stored.Revision == 0 {
		return false, false, err
	}
	if record.Ended {
		return true, true, nil
	}
	done, err = f.commitEnd(ctx, id, record, kv.Expectation{Key: jobKey(id), Revision: stored.Revision})
	if err == nil && !done {
		err = errors.Wrap(kv.ErrUnknown, "the job changed concurrently") // read it again
	}
	return done, true, err
}

// NotifyMoved notifies a job's new owner of its assignment.
func (f *Frontend) NotifyMoved(owner, job string, revision int64) {
	f.notifyOwner(owner, callMarked, AssignmentArgs{Job: job, Revision: revision, Begun: true})
}

// NotifyLoading notifies the owner of a model's jobs that an endpoint was ordered to load
// weights of the model. A lost notification costs a few refused requests.
func (f *Frontend) NotifyLoading(args LoadingArgs) {
	members := f.Members.Owners()
	if len(members) == 0 {
		return
	}
	owner := newOwnerChooser(f.Models).choose(args.Model, members)
	go func() {
		_ = f.notify(owner, callLoading, args, logrus.Fields{"endpoint": args.Endpoint, "model": args.Model}, func() { f.Local.markLoading(args) })
	}()
}

// OtherOwners returns the other processes that own jobs of these models.
func (f *Frontend) OtherOwners(models []string) []string {
	return slices.DeleteFunc(f.ownersOf(models), func(name string) bool { return name == f.Local.Name })
}

// ownersOf returns the processes that own jobs of these models, each once.
func (f *Frontend) ownersOf(models []string) []string {
	members := f.Members.Owners()
	if len(members) == 0 {
		return nil
	}
	var names []string
	for _, model := range models {
		if name := newOwnerChooser(f.Models).choose(model, members); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// SendLoad sends this process's load to another process.
func (f *Frontend) SendLoad(ctx context.Context, to string, args LoadArgs) error {
	return f.call(ctx, to, callLoad, 0, args, &struct{}{})
}

// StandbyFor returns the process that would own a job of this process if this one were gone.
func (f *Frontend) StandbyFor(model, job string) (name string, found bool) {
	others := without(f.responsive(f.Members.Owners()), f.Local.Name)
	if len(others) == 0 {
		return "", false
	}
	return newOwnerChooser(f.Models).choose(affinityKey(model, job), others), true
}

// SendCopy sends new events of a job's texts to a process. lacking is true if the receiver
// needs all events.
func (f *Frontend) SendCopy(ctx context.Context, to string, args CopyArgs) (lacking bool, err error) {
	var reply CopyReply
	if err := f.call(ctx, to, callCopy, 0, args, &reply); err != nil {
		return false, err // a late answer may still write to the reply
	}
	return reply.Lacking, nil
}

// FetchTexts asks the other workers for a job's texts and returns the answers that arrive
// before ctx ends. Workers that are leaving are asked too: one of them may have had the job.
func (f *Frontend) FetchTexts(ctx context.Context, job string) [][]byte {
	others := f.otherWorkers()
	for len(others) == 0 && ctx.Err() == nil {
		pause(ctx, workersRetryDelay) // this process has just started
		others = f.otherWorkers()
	}
	answers := make(chan []byte, len(others))
	for _, other := range others {
		go func() {
			var reply TextsReply
			if err := f.call(ctx, other.Name, callTexts, 0, TextsArgs{Job: job}, &reply); err != nil {
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

func (f *Frontend) otherWorkers() []cluster.Member {
	var workers []cluster.Member
	for _, m := range without(f.Members.Live(), f.Local.Name) {
		if m.Worker {
			workers = append(workers, m)
		}
	}
	return workers
}

// notifyOwner notifies an owner, without blocking, of a change that its watch would report
// later.
func (f *Frontend) notifyOwner(owner, method string, args AssignmentArgs) {
	go func() { _ = f.sendNotification(owner, method, args) }()
}

// sendNotification notifies an owner of a changed assignment and returns the error of the call.
func (f *Frontend) sendNotification(owner, method string, args AssignmentArgs) error {
	fields := logrus.Fields{"job": args.Job, "revision": args.Revision}
	return f.notify(owner, method, args, fields, func() { f.Local.handleNotification(method, args) })
}

// notify calls a method of an owner that has no result, or local if the owner is this process.
// It logs a failed call with the given fields.
func (f *Frontend) notify(owner, method string, args any, fields logrus.Fields, local func()) error {
	_, err := callOwner(context.Background(), f, owner, method, 0, args, func() struct{} {
		local()
		return struct{}{}
	})
	if err != nil {
		fields["owner"], fields["error"] = owner, err.Error()
		events.OwnerNotNotified.Log(f.Log, fields)
	}
	return err
}

// fetchRecord reads a job's record from the store and caches it.
func (f *Frontend) fetchRecord(ctx context.Context, id string) (kv.Record, jobRecord, error) {
	stored, record, err := readRecord(ctx, f.Store, id)
	if err == nil && stored.Revision != 0 {
		f.remember(id, record)
	}
	return stored, record, err
}

func (f *Frontend) remember(id string, record jobRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known == nil {
		f.known = map[string]*knownJob{}
	}
	known := f.known[id]
	if known == nil {
		known = &knownJob{}
		f.known[id] = known
		f.forgetOldest()
	}
	ended := known.record.Ended
	known.record = record
	known.record.Ended = ended || record.Ended
}

func (f *Frontend) forgetOldest() {
	for len(f.known) > maxKnownJobs {
		oldest := ""
		for id, k := range f.known {
			if oldest == "" || k.record.Submitted.Before(f.known[oldest].record.Submitted) {
				oldest = id
			}
		}
		delete(f.known, oldest)
	}
}
