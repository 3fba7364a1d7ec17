package entry

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

// announceRetryDelay is the pause before an announcement is written again.
const announceRetryDelay = 100 * time.Millisecond

// ErrUnknownFeed is returned for an announcement from a feed that the
// configuration does not declare, or for another model than the feed's.
var ErrUnknownFeed = errors.New("entry: no such feed for this model")

// Instances reads the platform's lagging list of instances.
type Instances interface {
	Instances(ctx context.Context, deployment string) ([]kv.Instance, error)
}

// WeightsOptions sets up Weights.
type WeightsOptions struct {
	Store      kv.Store
	Duties     DutyLeases
	Config     Config
	Instances  Instances
	Dial       rpcpool.DialFunc // to agents; nil: plain TCP
	Deployment string
	Log        *logrus.Logger
	// Rollout changes the parameters of the rollouts; nil keeps the defaults.
	Rollout func(*weights.Config)
}

// Weights takes word of new weight versions and, for each service whose weights
// duty this entry holds, rolls them out. It is safe for concurrent use.
type Weights struct {
	options WeightsOptions
	agents  *rpcpool.Pool

	mu       sync.Mutex
	rollouts map[string]*serviceRollout // by service
	ctx      context.Context            // of Run; nil before
}

var _ VersionAnnouncer = (*Weights)(nil)

// NewWeights returns weights that own no rollout until Run.
func NewWeights(o WeightsOptions) *Weights {
	return &Weights{options: o, agents: rpcpool.New(o.Dial), rollouts: map[string]*serviceRollout{}}
}

// WeightDuties lists the duties that a deployment has for weights.
func WeightDuties(d *decl.Deployment) []string {
	var names []string
	for _, s := range d.Services {
		if s.Kind == decl.KindModel {
			names = append(names, weights.Duty(s.Name))
		}
	}
	return names
}

func weightsKey(deployment, service string) string {
	return weights.DutyPrefix + deployment + "/" + service
}

// Announce records that a version is in the weight store and returns the newest
// one announced, which will be served. It returns once the record is known to
// stand; until ctx ends an unknown write is settled by reading.
func (w *Weights) Announce(ctx context.Context, deployment, feed, model string, version int64, adapter string) (int64, error) {
	service, err := w.serviceOf(deployment, feed, model)
	if err != nil {
		return 0, err
	}
	key := weights.Key{Model: model, Adapter: adapter}
	for {
		newest, err := w.raiseRecord(ctx, service, key, version)
		if err == nil {
			events.WeightsAnnounced.Log(w.options.Log, logrus.Fields{"service": service, "model": model, "adapter": adapter, "version": version, "standing": newest})
			return newest, nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Wrap(err, "entry: announce")
		case <-time.After(announceRetryDelay):
		}
	}
}

func (w *Weights) serviceOf(deployment, feed, model string) (string, error) {
	d := w.options.Config.Current()
	if d == nil || d.Name != deployment {
		return "", errors.Wrapf(ErrUnknownFeed, "deployment %q", deployment)
	}
	for _, f := range d.Feeds {
		if f.Name == feed && f.Model == model {
			return f.Service, nil
		}
	}
	return "", errors.Wrapf(ErrUnknownFeed, "feed %q, model %q", feed, model)
}

// raise tries once to have the record name at least the version. Repeating it
// after an unknown outcome is harmless: a record that stands is not raised again.
func (w *Weights) raiseRecord(ctx context.Context, service string, key weights.Key, version int64) (int64, error) {
	path := weightsKey(w.options.Deployment, service)
	found, err := w.options.Store.Get(ctx, kv.UseWeights, path)
	if err != nil {
		return 0, err
	}
	record, err := weightsRecord(found)
	if err != nil {
		return 0, err
	}
	raised, changed := record.Raise(key, version)
	if !changed {
		return record.Version(key), nil
	}
	value, err := json.Marshal(raised)
	if err != nil {
		return 0, errors.Wrap(err, path)
	}
	swapped, current, err := w.options.Store.CompareAndSwap(ctx, kv.UseWeights, kv.Write{Key: path, ExpectedRevision: found.Revision, Value: value})
	if err != nil {
		return 0, err
	}
	if swapped {
		return raised.Version(key), nil
	}
	if record, err = weightsRecord(current); err != nil {
		return 0, err
	}
	if record.Version(key) < version {
		return 0, errors.Errorf("another writer changed %s first", path)
	}
	return record.Version(key), nil
}

func weightsRecord(r kv.Record) (weights.Record, error) {
	var record weights.Record
	if r.Revision == 0 {
		return record, nil
	}
	err := json.Unmarshal(r.Value, &record)
	return record, errors.Wrap(err, r.Key)
}

// Run rolls weights out for the duties held until ctx ends.
func (w *Weights) Run(ctx context.Context) error {
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()
	w.options.Duties.OnChange(weights.DutyPrefix, w.onDutyChange)
	<-ctx.Done()
	return nil
}

// changed takes in a new standing to a duty. A lapsed lease ends nothing: agents
// refuse the orders once a successor has raised the epoch.
func (w *Weights) onDutyChange(c duties.Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	service := strings.TrimPrefix(c.Duty, weights.DutyPrefix)
	held, ok := w.rollouts[service]
	unchanged := ok && held.epoch == c.Epoch && c.LeaseState != duties.NotHolder
	if unchanged {
		return
	}
	if ok {
		held.stop()
		delete(w.rollouts, service)
	}
	if c.LeaseState == duties.Holder && w.ctx.Err() == nil {
		w.rollouts[service] = w.startRollout(service, c.Epoch)
	}
}

// Progress tells how far the services' newest versions have come, for the
// rollouts that this entry owns.
func (w *Weights) Progress() map[string][]weights.Progress {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := map[string][]weights.Progress{}
	for service, r := range w.rollouts {
		all[service] = r.progress()
	}
	return all
}
