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

// Reading is the result of a read of results.
type Reading struct {
	Total   int
	Results []batch.Result // from the requested position on, all durable
}

// Results returns a job's results from a position on. If there are none, it waits for some. It
// returns ErrNoJob only if the store has no such job, and ErrUnavailable if neither the owner
// nor the store answers.
//
// An owner that lost its connection to the store may have lost the job without knowing, and its
// answer could then lack results that other readers have seen. So an answer that is not certain
// is used only if the store does not answer either.
func (f *Frontend) Results(ctx context.Context, id string, from int, wait time.Duration) (Reading, error) {
	if f.Local.Switches.On(mechanism.CacheResults) {
		return f.readCached(ctx, id, from, wait)
	}
	return f.readUncached(ctx, id, from, wait)
}

// readCached returns the cached results followed by newer ones. If any are cached, it does not
// wait for more, and returns the cached ones even if neither the owner nor the store answers:
// durable results do not change.
func (f *Frontend) readCached(ctx context.Context, id string, from int, wait time.Duration) (Reading, error) {
	cached, next := f.cache.get(id, from)
	if len(cached.Results) > 0 {
		wait = 0
	}
	fresh, err := f.readUncached(ctx, id, next, wait)
	switch {
	case errors.Is(err, ErrUnavailable) && len(cached.Results) > 0:
		return cached, nil
	case err != nil:
		return Reading{}, err
	}
	f.cache.add(id, next, fresh)
	fresh.Results = append(cached.Results, fresh.Results...)
	return fresh, nil
}

// readUncached reads results via the hub if it can, otherwise from the owner, and from the
// store if the owner's answer is not current. If the store does not answer either, it returns
// what the owner answered.
func (f *Frontend) readUncached(ctx context.Context, id string, from int, wait time.Duration) (Reading, error) {
	if r, answered, err := f.readViaHub(ctx, id, from, wait); answered {
		return r, err
	}
	deadline := time.Now().Add(wait)
	reply := f.readFromOwner(ctx, id, from, wait)
	if reply.isCurrent() {
		return newReading(reply), nil
	}
	stored, err := f.readFromStore(ctx, id, from, deadline)
	if errors.Is(err, ErrUnavailable) && reply.Owned {
		return newReading(reply), nil
	}
	return stored, err
}

func newReading(reply ReadReply) Reading { return Reading{Total: reply.Total, Results: reply.Results} }

// readFromOwner reads results from the job's owner if that is known or can be guessed. It
// returns the zero reply if there is no answer.
func (f *Frontend) readFromOwner(ctx context.Context, id string, from int, wait time.Duration) ReadReply {
	owner, found := f.likelyOwner(ctx, id)
	if !found {
		return ReadReply{}
	}
	reply, err := f.askOwner(ctx, owner, id, from, wait)
	if err != nil {
		return ReadReply{}
	}
	known := f.snapshot(id)
	reply.Ended = reply.Ended || reply.Gone && known != nil && known.record.Ended
	return reply
}

// likelyOwner returns the job's owner from the cached record, or else asks the owners of the
// models that are served now.
func (f *Frontend) likelyOwner(ctx context.Context, id string) (owner string, found bool) {
	if known := f.snapshot(id); known != nil {
		return known.record.Owner, true
	}
	return f.locateOwner(ctx, id)
}

// locateOwner finds a job's owner among the processes that own the jobs of the models served
// now, so that the many processes at which a job is read need no call to the store.
func (f *Frontend) locateOwner(ctx context.Context, id string) (owner string, found bool) {
	if f.Models == nil {
		return "", false
	}
	candidates := f.ownersOf(f.Models())
	type located struct {
		owner string
		reply ReadReply
	}
	answers := make(chan located, len(candidates))
	for _, name := range candidates {
		go func() {
			reply, err := f.askOwner(ctx, name, id, math.MaxInt, 0) // past the end: no results
			if err != nil {
				reply = ReadReply{}
			}
			answers <- located{name, reply}
		}()
	}
	for range candidates {
		if a := <-answers; a.reply.isCurrent() {
			f.remember(id, jobRecord{Owner: a.owner, Total: a.reply.Total, Ended: a.reply.Ended})
			return a.owner, true
		}
	}
	return "", false
}

// unavailable logs the error and wraps it as ErrUnavailable. ErrNoJob is returned as it is.
func (f *Frontend) unavailable(id string, err error) error {
	if errors.Is(err, ErrNoJob) {
		return err
	}
	events.ReadFailed.Log(f.Log, logrus.Fields{"job": id, "error": err.Error()})
	return withRetryAfter(errors.Wrap(ErrUnavailable, err.Error()))
}

// snapshot returns a copy of what is cached of a job, or nil.
func (f *Frontend) snapshot(id string) *knownJob {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.known[id]
	if known == nil {
		return nil
	}
	copied := *known
	return &copied
}

func (f *Frontend) askOwner(ctx context.Context, owner, id string, from int, wait time.Duration) (ReadReply, error) {
	args := ReadArgs{Job: id, From: from, Wait: wait}
	return callOwner(ctx, f, owner, callRead, wait, args, func() ReadReply { return f.Local.read(ctx, args) })
}

