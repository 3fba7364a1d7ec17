package batchrun

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/periodic"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/standby"
)

const (
	// standbyInterval is how often a standby checks the owners of its jobs.
	standbyInterval = 100 * time.Millisecond
	// takeOverRetryDelay is the delay before a failed take-over is retried.
	takeOverRetryDelay = 200 * time.Millisecond
	// indirectPingTimeout is the timeout of an indirect ping, which asks other processes one
	// after another.
	indirectPingTimeout = 4 * pingTimeout
	// defaultMaxRunTime is how long a standby runs a job that it does not own: if the store
	// answers other processes, the job may have ended meanwhile.
	defaultMaxRunTime = 15 * time.Second
)

// GuardedArgs asks an owner for the state of the jobs for which the caller is the standby.
type GuardedArgs struct {
	Listed map[string]int // number of durable results that the caller knows of, by job
}

// GuardedReply is the reply to Service.Guarded.
type GuardedReply struct {
	Jobs map[string]GuardedState // the requested jobs that the owner still has
}

// GuardedState is the state of a job at its owner.
type GuardedState struct {
	Mark   int64    // fencing token of the owner
	Listed []string // items with durable results, from the requested position on
}

// ReachesArgs asks whether the named process answers.
type ReachesArgs struct{ Name string }

// ReachesReply is the reply to Service.Reaches.
type ReachesReply struct{ Answers bool }

// Guarded returns the state of jobs to their standby. It is called by net/rpc.
func (s *Service) Guarded(args GuardedArgs, reply *GuardedReply) error {
	reply.Jobs = map[string]GuardedState{}
	for id, from := range args.Listed {
		if j := s.owner.find(id); j != nil {
			j.mu.Lock()
			reply.Jobs[id] = GuardedState{Mark: j.token, Listed: j.job.ListedItems(from)}
			j.mu.Unlock()
		}
	}
	return nil
}

// Reaches reports whether another process answers this one. It is called by net/rpc.
func (s *Service) Reaches(args ReachesArgs, reply *ReachesReply) error {
	if s.owner.Standby.Peers == nil {
		return nil
	}
	// A machine without power does not refuse a connection: the call hangs until its timeout.
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	reply.Answers = s.owner.Standby.Peers.Answers(ctx, args.Name)
	return nil
}

// StandbyPeers makes the calls of a standby to other processes.
type StandbyPeers interface {
	// QueryJobs asks an owner for the state of jobs.
	QueryJobs(ctx context.Context, owner string, args GuardedArgs) (GuardedReply, error)
	// Answers reports whether a process answers calls.
	Answers(ctx context.Context, name string) bool
	// IndirectPing asks a third process whether the named one answers it. known is false if no
	// process could be asked.
	IndirectPing(ctx context.Context, name string) (answers, known bool)
}

// Standby is the standby for jobs of other owners, whose texts are replicated to this process.
// If an owner is lost, it takes its jobs over; while the store is unreachable, it runs them
// without owning them. It is safe for concurrent use.
type Standby struct {
	Peers      StandbyPeers  // nil: this process is no standby
	MaxRunTime time.Duration // how long it runs a job that it does not own

	owner *Owner

	mu       sync.Mutex
	detector *standby.FailureDetector
	jobs     map[string]*standbyJob
}

// standbyJob is a job of another owner.
type standbyJob struct {
	id     string
	owner  string
	token  int64 // fencing token of the owner
	spec   *batch.Spec
	listed []string // items with durable results, in order of position

	takingOver bool
	takenOver  bool      // the store has assigned the job to this process, which is adopting it
	retryAt    time.Time // earliest time of the next try to take the job over
	run        *ownedJob // the run of the job at this process; nil: none
	runSince   time.Time // when the run started
}

func newStandby(o *Owner) *Standby {
	return &Standby{MaxRunTime: defaultMaxRunTime, owner: o, detector: standby.NewFailureDetector(), jobs: map[string]*standbyJob{}}
}

// add makes this process the standby for a job.
func (s *Standby) add(args CopyArgs, spec *batch.Spec) {
	if s.Peers == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.jobs[args.Job]
	if old != nil && old.token >= args.Mark {
		return
	}
	if old != nil {
		old.stopRun()
	}
	s.jobs[args.Job] = &standbyJob{id: args.Job, owner: args.Owner, token: args.Mark, spec: spec}
}

