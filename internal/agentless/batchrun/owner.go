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
	"siskinloom.example/siskinloom/internal/agentless/textlog"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/schedule"
)

const (
	// lookEvery is how often items that wait are looked at without a cause.
	lookEvery = 25 * time.Millisecond
	// gatherResults passes at least between two writes of a job's results. One that
	// makes its group whole, as a straggler's does, is written at once; readers poll
	// twice a second, and at this pace a job costs at most four writes a second.
	gatherResults = 250 * time.Millisecond
	// AssignmentsWait is how long a watch of the marks waits. Who accepts, ends or moves
	// a job tells its owner by a call; the watch is for calls that did not come
	// through, as from an entry that is cut off from every worker. Its changes come
	// at once, but what a deaf store kept from it is found when it asks anew: items of
	// a job whose end was acknowledged have three seconds to stop.
	AssignmentsWait = 2 * time.Second
	// retryWrite is the pause after a write that failed.
	retryWrite = 200 * time.Millisecond
)

// Owner runs the jobs whose mark names this process. It is safe for concurrent
// use.
type Owner struct {
	Name       string // of this process
	Store      kv.Shared
	Directory  *directory.Directory
	Sender     dispatch.Sender
	Log        *logrus.Logger
	ResultTTL  time.Duration // how long results stay readable after submission
	RetryDelay time.Duration // pause before results are written again; 0: retryWrite
	Registry   metrics.Registry

	Switches *mechanism.Switches
	Texts    *textlog.Log // keeps texts under way; nil: nothing does
	Copier   *Copier      // keeps them at a second process; its calls may be nil
	Standby  *Standby     // stands by for the jobs of other owners
	// OtherOwners names the processes that own jobs of models which the service has
	// too; nil: none.
	OtherOwners func(models []string) []string
	// SendLoad tells a process of this one's load.
	SendLoad func(ctx context.Context, to string, args LoadArgs) error
	// FetchTexts asks other processes for a job's texts; may be nil.
	FetchTexts func(ctx context.Context, job string) [][]byte

	// OwnershipCertain tells whether nobody can have moved this process's jobs unnoticed;
	// nil: always.
	OwnershipCertain func() bool
	// Ineligible tells that no job will be marked for this process, as others are
	// there to own them; nil: never.
	Ineligible func() bool
	// OnAdopt is called with each job taken on; may be nil.
	OnAdopt  func(*batch.Spec)
	lifetime context.Context // of Run

	mu     sync.Mutex
	jobs   map[string]*ownedJob
	claims map[string]int64 // revision of the mark being loaded, by job
	ended  *endedJobs
	seen   map[string]*sharedLengths // by model
	loads  loads
	wake   chan struct{}
	back   chan struct{} // closed and replaced when the store answers again
	runs   errgroup.Group
	stats  stats

	running chan struct{} // closed once Run has begun

	scoreTimes scoreTimes

	surveyed atomic.Pointer[schedule.Load] // of all open jobs when they were last looked at; nil: never
}

type stats struct {
	listed  metrics.Counter
	aborted metrics.Counter
	broken  metrics.Counter
	moved   metrics.Counter
	kept    metrics.Counter // items that went on from kept texts
	events  metrics.Counter // of those texts
	sample  metrics.Timer   // from submission to listing
	step    metrics.Timer   // from submission until a step is whole
}

// ownedJob is one job with its lock.
type ownedJob struct {
	id     string
	mark   int64 // revision of the owner's mark; 0: another process owns it, and this one only runs it
	parts  int   // values that hold the spec
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	job     *batch.Job
	readers chan struct{} // closed and replaced when results become durable
	writing bool
	sent    bool         // a write is under way at the store, or its outcome is not known
	written time.Time    // of the last write; only its writer uses it
	failing failedWrites // only its writer uses them
}

// Init prepares the owner; it must be called before anything else.
func (o *Owner) Init() {
	o.jobs = map[string]*ownedJob{}
	o.claims = map[string]int64{}
	o.ended = newEndedJobs(o.ResultTTL)
	o.seen = map[string]*sharedLengths{}
	o.wake = make(chan struct{}, 1)
	o.back = make(chan struct{})
	o.running = make(chan struct{})
	o.Copier = newCopier(o.Registry)
	o.Copier.Owner = o
	o.Standby = newGuard(o)
	if o.RetryDelay == 0 {
		o.RetryDelay = retryWrite
	}
	o.stats = stats{
		listed:  metrics.GetOrRegisterCounter("batch.items.listed", o.Registry),
		aborted: metrics.GetOrRegisterCounter("batch.items.aborted", o.Registry),
		moved:   metrics.GetOrRegisterCounter("batch.runs.moved", o.Registry),
		kept:    metrics.GetOrRegisterCounter("texts.items", o.Registry),
		events:  metrics.GetOrRegisterCounter("texts.events", o.Registry),
		broken:  metrics.GetOrRegisterCounter("batch.runs.broken", o.Registry),
		sample:  metrics.GetOrRegisterTimer("batch.item", o.Registry),
		step:    metrics.GetOrRegisterTimer("batch.step", o.Registry),
	}
}