// callOwner calls a method of an owner, or runs local if the owner is this process.
func callOwner[R any](ctx context.Context, f *Frontend, owner, method string, wait time.Duration, args any, local func() R) (R, error) {
	if owner == f.Local.Name {
		return local(), nil
	}
	var reply, none R
	if err := f.call(ctx, owner, method, wait, args, &reply); err != nil {
		return none, err // a late answer may still write to the reply
	}
	return reply, nil
}

func (f *Frontend) call(ctx context.Context, owner, method string, wait time.Duration, args, reply any) error {
	member, found := f.Members.Get(owner)
	if !found {
		return errors.Errorf("batchrun: process %s is not a known member", owner)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	return f.Peers.Call(ctx, member.Address, method, args, reply)
}

// readFromStore reads results from the store. It is used if the job has ended, or if its owner
// does not answer or has changed.
func (f *Frontend) readFromStore(ctx context.Context, id string, from int, deadline time.Time) (Reading, error) {
	for {
		found, record, err := f.currentRecord(ctx, id)
		if err != nil {
			return Reading{}, f.unavailable(id, err)
		}
		if !found {
			return Reading{}, ErrNoJob
		}
		results, err := f.storedResults(ctx, id, from)
		if err != nil {
			return Reading{}, f.unavailable(id, err)
		}
		if len(results) > 0 || record.Ended || from >= record.Total || time.Until(deadline) < storePollInterval || ctx.Err() != nil {
			return Reading{Total: record.Total, Results: results}, nil
		}
		pause(ctx, storePollInterval)
		if reply, err := f.askOwner(ctx, record.Owner, id, from, max(0, time.Until(deadline))); err == nil && reply.isCurrent() {
			return newReading(reply), nil
		}
	}
}

// currentRecord returns the record from the store, or the cached one if the job has ended,
// because that one can no longer change.
func (f *Frontend) currentRecord(ctx context.Context, id string) (found bool, record jobRecord, err error) {
	if known := f.snapshot(id); known != nil && known.record.Ended {
		return true, known.record, nil
	}
	stored, record, err := f.fetchRecord(ctx, id)
	return stored.Revision != 0, record, err
}

// storedResults returns the durable results from a position on. It reads only chunks that are
// not cached.
func (f *Frontend) storedResults(ctx context.Context, id string, from int) ([]batch.Result, error) {
	known := f.snapshot(id)
	if known == nil {
		known = &knownJob{}
	}
	complete := known.record.Total > 0 && len(known.results) >= known.record.Total
	if from >= len(known.results) && !complete {
		if err := f.readChunks(ctx, id, known); err != nil {
			return nil, err
		}
	}
	if from >= len(known.results) {
		return nil, nil
	}
	return known.results[from:], nil
}

func (f *Frontend) readChunks(ctx context.Context, id string, known *knownJob) error {
	results, after := known.results[:len(known.results):len(known.results)], known.lastKey
	for {
		page, err := f.Store.ReadPage(ctx, donePrefix(id), after)
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
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.known[id]; current != nil && len(current.results) < len(results) {
		current.results, current.lastKey = results, after
	}
	return nil
}

// Body returns the body of an item that has no durable result yet. It returns ErrNoJob if the
// job does not exist, has ended, or has no such item without a durable result.
func (f *Frontend) Body(ctx context.Context, id, item string) ([]byte, error) {
	if owner, found := f.likelyOwner(ctx, id); found {
		reply, err := f.askBody(ctx, owner, id, item)
		switch {
		case err != nil:
		case reply.Found:
			return reply.Body, nil
		case reply.Ended, reply.Owned: // it has a durable result, or is no item of the job
			return nil, ErrNoJob
		}
	}
	return f.storedBody(ctx, id, item)
}

func (f *Frontend) askBody(ctx context.Context, owner, id, item string) (BodyReply, error) {
	args := BodyArgs{Job: id, Item: item}
	return callOwner(ctx, f, owner, callBody, 0, args, func() BodyReply { return f.Local.body(args) })
}

func (f *Frontend) storedBody(ctx context.Context, id, item string) ([]byte, error) {
	found, record, err := f.currentRecord(ctx, id)
	if err != nil {
		return nil, f.unavailable(id, err)
	}
	if !found || record.Ended {
		return nil, ErrNoJob
	}
	parts, err := kv.ReadAll(ctx, f.Store, specPrefix(id))
	if err != nil {
		return nil, f.unavailable(id, err)
	}
	spec, err := joinSpec(parts.Records, record.Parts)
	if err != nil {
		return nil, f.unavailable(id, err)
	}
	listed, err := f.storedResults(ctx, id, 0)
	if err != nil {
		return nil, f.unavailable(id, err)
	}
	job := batch.NewJob(spec, listed)
	body, known := job.Body(item)
	if !known || !job.IsUnlisted(item) {
		return nil, ErrNoJob
	}
	return body, nil
}