// has reports whether this process is the standby for a job and knows at least the given
// fencing token of its owner.
func (s *Standby) has(job string, token int64) bool {
	if s.Peers == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.jobs[job]
	return known != nil && known.token >= token
}

func (j *standbyJob) stopRun() {
	if j.run != nil {
		j.run.cancel()
		j.run = nil
	}
}

// running returns the jobs that this process runs without owning them, except those whose
// MaxRunTime is over.
func (s *Standby) running() []*ownedJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	var jobs []*ownedJob
	for _, j := range s.jobs {
		if j.run != nil && j.run.ctx.Err() == nil {
			jobs = append(jobs, j.run)
		}
	}
	slices.SortFunc(jobs, func(a, b *ownedJob) int { return a.job.Spec.Submitted.Compare(b.job.Spec.Submitted) })
	return jobs
}

// HasOrphanedJobs reports whether the owner of any job is lost, so that this process needs the
// store to take the job over.
func (s *Standby) HasOrphanedJobs() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, j := range s.jobs {
		if s.detector.Lost(now, j.owner) {
			return true
		}
	}
	return false
}

// release removes a job that this process owns from now on. It returns its run as the standby,
// or nil if there was none.
func (s *Standby) release(job string) *ownedJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[job]
	if j == nil {
		return nil
	}
	run := j.run
	j.stopRun()
	delete(s.jobs, job)
	return run
}

func (s *Standby) run(ctx context.Context) error {
	if s.Peers == nil {
		return nil
	}
	periodic.Run(ctx, standbyInterval, func(now time.Time) { s.check(ctx, now) })
	return nil
}

func (s *Standby) check(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	s.detector.Retain(now, s.owners())
	for _, name := range s.detector.DuePings(now) {
		args := s.queryArgs(name)
		s.owner.runs.Go(func() error { s.ping(ctx, name, args); return nil })
	}
	for _, name := range s.detector.DueIndirectPings(now) {
		s.owner.runs.Go(func() error { s.pingIndirectly(ctx, name); return nil })
	}
	if !s.owner.Switches.On(mechanism.TakeOver) {
		return
	}
	for _, j := range s.jobs {
		if s.detector.Lost(now, j.owner) && !j.takingOver && !j.takenOver && !now.Before(j.retryAt) {
			j.takingOver = true
			s.owner.runs.Go(func() error { s.takeOverOrRun(ctx, j); return nil })
		}
	}
}

// expire removes jobs whose results need no longer be readable, and stops runs that exceed
// MaxRunTime. The lock must be held.
func (s *Standby) expire(now time.Time) {
	for id, j := range s.jobs {
		if now.Sub(j.spec.Submitted) > s.owner.ResultTTL {
			j.stopRun()
			delete(s.jobs, id)
		}
		if j.run != nil && now.Sub(j.runSince) > s.MaxRunTime {
			j.run.cancel() // the generated events are kept for the job's next owner
		}
	}
}

// owners returns the owners of the jobs. The lock must be held.
func (s *Standby) owners() []string {
	var names []string
	for _, j := range s.jobs {
		if !slices.Contains(names, j.owner) {
			names = append(names, j.owner)
		}
	}
	return names
}

// queryArgs returns the arguments of a query to an owner. The lock must be held.
func (s *Standby) queryArgs(owner string) GuardedArgs {
	args := GuardedArgs{Listed: map[string]int{}}
	for _, j := range s.jobs {
		if j.owner == owner {
			args.Listed[j.id] = len(j.listed)
		}
	}
	return args
}

func (s *Standby) ping(ctx context.Context, name string, args GuardedArgs) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	reply, err := s.Peers.QueryJobs(ctx, name, args)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.detector.RecordFailure(name)
		return
	}
	s.detector.RecordContact(time.Now(), name)
	for id, from := range args.Listed {
		if j := s.jobs[id]; j != nil && j.owner == name {
			s.applyState(j, from, reply.Jobs[id])
		}
	}
}