// Register offers the owner's calls to other processes.
func (o *Owner) Register(server *rpc.Server) error {
	return server.RegisterName(serviceName, &Service{owner: o})
}

// Run owns jobs until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	o.lifetime = ctx
	close(o.running)
	group.Go(func() error { return o.dispatch(ctx) })
	group.Go(func() error { return o.Texts.Run(ctx) })
	group.Go(func() error { return o.Copier.run(ctx) })
	group.Go(func() error { return o.tellLoads(ctx) })
	group.Go(func() error { return o.Standby.run(ctx) })
	return group.Wait()
}

// Assignments returns the topic of the marks that name this process. Whoever follows it
// need not wait for Run.
func (o *Owner) Assignments() *cluster.Topic {
	listed := false
	return &cluster.Topic{
		Prefix: todoPrefix(o.Name), RelayPrefix: AssignmentsPrefix, Idle: o.idle,
		Changed: func(r kv.Record) {
			afterStart := listed // of the record, not of the goroutine that takes it in
			o.runs.Go(func() error {
				<-o.running
				o.marked(o.lifetime, r, afterStart)
				return nil
			})
		},
		Deleted: func(key string, revision int64) { o.drop(jobOfTodo(key), revision) },
		Listed:  func() { listed = true },
	}
}

// idle tells whether the marks need not be watched.
func (o *Owner) idle() bool {
	return o.Ineligible != nil && o.Ineligible() && len(o.Jobs()) == 0
}

// drop gives a job up whose mark went at a revision. What is durable of it is
// kept for readers.
func (o *Owner) drop(id string, revision int64) {
	o.mu.Lock()
	o.ended.note(id, revision)
	owned := o.jobs[id]
	if owned == nil || owned.mark > revision {
		o.mu.Unlock()
		return
	}
	delete(o.jobs, id)
	o.retire(owned)
	o.mu.Unlock()
	events.JobDropped.Log(o.Log, logrus.Fields{"job": id, "mark": owned.mark, "revision": revision})
}

// retire stops a job's runs and keeps its results for readers unless a write was under way. Then only
// the store knows which results will ever be durable. The owner's lock is held.
func (o *Owner) retire(j *ownedJob) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.job.Close()
	j.cancel()
	close(j.readers)
	j.readers = make(chan struct{})
	o.Texts.Drop(j.id, j.mark)
	o.Copier.drop(j.id, j.mark)
	if !j.sent {
		o.ended.keep(now, *j.kept())
	}
}

// kept returns the durable results of a job that has ended; mu is held.
func (j *ownedJob) kept() *keptResults {
	return &keptResults{id: j.id, submitted: j.job.Spec.Submitted, total: j.job.Total(), results: slices.Clone(j.job.DurableResults(0))}
}

func (o *Owner) keep(results *keptResults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended.keep(time.Now(), *results)
}

func (o *Owner) find(id string) *ownedJob {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.jobs[id]
}

// Jobs returns the IDs of the jobs owned, with the revision of their marks.
func (o *Owner) Jobs() map[string]int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := make(map[string]int64, len(o.jobs))
	for id, j := range o.jobs {
		owned[id] = j.mark
	}
	return owned
}

// StoreRecovered tells that the store answers again: what waits to be written goes out
// at once, as all processes may be killed a moment later, and what is not durable
// then is lost.
func (o *Owner) StoreRecovered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.back)
	o.back = make(chan struct{})
}

// pauseForStore waits before a write is tried again.
func (o *Owner) pauseForStore(ctx context.Context) {
	o.mu.Lock()
	back := o.back
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, o.RetryDelay)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-back:
	}
}

func (o *Owner) kick() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// dispatch starts what can be started, whenever something changed.
func (o *Owner) dispatch(ctx context.Context) error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.wake:
		case <-ticker.C:
		}
		jobs := append(o.open(), o.Standby.running()...)
		o.startRuns(jobs)
		for _, j := range jobs {
			o.startScores(j)
			o.startWriting(j)
		}
	}
}

// open returns the jobs sorted by ID.
func (o *Owner) open() []*ownedJob {
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
