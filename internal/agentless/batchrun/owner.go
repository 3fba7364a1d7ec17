package batchrun

import (
	"context"
	"net/rpc"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/agentless/textlog"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/schedule"
)

const (
	// dispatchInterval is how often the dispatcher examines waiting items if no change wakes it.
	dispatchInterval = 25 * time.Millisecond
	// minWriteInterval is the least time between two writes of a job's results. A result that
	// completes its group later than that, as a straggler's does, is written at once. Readers
	// poll twice a second, and at this interval a job costs at most four writes a second.
	minWriteInterval = 250 * time.Millisecond
	// AssignmentsWatchTimeout is the long-poll timeout of a watch of the assignments.
	// Processes that accept, end or move a job notify its owner by a call; the watch covers
	// calls that failed, as those from an entry that is partitioned from all workers. The watch
	// reports changes at once, but those that a store withheld from it are found only by its
	// next call: items of a job whose end was acknowledged have three seconds to stop.
	AssignmentsWatchTimeout = 2 * time.Second
	// writeRetryDelay is the delay before a failed write is retried.
	writeRetryDelay = 200 * time.Millisecond
)

// Owner runs the jobs that are assigned to this process. It is safe for concurrent use.
type Owner struct {
	Name       string // of this process
	Store      kv.TransactionalStore
	Directory  *directory.Directory
	Sender     dispatch.Sender
	Log        *logrus.Logger
	ResultTTL  time.Duration // how long results stay readable after submission
	Memory     int64         // bytes that this process may use; 0: not bounded
	RetryDelay time.Duration // delay before a failed write of results is retried; 0: writeRetryDelay
	Registry   metrics.Registry

	Switches   *mechanism.Switches
	Quarantine *quarantine.Quarantine // learns how runs and scoring calls ended, which it never refuses; may be nil
	Texts      *textlog.Log           // stores partial texts on disk; nil: they are not stored
	Copier     *Copier                // replicates partial texts to a standby; its functions may be nil
	Standby    *Standby               // takes over jobs of other owners that are lost
	// Shares limits the scoring calls at services that are under pressure; nil: scoring calls use
	// a fixed part of the slots.
	Shares Shares
	// OtherOwners returns the other processes that own jobs of these models; nil means that
	// there are none.
	OtherOwners func(models []string) []string
	// SendLoad sends this process's load to another process.
	SendLoad func(ctx context.Context, to string, args LoadArgs) error
	// FetchTexts asks other processes for a job's texts; it may be nil.
	FetchTexts func(ctx context.Context, job string) [][]byte

	// OwnershipCertain reports whether no process can have moved this process's jobs without
	// its knowledge; nil means always.
	OwnershipCertain func() bool
	// Ineligible reports whether no job will be assigned to this process because there are
	// others to own them; nil means never.
	Ineligible func() bool
	// OnAdopt is called with the spec of each adopted job; it may be nil.
	OnAdopt  func(*batch.Spec)
	lifetime context.Context // the context of Run

	mu             sync.Mutex
	jobs           map[string]*ownedJob
	admission      *batch.Admission
	loadingTokens  map[string]int64 // fencing token under which a job is being loaded, by job
	former         *formerJobs
	lengths        map[string]*sharedLengths // by model
	loads          reportedLoads
	speeds         speedExchange
	wake           chan struct{}
	storeRecovered chan struct{} // closed and replaced when the store answers again
	runs           errgroup.Group
	stats          stats

	running chan struct{} // closed when Run has started

	scoreTimes  scoreTimes
	scoreDemand scoreDemand
	moveTimes   moveTimes

	lastLoad atomic.Pointer[schedule.Load] // of all open jobs at the last dispatch; nil: none yet
}

