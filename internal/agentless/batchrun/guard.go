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
	// guardEvery is how often a standby looks after the owners of its jobs.
	guardEvery = 100 * time.Millisecond
	// rescueAgain is the pause before a take-over that failed is tried again.
	rescueAgain = 200 * time.Millisecond
	// witnessLimit bounds the question to other processes; one of them is asked at a time.
	witnessLimit = 4 * pingLimit
	// defaultRunFor is the longest that a standby runs a job that it does not own: where the
	// store answers others, the job may have ended meanwhile.
	defaultRunFor = 15 * time.Second
)

// GuardedArgs ask an owner how the jobs stand for which the caller stands by.
type GuardedArgs struct {
	Listed map[string]int // positions that the caller knows of, by job
}

// GuardedReply is the answer.
type GuardedReply struct {
	Jobs map[string]GuardedState // those asked for that the owner still has
}

// GuardedState is how a job stands.
type GuardedState struct {
	Mark   int64
	Listed []string // items from the position on that the caller asked from
}

// ReachesArgs ask whether another process answers.
type ReachesArgs struct{ Name string }

// ReachesReply is the answer.
type ReachesReply struct{ Answers bool }

// Guarded implements the call of that name.
func (s *Service) Guarded(args GuardedArgs, reply *GuardedReply) error {
	reply.Jobs = map[string]GuardedState{}
	for id, from := range args.Listed {
		if j := s.owner.find(id); j != nil {
			j.mu.Lock()
			reply.Jobs[id] = GuardedState{Mark: j.mark, Listed: j.job.ListedItems(from)}
			j.mu.Unlock()
		}
	}
	return nil
}

// Reaches implements the call of that name.
func (s *Service) Reaches(args ReachesArgs, reply *ReachesReply) error {
	if s.owner.Standby.Peers == nil {
		return nil
	}
	// A machine without power does not refuse a connection: the call hangs.
	ctx, cancel := context.WithTimeout(context.Background(), pingLimit)
	defer cancel()
	reply.Answers = s.owner.Standby.Peers.Answers(ctx, args.Name)
	return nil
}

// StandbyPeers are the calls that a standby makes.
type StandbyPeers interface {
	// QueryJobs asks an owner how jobs stand.
	QueryJobs(ctx context.Context, owner string, args GuardedArgs) (GuardedReply, error)
	// Answers tells whether a process answers calls.
	Answers(ctx context.Context, name string) bool
	// IndirectPing asks another process, not the one named, whether that one answers it; known
	// is false if none could be asked.
	IndirectPing(ctx context.Context, name string) (answers, known bool)
}

// Standby stands by for the jobs of other owners, whose texts are copied to this process.
// When an owner is lost it takes its jobs over, and while the store is away it runs them.
// It is safe for concurrent use.
type Standby struct {
	Peers      StandbyPeers  // nil: this process stands by for nobody
	MaxRunTime time.Duration // the longest that it runs a job that it does not own

	owner *Owner

	mu    sync.Mutex
	watch *standby.FailureDetector
	jobs  map[string]*guardedJob
}

// guardedJob is a job of another owner.
type guardedJob struct {
	id     string
	owner  string
	mark   int64
	spec   *batch.Spec
	listed []string // items with durable results, in the order of their positions

	rescuing bool
	ours     bool      // the store says that this process owns it, which takes it on now
	notTill  time.Time // of the next try to take it over
	run      *ownedJob // what this process runs of it; nil: nothing
	since    time.Time // when that began
}

func newGuard(o *Owner) *Standby {
	return &Standby{MaxRunTime: defaultRunFor, owner: o, watch: standby.NewFailureDetector(), jobs: map[string]*guardedJob{}}
}

// take takes in that this process stands by for a job.
func (g *Standby) take(args CopyArgs, spec *batch.Spec) {
	if g.Peers == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.jobs[args.Job]
	if old != nil && old.mark >= args.Mark {
		return
	}
	if old != nil {
		old.stop()
	}
	g.jobs[args.Job] = &guardedJob{id: args.Job, owner: args.Owner, mark: args.Mark, spec: spec}
}

