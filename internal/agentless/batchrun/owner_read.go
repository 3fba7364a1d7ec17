package batchrun

import (
	"context"
	"time"
)

// read answers a call for results. If there are none yet, it blocks until some are durable or
// the call's wait is over.
func (o *Owner) read(ctx context.Context, args ReadArgs) ReadReply {
	j := o.find(args.Job)
	if j == nil {
		return o.readEnded(args)
	}
	timer := time.NewTimer(args.Wait)
	defer timer.Stop()
	for {
		j.mu.Lock()
		results, changed, closed := j.job.DurableResults(args.From), j.resultsChanged, j.job.Closed()
		total := j.job.Total()
		j.mu.Unlock()
		if closed {
			return o.readEnded(args)
		}
		if len(results) > 0 || args.From >= total || args.Wait <= 0 {
			return ReadReply{Owned: true, Sure: o.ownershipCertain(), Total: total, Results: results}
		}
		select {
		case <-changed:
		case <-timer.C:
			args.Wait = 0
		case <-ctx.Done():
			args.Wait = 0
		}
	}
}

func (o *Owner) ownershipCertain() bool { return o.OwnershipCertain == nil || o.OwnershipCertain() }

// readEnded answers from the results that are retained of jobs that this process no longer
// owns.
func (o *Owner) readEnded(args ReadArgs) ReadReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	retained, found := o.former.results(args.Job)
	if !found {
		return ReadReply{}
	}
	return ReadReply{Owned: true, Gone: true, Ended: o.former.ended[args.Job], Total: retained.total, Results: retained.fromPosition(args.From)}
}

func (o *Owner) body(args BodyArgs) BodyReply {
	j := o.find(args.Job)
	if j == nil {
		return BodyReply{Ended: o.hasEnded(args.Job)}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	body, found := j.job.Body(args.Item)
	if !found || !j.job.IsUnlisted(args.Item) {
		return BodyReply{Owned: !j.job.Closed()}
	}
	return BodyReply{Owned: true, Found: true, Body: body}
}

// hasEnded reports whether a job is known to have ended.
func (o *Owner) hasEnded(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.former.ended[id]
}

// jobStatus returns the fencing token and the record of a job if this process owns it.
func (o *Owner) jobStatus(id string) StandingReply {
	j := o.find(id)
	if j == nil {
		return StandingReply{Ended: o.hasEnded(id)}
	}
	spec := j.job.Spec
	record := jobRecord{Owner: o.Name, Model: spec.Model, Submitted: spec.Submitted, Total: len(spec.Items), Parts: j.parts}
	return StandingReply{Owned: true, Mark: j.token, Record: record}
}