type stats struct {
	speedStats

	notAdmitted   metrics.Counter // submissions that were refused for lack of memory
	listed        metrics.Counter // items whose result became durable
	aborted       metrics.Counter // those of them that were aborted
	broken        metrics.Counter // runs that were interrupted
	moved         metrics.Counter // runs that were cancelled to move the item
	movedByTime   metrics.Counter // those of them that were moved as the text ends sooner elsewhere
	resumedItems  metrics.Counter // items that continued a partial text
	resumedEvents metrics.Counter // events of those texts
	sample        metrics.Timer   // time from a job's submission until an item's result is durable
	step          metrics.Timer   // time from submission until a step is complete
}

// ownedJob is a job that this process runs, with its lock.
type ownedJob struct {
	id     string
	token  int64 // fencing token; 0: another process owns the job, and this one runs it as its standby
	parts  int   // number of values that hold the spec
	size   int64 // of the spec, in bytes
	ctx    context.Context
	cancel context.CancelFunc

	mu             sync.Mutex
	job            *batch.Job
	resultsChanged chan struct{} // closed and replaced when results become durable
	writerActive   bool
	writePending   bool         // a write is in progress, or its outcome is unknown
	lastWrite      time.Time    // start of the last write; used only by the writer
	failedWrites   failedWrites // used only by the writer
}

// Init initializes the owner. It must be called before any other method.
func (o *Owner) Init() {
	o.jobs = map[string]*ownedJob{}
	o.admission = batch.NewAdmission(o.Memory)
	o.loadingTokens = map[string]int64{}
	o.former = newFormerJobs(o.ResultTTL)
	o.lengths = map[string]*sharedLengths{}
	o.wake = make(chan struct{}, 1)
	o.storeRecovered = make(chan struct{})
	o.running = make(chan struct{})
	o.Copier = newCopier(o.Registry)
	o.Copier.Owner = o
	o.Standby = newStandby(o)
	if o.RetryDelay == 0 {
		o.RetryDelay = writeRetryDelay
	}
	o.stats = stats{
		speedStats:    newSpeedStats(o.Registry),
		notAdmitted:   metrics.GetOrRegisterCounter("batch.jobs.not_admitted", o.Registry),
		listed:        metrics.GetOrRegisterCounter("batch.items.listed", o.Registry),
		aborted:       metrics.GetOrRegisterCounter("batch.items.aborted", o.Registry),
		moved:         metrics.GetOrRegisterCounter("batch.runs.moved", o.Registry),
		movedByTime:   metrics.GetOrRegisterCounter("batch.runs.moved.by_time", o.Registry),
		resumedItems:  metrics.GetOrRegisterCounter("texts.items", o.Registry),
		resumedEvents: metrics.GetOrRegisterCounter("texts.events", o.Registry),
		broken:        metrics.GetOrRegisterCounter("batch.runs.broken", o.Registry),
		sample:        metrics.GetOrRegisterTimer("batch.item", o.Registry),
		step:          metrics.GetOrRegisterTimer("batch.step", o.Registry),
	}
}

// Register registers the calls that the owner serves for other processes.
func (o *Owner) Register(server *rpc.Server) error {
	return server.RegisterName(serviceName, &Service{owner: o})
}

// Run runs the assigned jobs until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	o.lifetime = ctx
	close(o.running)
	group.Go(func() error { return o.dispatch(ctx) })
	group.Go(func() error { return o.Texts.Run(ctx) })
	group.Go(func() error { return o.Copier.run(ctx) })
	group.Go(func() error { return o.sendLoads(ctx) })
	group.Go(func() error { return o.watchSpeeds(ctx) })
	group.Go(func() error { return o.Standby.run(ctx) })
	return group.Wait()
}

// Assignments returns the topic of the assignments to this process. It may be followed before
// Run is called.
func (o *Owner) Assignments() *cluster.Topic {
	listed := false
	return &cluster.Topic{
		Prefix: AssignmentPrefix(o.Name), RelayPrefix: AssignmentsPrefix, Idle: o.idle,
		Changed: func(r kv.Record) {
			afterStart := listed // read when the record arrives, not when the goroutine runs
			o.runs.Go(func() error {
				<-o.running
				o.assignmentChanged(o.lifetime, r, afterStart)
				return nil
			})
		},
		Deleted: func(key string, revision int64) { o.drop(assignedJob(key), revision) },
		Listed:  func() { listed = true },
	}
}

