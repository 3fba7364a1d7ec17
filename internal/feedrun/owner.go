package feedrun

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/wire"
)

// owner drives the handover of one feed under one epoch.
type owner struct {
	options    Options
	generation *generation
	deployment string
	name       string // of the feed
	key        string // of its manifest
	epoch      int64
	ctx        context.Context
	cancel     context.CancelFunc

	mu           sync.Mutex
	feed         decl.Feed
	state        *handover.Owner
	pendingPulls map[uint64]chan wire.PullReply // each channel takes one reply
	lastCall     uint64
}

func newOwner(ctx context.Context, o Options, g *generation, deployment string, feed decl.Feed, epoch int64) *owner {
	ctx, cancel := context.WithCancel(ctx)
	return &owner{
		options:      o,
		generation:   g,
		deployment:   deployment,
		name:         feed.Name,
		key:          handover.ManifestKey(deployment, feed.Name),
		epoch:        epoch,
		ctx:          ctx,
		cancel:       cancel,
		feed:         feed,
		state:        handover.New(handoverConfig(feed), o.Instance+"/"+ulid.Make().String(), epoch),
		pendingPulls: map[uint64]chan wire.PullReply{},
	}
}

// stop ends the owner's work. Waiting pulls are refused so that they look for
// the next owner.
func (o *owner) stop() {
	o.cancel()
	o.mu.Lock()
	defer o.mu.Unlock()
	for call := range o.pendingPulls {
		o.sendReply(call, wire.PullReply{Refusal: string(handover.NotOwner)})
	}
}

func (o *owner) configure(feed decl.Feed) {
	o.mu.Lock()
	o.feed = feed
	o.mu.Unlock()
	o.deliver(handover.Configured{Config: handoverConfig(feed)})
}

// deliver passes an event to the state machine and executes the resulting
// actions.
func (o *owner) deliver(e handover.Event) {
	o.mu.Lock()
	for _, a := range o.state.Step(time.Now(), e) {
		o.execute(a)
	}
	o.mu.Unlock()
	o.generation.wakeUp()
}

// execute starts an action. The lock is held, so it must not block.
func (o *owner) execute(a handover.Action) {
	switch a := a.(type) {
	case handover.Read:
		go o.read()
	case handover.Write:
		go o.write(a)
	case handover.Reply:
		o.sendReply(a.Call, o.pullReply(a.Answer))
	case handover.Refuse:
		events.PullRefused.Log(o.options.Log, logrus.Fields{"feed": o.name, "reason": string(a.Reason)})
		o.sendReply(a.Call, wire.PullReply{Refusal: string(a.Reason)})
	case handover.Deposed:
		events.FeedSuperseded.Log(o.options.Log, logrus.Fields{"feed": o.name, "epoch": o.epoch})
	}
}

func (o *owner) sendReply(call uint64, reply wire.PullReply) {
	if replyCh := o.pendingPulls[call]; replyCh != nil {
		delete(o.pendingPulls, call)
		replyCh <- reply
	}
}

func (o *owner) read() {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	record, err := o.options.Store.Get(ctx, kv.UseHandover, o.key)
	if err != nil {
		o.deliver(handover.ReadFailed{})
		return
	}
	o.deliver(handover.ReadDone{Value: record.Value, Revision: record.Revision})
}

func (o *owner) write(w handover.Write) {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	swapped, current, err := o.options.Store.CompareAndSwap(ctx, kv.UseHandover, kv.Write{
		Key: o.key, ExpectedRevision: w.Expected, Value: w.Value,
	})
	e := handover.WriteDone{Nonce: w.Nonce, Value: current.Value, Revision: current.Revision}
	switch {
	case errors.Is(err, kv.ErrUnavailable), errors.Is(err, kv.ErrBudget):
		e.Result = handover.WriteNotApplied
	case err != nil:
		e.Result = handover.WriteIndeterminate
	case swapped:
		e.Result = handover.WriteApplied
	default:
		e.Result = handover.WriteConflict
	}
	o.deliver(e)
}

