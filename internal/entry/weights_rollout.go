package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	methodOrder = wire.AgentService + ".Order"

	// rolloutStepInterval is the interval of the steps of a rollout.
	rolloutStepInterval = 50 * time.Millisecond
	// instanceListInterval is the interval of reads of the instance list. The list is
	// not part of the key-value service, so reads do not count towards its call budget.
	instanceListInterval = 2 * time.Second
	// watchRetryDelay is the delay before an interrupted watch is reopened.
	watchRetryDelay = time.Second
	// orderReplyMargin is added to the remaining time of an order to get the timeout of
	// the call.
	orderReplyMargin = time.Second
	// statusTimeout bounds a status order, so that a connection that does not answer
	// is detected soon.
	statusTimeout = 2 * time.Second
)

// serviceRollout runs the rollout of one service while this entry holds the
// service's weights duty.
type serviceRollout struct {
	weights *Weights
	service string
	epoch   int64
	stop    context.CancelFunc

	mu        sync.Mutex
	rollout   *weights.Rollout
	addresses map[string]string     // of agents, by instance ID
	listed    []weights.Member      // without Serving, which members sets
	down      map[string]bool       // agents that did not answer their last order, or whose engine did not
	done      map[weights.Key]int64 // newest version logged as complete
	blocked   bool                  // as last logged
}

func (w *Weights) startRollout(service string, epoch int64) *serviceRollout {
	config := weights.DefaultConfig()
	config.Duty = weights.Duty(service)
	config.Epoch = epoch
	if w.options.AdjustConfig != nil {
		w.options.AdjustConfig(&config)
	}
	ctx, cancel := context.WithCancel(w.ctx)
	r := &serviceRollout{
		weights:   w,
		service:   service,
		epoch:     epoch,
		stop:      cancel,
		rollout:   weights.NewRollout(config),
		addresses: map[string]string{},
		down:      map[string]bool{},
		done:      map[weights.Key]int64{},
	}
	events.WeightsRolloutStarted.Log(w.options.Log, r.fields())
	go r.watch(ctx)
	go r.pollInstances(ctx)
	go r.run(ctx)
	return r
}

func (r *serviceRollout) fields() logrus.Fields {
	return logrus.Fields{"service": r.service, "epoch": r.epoch}
}

// watch reads the record of announced versions and watches it until ctx ends.
func (r *serviceRollout) watch(ctx context.Context) {
	store := r.weights.options.Store
	path := weightsKey(r.weights.options.Deployment, r.service)
	for ctx.Err() == nil {
		found, err := store.Get(ctx, kv.UseWeights, path)
		if err == nil {
			r.applyRecord(found)
			_ = store.Watch(ctx, kv.UseWeights, path, found.Revision, func(all []kv.Record) {
				for _, changed := range all {
					if changed.Key == path {
						r.applyRecord(changed)
					}
				}
			})
		}
		sleep(ctx, watchRetryDelay)
	}
}

func (r *serviceRollout) applyRecord(found kv.Record) {
	record, err := weightsRecord(found)
	if err != nil {
		events.WeightsUnreadable.Log(r.weights.options.Log, logrus.Fields{"service": r.service, "error": err.Error()})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range record.Targets {
		r.rollout.SetTarget(t.Key(), t.Version)
	}
}

// pollInstances reads the instance list periodically. If a read fails, the last list
// stays in use.
func (r *serviceRollout) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		all, err := r.weights.options.Instances.Instances(ctx, r.weights.options.Deployment)
		if err == nil {
			r.setListed(all)
		}
		sleep(ctx, instanceListInterval)
	}
}

func (r *serviceRollout) setListed(all []kv.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = r.listed[:0]
	clear(r.addresses)
	for _, in := range all {
		if in.Service != r.service || in.Role != "agent" {
			continue
		}
		r.addresses[in.ID] = in.Address
		r.listed = append(r.listed, weights.Member{ID: in.ID, Address: in.Address, Domain: in.FailureDomain, Leaving: in.Leaving})
	}
}

