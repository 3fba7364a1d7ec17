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

// announceRetryDelay is the delay before a failed announcement is retried.
const announceRetryDelay = 100 * time.Millisecond

// ErrUnknownFeed is returned for an announcement whose feed is not declared in the
// configuration or has another model.
var ErrUnknownFeed = errors.New("entry: no such feed for this model")

// Instances reads the platform's list of instances, which may be outdated.
type Instances interface {
	Instances(ctx context.Context, deployment string) ([]kv.Instance, error)
}

// WeightsOptions configures Weights.
type WeightsOptions struct {
	Store      kv.Store
	Duties     DutyLeases
	Config     Config
	Instances  Instances
	Dial       rpcpool.DialFunc // dials agents; nil means plain TCP
	Deployment string
	Log        *logrus.Logger
	// AdjustConfig adjusts the configuration of each rollout. Nil keeps the defaults.
	AdjustConfig func(*weights.Config)
}

// Weights records announcements of new weight versions and rolls them out for each
// service whose weights duty this entry holds. It is safe for concurrent use.
type Weights struct {
	options WeightsOptions
	agents  *rpcpool.Pool

	mu       sync.Mutex
	rollouts map[string]*serviceRollout // by service
	ctx      context.Context            // context of Run; nil before Run
}

var _ VersionAnnouncer = (*Weights)(nil)

// NewWeights returns a Weights that owns no rollout until Run is called.
func NewWeights(o WeightsOptions) *Weights {
	return &Weights{options: o, agents: rpcpool.New(o.Dial), rollouts: map[string]*serviceRollout{}}
}

// WeightDuties returns the names of a deployment's weights duties, one per model
// service.
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
// announced version, which will be served. It returns once the record is known to
// be stored, and retries until ctx ends: after an indeterminate write the retry
// reads the record.
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

// raiseRecord makes one attempt to raise the recorded version to at least version.
// A retry after an indeterminate write is idempotent: a record that already has the
// version is not written again.
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

// Run rolls out weights for the duties that this entry holds, until ctx ends.
func (w *Weights) Run(ctx context.Context) error {
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()
	w.options.Duties.OnChange(weights.DutyPrefix, w.onDutyChange)
	<-ctx.Done()
	return nil
}

// onDutyChange handles a new lease state of a duty. A lapsed lease stops nothing:
// agents refuse the orders once a successor has raised the epoch.
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

// Progress returns the progress of the rollouts that this entry owns, by service.
func (w *Weights) Progress() map[string][]weights.Progress {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := map[string][]weights.Progress{}
	for service, r := range w.rollouts {
		all[service] = r.progress()
	}
	return all
}