// knows tells whether this process stands by for a job under a mark.
func (g *Standby) knows(job string, mark int64) bool {
	if g.Peers == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.jobs[job]
	return known != nil && known.mark >= mark
}

func (j *guardedJob) stop() {
	if j.run != nil {
		j.run.cancel()
		j.run = nil
	}
}

// running returns the jobs that this process runs without owning them, but for those
// that it has run for long enough.
func (g *Standby) running() []*ownedJob {
	g.mu.Lock()
	defer g.mu.Unlock()
	var jobs []*ownedJob
	for _, j := range g.jobs {
		if j.run != nil && j.run.ctx.Err() == nil {
			jobs = append(jobs, j.run)
		}
	}
	slices.SortFunc(jobs, func(a, b *ownedJob) int { return a.job.Spec.Submitted.Compare(b.job.Spec.Submitted) })
	return jobs
}

// HasOrphanedJobs tells whether a job of a lost owner waits for the store.
func (g *Standby) HasOrphanedJobs() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, j := range g.jobs {
		if g.watch.Lost(now, j.owner) {
			return true
		}
	}
	return false
}

// end forgets a job that this process owns from now on, and returns what it ran of it;
// nil: nothing.
func (g *Standby) end(job string) *ownedJob {
	g.mu.Lock()
	defer g.mu.Unlock()
	j := g.jobs[job]
	if j == nil {
		return nil
	}
	made := j.run
	j.stop()
	delete(g.jobs, job)
	return made
}

func (g *Standby) run(ctx context.Context) error {
	if g.Peers == nil {
		return nil
	}
	periodic.Run(ctx, guardEvery, func(now time.Time) { g.look(ctx, now) })
	return nil
}

func (g *Standby) look(ctx context.Context, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	g.watch.Retain(now, g.owners())
	for _, name := range g.watch.DuePings(now) {
		args := g.asked(name)
		g.owner.runs.Go(func() error { g.ping(ctx, name, args); return nil })
	}
	for _, name := range g.watch.DueIndirectPings(now) {
		g.owner.runs.Go(func() error { g.ask(ctx, name); return nil })
	}
	if !g.owner.Switches.On(mechanism.TakeOver) {
		return
	}
	for _, j := range g.jobs {
		if g.watch.Lost(now, j.owner) && !j.rescuing && !j.ours && !now.Before(j.notTill) {
			j.rescuing = true
			g.owner.runs.Go(func() error { g.rescue(ctx, j); return nil })
		}
	}
}

// expire forgets jobs that nobody can want any more, and ends runs of those that this
// process has run for long enough; the lock is held.
func (g *Standby) expire(now time.Time) {
	for id, j := range g.jobs {
		if now.Sub(j.spec.Submitted) > g.owner.ResultTTL {
			j.stop()
			delete(g.jobs, id)
		}
		if j.run != nil && now.Sub(j.since) > g.MaxRunTime {
			j.run.cancel() // what it made is kept for the job's next owner
		}
	}
}

// owners returns the owners of the jobs; the lock is held.
func (g *Standby) owners() []string {
	var names []string
	for _, j := range g.jobs {
		if !slices.Contains(names, j.owner) {
			names = append(names, j.owner)
		}
	}
	return names
}

// asked returns what an owner is asked for; the lock is held.
func (g *Standby) asked(owner string) GuardedArgs {
	args := GuardedArgs{Listed: map[string]int{}}
	for _, j := range g.jobs {
		if j.owner == owner {
			args.Listed[j.id] = len(j.listed)
		}
	}
	return args
}

func (g *Standby) ping(ctx context.Context, name string, args GuardedArgs) {
	ctx, cancel := context.WithTimeout(ctx, pingLimit)
	defer cancel()
	reply, err := g.Peers.QueryJobs(ctx, name, args)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.watch.RecordFailure(name)
		return
	}
	g.watch.RecordContact(time.Now(), name)
	for id, from := range args.Listed {
		if j := g.jobs[id]; j != nil && j.owner == name {
			g.takeState(j, from, reply.Jobs[id])
		}
	}
}