func (r *serviceRollout) run(ctx context.Context) {
	ticker := time.NewTicker(rolloutStepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		orders, deposed := r.step(time.Now())
		for _, order := range orders {
			go r.sendOrder(ctx, order)
		}
		if deposed {
			events.WeightsRolloutSuperseded.Log(r.weights.options.Log, r.fields())
			return
		}
	}
}

func (r *serviceRollout) step(now time.Time) ([]weights.EngineOrder, bool) {
	d := r.weights.options.Config.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	if d == nil {
		// Without a configuration the capacity floor is unknown, so no order is
		// sent.
		return nil, r.rollout.Deposed()
	}
	service, declared := findService(d, r.service)
	if !declared {
		return nil, r.rollout.Deposed()
	}
	r.rollout.SetCapacityFloor(service.CapacityFloor)
	r.rollout.SetRoles(rolesOf(service))
	r.rollout.SetMembers(r.members(d.DrainInstances), now)
	orders := r.rollout.Step(now)
	r.logProgress(now)
	return orders, r.rollout.Deposed()
}

func rolesOf(service decl.Service) []weights.Role {
	var roles []weights.Role
	for _, role := range service.EngineRoles() {
		roles = append(roles, weights.Role(role))
	}
	return roles
}

// members returns the listed engines. One that an operator drained does not count
// towards the capacity and gets no weights until the drain ends.
func (r *serviceRollout) members(drained []string) []weights.Member {
	members := make([]weights.Member, len(r.listed))
	for i, m := range r.listed {
		m.Serving = !r.down[m.ID]
		m.Leaving = m.Leaving || slices.Contains(drained, m.ID)
		members[i] = m
	}
	return members
}

// logProgress logs when a version has reached every engine and when the capacity
// floor prevents every load.
func (r *serviceRollout) logProgress(now time.Time) {
	blocked := false
	for _, p := range r.rollout.Progress(now) {
		blocked = blocked || p.Blocked && p.Done < p.Engines
		if p.Key == weights.RoleKey {
			r.logRoles(p)
			continue
		}
		if p.Engines > 0 && p.Done == p.Engines && r.done[p.Key] < p.Version {
			r.done[p.Key] = p.Version
			events.WeightsInForce.Log(r.weights.options.Log, logrus.Fields{"service": r.service, "model": p.Key.Model, "adapter": p.Key.Adapter, "version": p.Version, "engines": p.Engines})
		}
	}
	if blocked && !r.blocked {
		events.WeightsBlocked.Log(r.weights.options.Log, r.fields())
	}
	r.blocked = blocked
}

// logRoles logs once when every engine has its declared role.
func (r *serviceRollout) logRoles(p weights.Progress) {
	if p.Engines == 0 || p.Done < p.Engines {
		delete(r.done, p.Key)
		return
	}
	if r.done[p.Key] < p.Version {
		r.done[p.Key] = p.Version
		events.RolesInForce.Log(r.weights.options.Log, logrus.Fields{"service": r.service, "engines": p.Engines})
	}
}

// sendOrder sends an order and passes its reply to the rollout.
func (r *serviceRollout) sendOrder(ctx context.Context, s weights.EngineOrder) {
	limit := s.Order.Remaining + orderReplyMargin
	if s.Order.Kind == wire.OrderStatus {
		limit = statusTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r.mu.Lock()
	address := r.addresses[s.Engine]
	r.mu.Unlock()
	var answer, reply wire.OrderReply
	err := r.weights.agents.Call(callCtx, address, methodOrder, s.Order, &answer)
	if err == nil {
		reply = answer
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[s.Engine] = err != nil || reply.Reason == wire.ReasonNoEndpoint
	r.rollout.HandleReply(s.Engine, s.Order, reply, err == nil, time.Now())
}

func (r *serviceRollout) progress() []weights.Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rollout.Progress(time.Now())
}
