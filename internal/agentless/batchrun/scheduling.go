package batchrun

import (
	"time"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/routes"
	"siskinloom.example/siskinloom/internal/policy/schedule"
)

// round is one pass over all open jobs that starts the items that can be started.
type round struct {
	owner *Owner
	table *routes.Table
	now   time.Time
	jobs  []openJob
	own   schedule.Load // of this process's jobs
	load  schedule.Load // including the loads that other owners reported
}

// openJob is the state of a job in a round.
type openJob struct {
	*ownedJob
	view    schedule.Job // the job as package schedule compares it
	blocked bool         // no more items of the job can be started in this round
}

// startRuns starts items while engines have free slots. Items of the step that would be
// complete last are started first.
func (o *Owner) startRuns(jobs []*ownedJob) {
	table := o.Directory.Table()
	if table == nil {
		return
	}
	r := o.newRound(table, jobs, time.Now())
	o.lastLoad.Store(&r.load)
	for {
		job, item, found := r.next()
		if !found {
			return
		}
		r.start(job, item)
	}
}

// newRound starts a round and sums up the load of the open jobs.
func (o *Owner) newRound(table *routes.Table, jobs []*ownedJob, now time.Time) *round {
	r := &round{owner: o, table: table, now: now}
	views := make([]schedule.Job, 0, len(jobs))
	for _, j := range jobs {
		view := o.view(table, j, now)
		views = append(views, view)
		r.jobs = append(r.jobs, openJob{ownedJob: j, view: view})
	}
	r.own = schedule.TotalLoad(views)
	r.load = r.own
	if o.Switches.On(mechanism.ShareLoad) {
		r.load.Merge(o.loads.total(now))
	}
	return r
}

// view aborts the items without a result of a job that has expired, and returns the job as
// package schedule compares it.
func (o *Owner) view(table *routes.Table, j *ownedJob, now time.Time) schedule.Job {
	spec := j.job.Spec
	view := schedule.Job{Age: now.Sub(spec.Submitted).Seconds(), Due: dueSeconds(spec)}
	if route := table.Match(spec.Host, spec.Items[0].Path); route != nil {
		service := routes.SelectService(route, spec.Items[0].ID)
		view.EventSeconds, _ = o.Directory.TypicalPace(service)
		if speeds, uneven := o.Directory.UnevenSpeeds(service, now); uneven {
			view.EventSeconds, view.TypicalSeconds = speeds.Fast, speeds.Typical
			view.StartSeconds = o.Directory.SlowestFree(service, engineRequest(spec, batch.RunStart{}, now))
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.job.Expire(now)
	view.Work, view.Longest = j.job.TotalRemainingWork()
	return view
}

// dueSeconds returns the time from a job's submission until it is due, or 0 if it has no due time.
func dueSeconds(spec *batch.Spec) float64 {
	if spec.Due.IsZero() {
		return 0
	}
	return spec.Due.Sub(spec.Submitted).Seconds()
}

// next returns the item to start next, of any job.
func (r *round) next() (*openJob, batch.Candidate, bool) {
	var jobs []*openJob
	var items []batch.Candidate
	var waiting []schedule.Candidate
	for i := range r.jobs {
		job := &r.jobs[i]
		if item, found := job.candidate(r.now); found {
			jobs, items = append(jobs, job), append(items, item)
			waiting = append(waiting, schedule.Candidate{Job: &job.view, RemainingWork: item.RemainingWork, Spare: item.Spare})
		}
	}
	chosen := schedule.Choose(waiting)
	if chosen < 0 {
		return nil, batch.Candidate{}, false
	}
	return jobs[chosen], items[chosen], true
}

func (j *openJob) candidate(now time.Time) (batch.Candidate, bool) {
	if j.blocked {
		return batch.Candidate{}, false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	candidate, found := j.job.Next(now)
	j.blocked = !found
	return candidate, found
}

// start starts an item, or postpones it if no engine is available. In that case the rest of its
// job waits too, because its other items are less urgent.
func (r *round) start(j *openJob, c batch.Candidate) {
	j.mu.Lock()
	start := j.job.StartRun(c.Index)
	j.mu.Unlock()
	item := &j.job.Spec.Items[c.Index]
	route := r.table.Match(j.job.Spec.Host, item.Path)
	if route == nil {
		j.postpone(c.Index, r.now.Add(noRouteDelay))
		return
	}
	service := routes.SelectService(route, item.ID)
	request := engineRequest(j.job.Spec, start, r.now)
	request.Placement = r.placement(j, c, service)
	pick := r.owner.pickEngine(service, start, request)
	if pick == nil {
		j.postpone(c.Index, r.now.Add(noEngineDelay))
		j.blocked = true
		return
	}
	j.mu.Lock()
	j.job.RunPlaced(r.now, c.Index)
	j.mu.Unlock()
	admission := r.owner.Quarantine.AdmitOwed(itemFingerprint(j.job.Spec, c.Index))
	admission.Started(pick.ID) // before other requests with its content are decided on
	r.owner.runs.Go(func() error { r.owner.run(j.ownedJob, start, pick, admission); return nil })
}

// placement returns the data by which the run is placed among other requests.
func (r *round) placement(j *openJob, c batch.Candidate, service string) endpoints.Placement {
	if !r.owner.Switches.On(mechanism.ByDelay) {
		return endpoints.Placement{}
	}
	weight := r.load.Weight(&j.view, c.RemainingWork, c.Spare)
	p := endpoints.Placement{RemainingWork: c.RemainingWork, Weight: weight, Critical: weight >= schedule.CriticalWeight}
	if r.owner.Switches.On(mechanism.KeepNarrow) {
		_, engines := r.owner.Directory.TypicalPace(service)
		p.CriticalBatchLimit = r.load.CriticalBatchLimit(&j.view, engines)
	}
	return p
}

func (j *ownedJob) postpone(i int, until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.job.Postpone(i, until)
}

// pickEngine picks an engine for a run, if possible another one than ran the item before.
func (o *Owner) pickEngine(service string, start batch.RunStart, request endpoints.Request) *directory.Pick {
	if start.PreviousEngine != "" {
		request.Tried = []string{start.PreviousEngine}
		if pick := o.Directory.Pick(service, request); pick != nil {
			return pick
		}
		request.Tried = nil // the only engine left is better than none
	}
	return o.Directory.Pick(service, request)
}