// takeState takes in how an owner says that a job stands; the zero state says that it has
// the job no more. The lock is held.
func (g *Standby) takeState(j *guardedJob, from int, s GuardedState) {
	switch {
	case s.Mark == 0:
		j.stop()
		delete(g.jobs, j.id)
	case s.Mark != j.mark:
		j.mark, j.listed = s.Mark, nil // it was taken on anew
	case from == len(j.listed):
		j.listed = append(j.listed, s.Listed...)
	}
	if j.run != nil {
		events.StandbyEnded.Log(g.owner.Log, logrus.Fields{"job": j.id, "owner": j.owner, "why": "its owner answers"})
		j.stop()
	}
}

// ask asks another process whether it reaches an owner that does not answer this one.
func (g *Standby) ask(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, witnessLimit)
	defer cancel()
	answers, known := g.Peers.IndirectPing(ctx, name)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case known && answers:
		g.watch.RecordContact(time.Now(), name)
	case known:
		g.watch.RecordIndirectFailure(time.Now(), name)
	}
}

// rescue takes a job over, or runs it until that is possible.
func (g *Standby) rescue(ctx context.Context, j *guardedJob) {
	found := g.takeOver(ctx, j)
	if found == storeAway {
		g.standIn(ctx, j)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	j.rescuing = false
	j.notTill = time.Now().Add(rescueAgain)
	switch {
	case g.jobs[j.id] != j:
	case found == taken:
		j.ours = true
	case found == notItsOwners:
		j.stop()
		delete(g.jobs, j.id)
	}
}

// finding is what the store says of a job that is to be taken over.
type finding int

const (
	unknown      finding = iota // whether it was taken over
	storeAway                   // neither this process nor those that it asks reach the store
	taken                       // it is this process's
	notItsOwners                // it ended, or has another owner
)

// standIn runs a job whose owner is lost while the store is away. What it generates is
// listed once the job can be taken over; without it a step begins anew then and is late.
func (g *Standby) standIn(ctx context.Context, j *guardedJob) {
	if !g.owner.Switches.On(mechanism.StandbyRuns) {
		return
	}
	g.mu.Lock()
	runs, listed := j.run != nil, slices.Clone(j.listed)
	g.mu.Unlock()
	if runs {
		return
	}
	job := batch.NewStandbyJob(j.spec, listed)
	g.owner.mu.Lock()
	g.owner.configure(job)
	g.owner.mu.Unlock()
	items, made := job.ResumeTexts(g.owner.Texts.Load(ctx, j.id))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.jobs[j.id] != j {
		return
	}
	j.run, j.since = &ownedJob{id: j.id, job: job, readers: make(chan struct{})}, time.Now()
	j.run.ctx, j.run.cancel = context.WithCancel(g.owner.lifetime)
	events.StandbyRuns.Log(g.owner.Log, logrus.Fields{"job": j.id, "owner": j.owner, "mark": j.mark, "listed": len(listed), "resumed": items, "events": made})
	g.owner.kick()
}

// takeOver moves a job to this process.
func (g *Standby) takeOver(ctx context.Context, j *guardedJob) finding {
	standing, record, err := readRecord(ctx, g.owner.Store, j.id)
	switch {
	case err != nil:
		return storeAway
	case record.Owner == g.owner.Name && !record.Ended:
		return taken // by an earlier try; the news of its mark tell it
	case standing.Revision == 0 || record.Ended || record.Owner != j.owner:
		return notItsOwners
	}
	record.Owner = g.owner.Name
	t, err := handover(j.id, j.owner, g.owner.Name, j.mark, standing.Revision, record, false)
	if err != nil {
		events.JobUnreadable.Log(g.owner.Log, logrus.Fields{"job": j.id, "error": err.Error()})
		return notItsOwners
	}
	committed, err := g.owner.Store.Commit(ctx, t)
	switch {
	case err != nil:
		return unknown // the record tells at the next try
	case !committed.Done:
		return notItsOwners
	}
	events.JobHandedOn.Log(g.owner.Log, logrus.Fields{"job": j.id, "from": j.owner, "to": g.owner.Name, "mark": j.mark})
	g.owner.told(MarkArgs{Job: j.id, Revision: committed.Revision, Begun: true})
	return taken
}