// pull waits for the answer to a trainer's pull.
func (o *owner) pull(ctx context.Context, req wire.PullRequest) wire.PullReply {
	p, ok := o.parsePull(req)
	if !ok {
		return wire.PullReply{Refusal: string(handover.Inconsistent)}
	}
	replyCh := make(chan wire.PullReply, 1)
	o.mu.Lock()
	o.lastCall++
	call := o.lastCall
	o.pendingPulls[call] = replyCh
	o.mu.Unlock()
	o.deliver(handover.Pulled{Call: call, Pull: p})
	timer := time.NewTimer(req.Wait)
	defer timer.Stop()
	select {
	case reply := <-replyCh:
		return reply
	case <-timer.C:
	case <-ctx.Done():
	case <-o.ctx.Done():
	}
	o.deliver(handover.PullTimedOut{Call: call})
	select {
	case reply := <-replyCh:
		return reply
	default:
		return wire.PullReply{Refusal: string(handover.NotOwner)}
	}
}

func (o *owner) parsePull(req wire.PullRequest) (handover.Pull, bool) {
	p := handover.Pull{
		Cursor:    req.Cursor,
		Version:   req.WeightVersion,
		Token:     req.Token,
		Restarted: req.Restarted,
	}
	for _, lot := range req.Unrecorded {
		held := handover.HeldLot{Cursor: lot.Cursor}
		for _, name := range lot.SampleIDs {
			id, err := sample.Parse(name, req.Deployment, req.Feed)
			if err != nil {
				return p, false
			}
			held.IDs = append(held.IDs, id)
		}
		p.Unrecorded = append(p.Unrecorded, held)
	}
	return p, true
}

func (o *owner) pullReply(a handover.Answer) wire.PullReply {
	reply := wire.PullReply{
		Cursor:         a.Cursor,
		Token:          a.Token,
		RecordedCursor: a.Recorded,
		Step:           a.Step,
		StepComplete:   a.StepComplete && len(a.Samples) > 0,
	}
	for _, s := range a.Samples {
		reply.Samples = append(reply.Samples, wire.Sample{
			ID:       s.ID.Name(o.deployment, o.name),
			Prompt:   s.Prompt,
			Text:     s.Text,
			Segments: s.Segments,
			Score:    s.Score,
			Step:     s.ID.Step,
			Group:    s.ID.Group,
			Index:    s.ID.Index,
			Failed:   s.Failed,
		})
	}
	o.counter("handed").Inc(int64(len(a.Samples)))
	return reply
}

func (o *owner) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(metricName(o.name, name), o.options.Metrics)
}

// demand returns the samples to generate with the demand's version, and false
// if the version is still last.
func (o *owner) demand(last demandVersion) (rollout.Demand, demandVersion, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.state.Serving() {
		return rollout.Demand{Feed: o.name}, demandVersion{}, last != demandVersion{}
	}
	version := demandVersion{
		serving:       true,
		changes:       o.state.ChangeCount(),
		training:      o.state.Training(),
		weightVersion: o.state.Version(),
	}
	if version == last {
		return rollout.Demand{}, version, false
	}
	step := o.state.FirstStep()
	return rollout.Demand{
		Feed:     o.name,
		Step:     step,
		Version:  version.weightVersion,
		Training: version.training,
		Current:  o.state.Wanted(step),
		Next:     o.state.Wanted(step + 1),
	}, version, true
}

// demandVersion identifies the state from which a demand was derived. An equal
// version means an equal demand.
type demandVersion struct {
	serving       bool
	changes       uint64
	training      bool
	weightVersion int64
}

func (o *owner) declaration() decl.Feed {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.feed
}

func (o *owner) status() Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := Status{Feed: o.name, Epoch: o.epoch, Serving: o.state.Serving(), Counters: o.state.Counters()}
	if s.Serving {
		s.Step = o.state.FirstStep()
		s.Version = o.state.Version()
	}
	return s
}