// applyState applies the state of a job that its owner reported. The zero state means that the
// owner no longer has the job. The lock must be held.
func (s *Standby) applyState(j *standbyJob, from int, state GuardedState) {
	switch {
	case state.Mark == 0:
		j.stopRun()
		delete(s.jobs, j.id)
	case state.Mark != j.token:
		j.token, j.listed = state.Mark, nil // the owner adopted it anew
	case from == len(j.listed):
		j.listed = append(j.listed, state.Listed...)
	}
	if j.run != nil {
		events.StandbyEnded.Log(s.owner.Log, logrus.Fields{"job": j.id, "owner": j.owner, "why": "its owner answers"})
		j.stopRun()
	}
}

// pingIndirectly asks another process whether it reaches an owner that does not answer this
// one.
func (s *Standby) pingIndirectly(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, indirectPingTimeout)
	defer cancel()
	answers, known := s.Peers.IndirectPing(ctx, name)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case known && answers:
		s.detector.RecordContact(time.Now(), name)
	case known:
		s.detector.RecordIndirectFailure(time.Now(), name)
	}
}

// takeOverOrRun takes a job over, or starts to run it if the store is unreachable.
func (s *Standby) takeOverOrRun(ctx context.Context, j *standbyJob) {
	result := s.takeOver(ctx, j)
	if result == storeUnreachable {
		s.startRun(ctx, j)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j.takingOver = false
	j.retryAt = time.Now().Add(takeOverRetryDelay)
	switch {
	case s.jobs[j.id] != j:
	case result == jobTaken:
		j.takenOver = true
	case result == ownerChanged:
		j.stopRun()
		delete(s.jobs, j.id)
	}
}

// takeOverResult is the result of a try to take a job over.
type takeOverResult int

const (
	takeOverUnknown  takeOverResult = iota // the outcome of the write is unknown
	storeUnreachable                       // neither this process nor those that it asks reach the store
	jobTaken                               // the job is assigned to this process
	ownerChanged                           // the job has ended or has another owner
)

// startRun runs a job of a lost owner while the store is unreachable. Its results become
// durable once the job can be taken over; without the run, the step would start anew then and
// be late.
func (s *Standby) startRun(ctx context.Context, j *standbyJob) {
	if !s.owner.Switches.On(mechanism.StandbyRuns) {
		return
	}
	s.mu.Lock()
	runs, listed := j.run != nil, slices.Clone(j.listed)
	s.mu.Unlock()
	if runs {
		return
	}
	job := batch.NewStandbyJob(j.spec, listed)
	s.owner.mu.Lock()
	s.owner.configure(job)
	s.owner.mu.Unlock()
	items, eventCount := job.ResumeTexts(s.owner.Texts.Load(ctx, j.id))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs[j.id] != j {
		return
	}
	j.run, j.runSince = &ownedJob{id: j.id, job: job, resultsChanged: make(chan struct{})}, time.Now()
	j.run.ctx, j.run.cancel = context.WithCancel(s.owner.lifetime)
	events.StandbyRuns.Log(s.owner.Log, logrus.Fields{"job": j.id, "owner": j.owner, "mark": j.token, "listed": len(listed), "resumed": items, "events": eventCount})
	s.owner.wakeDispatch()
}

// takeOver moves a job to this process.
func (s *Standby) takeOver(ctx context.Context, j *standbyJob) takeOverResult {
	stored, record, err := readRecord(ctx, s.owner.Store, j.id)
	switch {
	case err != nil:
		return storeUnreachable
	case record.Owner == s.owner.Name && !record.Ended:
		return jobTaken // by an earlier try; the watch reports the assignment
	case stored.Revision == 0 || record.Ended || record.Owner != j.owner:
		return ownerChanged
	}
	record.Owner = s.owner.Name
	t, err := handoverTransaction(j.id, j.owner, s.owner.Name, j.token, stored.Revision, record, false)
	if err != nil {
		events.JobUnreadable.Log(s.owner.Log, logrus.Fields{"job": j.id, "error": err.Error()})
		return ownerChanged
	}
	committed, err := s.owner.Store.Commit(ctx, t)
	switch {
	case err != nil:
		return takeOverUnknown // the next try reads the record
	case !committed.Done:
		return ownerChanged
	}
	events.JobMoved.Log(s.owner.Log, logrus.Fields{"job": j.id, "from": j.owner, "to": s.owner.Name, "mark": j.token})
	s.owner.handleAssigned(AssignmentArgs{Job: j.id, Revision: committed.Revision, Begun: true})
	return jobTaken
}
