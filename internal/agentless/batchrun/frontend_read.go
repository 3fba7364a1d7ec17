package batchrun

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
)

// Reading is the answer to a read of results.
type Reading struct {
	Total   int
	Results []batch.Result // from the position asked, all durable
}

// Results returns a job's results from a position on, waiting for some if none
// are there. ErrNoJob only if the store says so; ErrUnavailable if neither the
// owner nor the store answers.
//
// An owner that lost the store may have lost the job without knowing: asked
// alone, it would go on showing less than others have read. So an answer that
// is not sure counts only where the store does not answer either.
func (d *Frontend) Results(ctx context.Context, id string, from int, wait time.Duration) (Reading, error) {
	if d.Local.Switches.On(mechanism.CacheResults) {
		return d.readCached(ctx, id, from, wait)
	}
	return d.readUncached(ctx, id, from, wait)
}

// withCached returns the results that were read here before, with what came since.
// Who can be given some does not wait for more, and gets them though neither owner
// nor store answers: what is durable does not change.
func (d *Frontend) readCached(ctx context.Context, id string, from int, wait time.Duration) (Reading, error) {
	cached, next := d.cache.get(id, from)
	if len(cached.Results) > 0 {
		wait = 0
	}
	fresh, err := d.readUncached(ctx, id, next, wait)
	switch {
	case errors.Is(err, ErrUnavailable) && len(cached.Results) > 0:
		return cached, nil
	case err != nil:
		return Reading{}, err
	}
	d.cache.add(id, next, fresh)
	fresh.Results = append(cached.Results, fresh.Results...)
	return fresh, nil
}

func (d *Frontend) readUncached(ctx context.Context, id string, from int, wait time.Duration) (Reading, error) {
	if r, answered, err := d.readViaHub(ctx, id, from, wait); answered {
		return r, err
	}
	deadline := time.Now().Add(wait)
	reply := d.readFromOwner(ctx, id, from, wait)
	if reply.isCurrent() {
		return reading(reply), nil
	}
	stored, err := d.readFromStore(ctx, id, from, deadline)
	if errors.Is(err, ErrUnavailable) && reply.Owned {
		return reading(reply), nil
	}
	return stored, err
}

func reading(reply ReadReply) Reading { return Reading{Total: reply.Total, Results: reply.Results} }

// fromOwner asks the job's owner as far as it is known or can be guessed. The
// zero answer stands for none.
func (d *Frontend) readFromOwner(ctx context.Context, id string, from int, wait time.Duration) ReadReply {
	owner, found := d.likelyOwner(ctx, id)
	if !found {
		return ReadReply{}
	}
	reply, err := d.askOwner(ctx, owner, id, from, wait)
	if err != nil {
		return ReadReply{}
	}
	known := d.snapshot(id)
	reply.Ended = reply.Ended || reply.Gone && known != nil && known.record.Ended
	return reply
}

// likelyOwner names the job's owner as far as it is remembered, or as the owners
// of today's models say.
func (d *Frontend) likelyOwner(ctx context.Context, id string) (owner string, found bool) {
	if known := d.snapshot(id); known != nil {
		return known.record.Owner, true
	}
	return d.locateOwner(ctx, id)
}

// locate finds a job's owner among those that own the jobs of the models served
// today, so that the many processes at which a job is read make no call to the
// store for it.
func (d *Frontend) locateOwner(ctx context.Context, id string) (owner string, found bool) {
	if d.Models == nil {
		return "", false
	}
	candidates := d.ownersOf(d.Models())
	type located struct {
		owner string
		reply ReadReply
	}
	answers := make(chan located, len(candidates))
	for _, name := range candidates {
		go func() {
			reply, err := d.askOwner(ctx, name, id, math.MaxInt, 0) // past the end: no results
			if err != nil {
				reply = ReadReply{}
			}
			answers <- located{name, reply}
		}()
	}
	for range candidates {
		if a := <-answers; a.reply.isCurrent() {
			d.remember(id, jobRecord{Owner: a.owner, Total: a.reply.Total, Ended: a.reply.Ended})
			return a.owner, true
		}
	}
	return "", false
}

func (d *Frontend) unavailable(id string, err error) error {
	if errors.Is(err, ErrNoJob) {
		return err
	}
	events.ReadFailed.Log(d.Log, logrus.Fields{"job": id, "error": err.Error()})
	return withRetryAfter(errors.Wrap(ErrUnavailable, err.Error()))
}

// snapshot returns a copy of what is remembered of a job, or nil.
func (d *Frontend) snapshot(id string) *knownJob {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.known[id]
	if known == nil {
		return nil
	}
	copied := *known
	return &copied
}

func (d *Frontend) askOwner(ctx context.Context, owner, id string, from int, wait time.Duration) (ReadReply, error) {
	args := ReadArgs{Job: id, From: from, Wait: wait}
	return callOwner(ctx, d, owner, callRead, wait, args, func() ReadReply { return d.Local.read(ctx, args) })
}