// idle reports whether the assignments need not be watched.
func (o *Owner) idle() bool {
	return o.Ineligible != nil && o.Ineligible() && len(o.Jobs()) == 0
}

// admit returns whether this process has memory for another job, and reserves it.
func (o *Owner) admit(args AdmitArgs) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.jobs[args.Job] != nil {
		return true // submitted again
	}
	owned := int64(0)
	for _, j := range o.jobs {
		owned += j.size
	}
	admitted := o.admission.Admit(time.Now(), owned, args.Job, args.Size)
	if !admitted {
		o.stats.notAdmitted.Inc(1)
		events.JobNotAdmitted.Log(o.Log, logrus.Fields{"job": args.Job, "bytes": args.Size, "owned_bytes": owned, "owned": len(o.jobs)})
	}
	return admitted
}

// drop gives up a job whose assignment was deleted at the given revision. Its durable results
// are retained for readers.
func (o *Owner) drop(id string, revision int64) {
	o.mu.Lock()
	o.former.recordRemoved(id, revision)
	owned := o.jobs[id]
	if owned == nil || owned.token > revision {
		o.mu.Unlock()
		return
	}
	delete(o.jobs, id)
	o.retire(owned)
	o.mu.Unlock()
	events.JobDropped.Log(o.Log, logrus.Fields{"job": id, "mark": owned.token, "revision": revision})
}

// retire stops a job's runs and retains its results for readers, unless a write is pending:
// then only the store knows which results will be durable. The owner's lock must be held.
func (o *Owner) retire(j *ownedJob) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.job.Close()
	j.cancel()
	close(j.resultsChanged)
	j.resultsChanged = make(chan struct{})
	o.Texts.Drop(j.id, j.token)
	o.Copier.drop(j.id, j.token)
	if !j.writePending {
		o.former.retain(now, *j.retained())
	}
}

// retained returns the durable results of a job that has ended; j.mu must be held.
func (j *ownedJob) retained() *retainedResults {
	return &retainedResults{id: j.id, submitted: j.job.Spec.Submitted, total: j.job.Total(), results: slices.Clone(j.job.DurableResults(0))}
}

func (o *Owner) retain(results *retainedResults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.former.retain(time.Now(), *results)
}

func (o *Owner) find(id string) *ownedJob {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.jobs[id]
}

// Jobs returns the fencing tokens of the owned jobs by job ID.
func (o *Owner) Jobs() map[string]int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := make(map[string]int64, len(o.jobs))
	for id, j := range o.jobs {
		owned[id] = j.token
	}
	return owned
}

// StoreRecovered notifies the owner that the store answers again. Results that wait are written
// at once: all processes may be killed a moment later, and results that are not durable by then
// are lost.
func (o *Owner) StoreRecovered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.storeRecovered)
	o.storeRecovered = make(chan struct{})
}

// waitForStore blocks until the store answers again, RetryDelay has passed or ctx ends.
func (o *Owner) waitForStore(ctx context.Context) {
	o.mu.Lock()
	recovered := o.storeRecovered
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, o.RetryDelay)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-recovered:
	}
}

func (o *Owner) wakeDispatch() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// dispatch starts runs, scoring calls and writes that are due, whenever something changed.
func (o *Owner) dispatch(ctx context.Context) error {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.wake:
		case <-ticker.C:
		}
		jobs := append(o.openJobs(), o.Standby.running()...)
		o.startRuns(jobs)
		for _, j := range jobs {
			o.startScores(j)
			o.startWriting(j)
		}
	}
}

// openJobs returns the jobs sorted by ID.
func (o *Owner) openJobs() []*ownedJob {
	o.mu.Lock()
	defer o.mu.Unlock()
	jobs := make([]*ownedJob, 0, len(o.jobs))
	for _, j := range o.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].id < jobs[b].id })
	return jobs
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