// ask calls a method of an owner, or does locally what it would do if the owner
// is this process.
func callOwner[R any](ctx context.Context, d *Frontend, owner, method string, wait time.Duration, args any, local func() R) (R, error) {
	if owner == d.Local.Name {
		return local(), nil
	}
	var reply, none R
	if err := d.call(ctx, owner, method, wait, args, &reply); err != nil {
		return none, err // the reply may still be written to
	}
	return reply, nil
}

func (d *Frontend) call(ctx context.Context, owner, method string, wait time.Duration, args, reply any) error {
	member, found := d.Members.Get(owner)
	if !found {
		return errors.Errorf("batchrun: %s is not listed", owner)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	return d.Peers.Call(ctx, member.Address, method, args, reply)
}

// fromStore reads results from the store: the job has ended, or its owner does
// not answer or has changed.
func (d *Frontend) readFromStore(ctx context.Context, id string, from int, deadline time.Time) (Reading, error) {
	for {
		found, record, err := d.currentRecord(ctx, id)
		if err != nil {
			return Reading{}, d.unavailable(id, err)
		}
		if !found {
			return Reading{}, ErrNoJob
		}
		results, err := d.storedResults(ctx, id, from)
		if err != nil {
			return Reading{}, d.unavailable(id, err)
		}
		if len(results) > 0 || record.Ended || from >= record.Total || time.Until(deadline) < storePollInterval || ctx.Err() != nil {
			return Reading{Total: record.Total, Results: results}, nil
		}
		pause(ctx, storePollInterval)
		if reply, err := d.askOwner(ctx, record.Owner, id, from, max(0, time.Until(deadline))); err == nil && reply.isCurrent() {
			return reading(reply), nil
		}
	}
}

// fresh returns the record as the store has it; an ended one cannot change.
func (d *Frontend) currentRecord(ctx context.Context, id string) (found bool, record jobRecord, err error) {
	if known := d.snapshot(id); known != nil && known.record.Ended {
		return true, known.record, nil
	}
	stored, record, err := d.fetchRecord(ctx, id)
	return stored.Revision != 0, record, err
}

// storedResults returns the durable results from a position on, reading only
// the chunks that were not read before.
func (d *Frontend) storedResults(ctx context.Context, id string, from int) ([]batch.Result, error) {
	known := d.snapshot(id)
	if known == nil {
		known = &knownJob{}
	}
	complete := known.record.Total > 0 && len(known.results) >= known.record.Total
	if from >= len(known.results) && !complete {
		if err := d.readChunks(ctx, id, known); err != nil {
			return nil, err
		}
	}
	if from >= len(known.results) {
		return nil, nil
	}
	return known.results[from:], nil
}

func (d *Frontend) readChunks(ctx context.Context, id string, known *knownJob) error {
	results, after := known.results[:len(known.results):len(known.results)], known.lastKey
	for {
		page, err := d.Store.ReadPage(ctx, donePrefix(id), after)
		if err != nil {
			return err
		}
		more, err := joinDone(page.Records)
		if err != nil {
			return err
		}
		results = append(results, more...)
		if n := len(page.Records); n > 0 {
			after = page.Records[n-1].Key
		}
		if !page.Truncated || len(page.Records) == 0 {
			break
		}
	}
	known.results, known.lastKey = results, after
	d.mu.Lock()
	defer d.mu.Unlock()
	if kept := d.known[id]; kept != nil && len(kept.results) < len(results) {
		kept.results, kept.lastKey = results, after
	}
	return nil
}

// Body returns the body of an item that is not listed yet. ErrNoJob: the job
// does not exist, has ended, or has no such item that is not listed.
func (d *Frontend) Body(ctx context.Context, id, item string) ([]byte, error) {
	if owner, found := d.likelyOwner(ctx, id); found {
		reply, err := d.askBody(ctx, owner, id, item)
		switch {
		case err != nil:
		case reply.Found:
			return reply.Body, nil
		case reply.Ended, reply.Owned: // listed, or no item of the job
			return nil, ErrNoJob
		}
	}
	return d.storedBody(ctx, id, item)
}

func (d *Frontend) askBody(ctx context.Context, owner, id, item string) (BodyReply, error) {
	args := BodyArgs{Job: id, Item: item}
	return callOwner(ctx, d, owner, callBody, 0, args, func() BodyReply { return d.Local.body(args) })
}

func (d *Frontend) storedBody(ctx context.Context, id, item string) ([]byte, error) {
	found, record, err := d.currentRecord(ctx, id)
	if err != nil {
		return nil, d.unavailable(id, err)
	}
	if !found || record.Ended {
		return nil, ErrNoJob
	}
	parts, err := kv.ReadAll(ctx, d.Store, specPrefix(id))
	if err != nil {
		return nil, d.unavailable(id, err)
	}
	spec, err := joinSpec(parts.Records, record.Parts)
	if err != nil {
		return nil, d.unavailable(id, err)
	}
	listed, err := d.storedResults(ctx, id, 0)
	if err != nil {
		return nil, d.unavailable(id, err)
	}
	job := batch.NewJob(spec, listed)
	body, known := job.Body(item)
	if !known || !job.IsUnlisted(item) {
		return nil, ErrNoJob
	}
	return body, nil
}
