// Package changefeed measures how many bytes of fleet updates a process of the reference
// fleet receives: in an ordinary minute, and when it switches to another relay, which has
// either run for long or just restarted. The reference fleet has the size that the users
// expect within two years.
//
// The figures cover the topics of an answer, encoded as they are between processes.
// They leave out packet headers and the calls themselves. The measurement and its
// figures have older names: "news" for updates and "scout" for a relay.
package changefeed

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/changefeed"
)

// The reference fleet: endpoints of model services, and a few of plain services that
// entries send requests to.
const (
	endpoints                = 1300
	plainServices            = 4
	endpointsPerPlainService = 10
	modelServices            = 14
	// versionInterval is the time between new weights of a model. Loading them writes
	// an engine's record writesPerLoad times.
	versionInterval = 11 * time.Minute
	writesPerLoad   = 2
	restartsPerDay  = 434
	recordBytes     = 350 // size of the record of one endpoint
	minute          = 60 * time.Second
	listSeed        = 17
)

const prefix = "endpoints/"

// Bounds returns the measurements of this package.
func Bounds() []bounds.Measurement {
	return []bounds.Measurement{{Name: "news", Run: measure}}
}

// fleet is the list of endpoints with the relays that serve it.
type fleet struct {
	random   *rand.Rand
	revision int64
	relays   []*changefeed.Topics[kv.Change]
	service  map[string]string
	keys     []string
}

func newFleet() *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(listSeed, 1)), service: map[string]string{}}
	for i := range endpoints {
		service := fmt.Sprintf("model-%02d", i%modelServices)
		if i < plainServices*endpointsPerPlainService {
			service = fmt.Sprintf("plain-%d", i%plainServices)
		}
		key := fmt.Sprintf("%si-%010x", prefix, f.random.Uint64N(1<<40))
		f.keys = append(f.keys, key)
		f.service[key] = service
	}
	f.relays = []*changefeed.Topics[kv.Change]{f.newRelay(1), f.newRelay(2)}
	for _, key := range f.keys {
		f.write(key)
	}
	f.markSynced(f.relays...)
	return f
}

func (f *fleet) newRelay(boot int64) *changefeed.Topics[kv.Change] {
	t := changefeed.NewTopics[kv.Change](boot)
	t.Add(prefix, time.Second)
	return t
}

// write changes the record of an endpoint in every relay.
func (f *fleet) write(key string) {
	f.revision++
	value := make([]byte, recordBytes)
	for i := range value {
		value[i] = byte(f.random.Uint32())
	}
	record := kv.Record{Key: key, Value: value, Revision: f.revision}
	for _, s := range f.relays {
		s.Get(prefix).Put(change(record, f.service[key]))
	}
}

func change(r kv.Record, scope string) changefeed.Change[kv.Change] {
	return changefeed.Change[kv.Change]{Key: r.Key, Revision: r.Revision, Scope: scope, Payload: kv.Change{Record: r}}
}

func (f *fleet) markSynced(relays ...*changefeed.Topics[kv.Change]) {
	for _, s := range relays {
		s.Get(prefix).MarkListed(f.revision)
		s.Get(prefix).MarkSynced(time.Time{}, f.revision)
	}
}

// restartedRelay returns a new relay that has just listed all endpoints.
func (f *fleet) restartedRelay(from *changefeed.Topics[kv.Change]) (*changefeed.Topics[kv.Change], error) {
	update := from.Get(prefix).Since(changefeed.Position{}, &changefeed.Interest{Prefix: prefix})
	if len(update.Changes) != endpoints {
		return nil, errors.Errorf("changefeed: the relay knows %d of %d endpoints", len(update.Changes), endpoints)
	}
	restarted := f.newRelay(3)
	for _, c := range update.Changes {
		restarted.Get(prefix).Put(change(c.Record, f.service[c.Record.Key]))
	}
	f.markSynced(restarted)
	return restarted, nil
}

// follower is a process that receives updates from a relay.
type follower struct {
	interest changefeed.Interest
	position changefeed.Position
}

// fetch gets an update from a relay and returns its size in bytes.
func (f *follower) fetch(s *changefeed.Topics[kv.Change]) (float64, error) {
	update := s.Get(prefix).Since(f.position, &f.interest)
	f.position, f.interest.AsOf = s.Position(), update.AsOf
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(cluster.TopicNews{Full: update.Full, AsOf: update.AsOf, Changes: update.Changes, Stands: update.Stands})
	return float64(b.Len()), err
}

// newEntry returns an entry, which receives the endpoints of the plain services only.
func newEntry() *follower {
	p := &follower{interest: changefeed.Interest{Prefix: prefix, Scopes: []string{}}}
	for i := range plainServices {
		p.interest.Scopes = append(p.interest.Scopes, fmt.Sprintf("plain-%d", i))
	}
	return p
}

// newWorker returns a worker, which receives all endpoints.
func newWorker() *follower { return &follower{interest: changefeed.Interest{Prefix: prefix}} }

// ordinaryMinute makes the changes of one minute while the follower fetches once a
// second, and returns the bytes per second that it received.
func (f *fleet) ordinaryMinute(p *follower) (float64, error) {
	loads := float64(endpoints) * writesPerLoad * minute.Seconds() / versionInterval.Seconds()
	restarts := restartsPerDay * minute.Hours() / 24
	perSecond := (loads + restarts) / minute.Seconds()
	total, pending := 0.0, 0.0
	for range int(minute.Seconds()) {
		for pending += perSecond; pending >= 1; pending-- {
			f.write(f.keys[f.random.IntN(len(f.keys))])
		}
		f.markSynced(f.relays...)
		n, err := p.fetch(f.relays[0])
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total / minute.Seconds(), nil
}

func measure() ([]bounds.Figure, error) {
	var figures []bounds.Figure
	for _, kind := range []struct {
		name string
		new  func() *follower
	}{{"entry", newEntry}, {"worker", newWorker}} {
		f, p := newFleet(), kind.new()
		if _, err := p.fetch(f.relays[0]); err != nil {
			return nil, err
		}
		rate, err := f.ordinaryMinute(p)
		if err != nil {
			return nil, err
		}
		afterLoss, err := p.fetch(f.relays[1])
		if err != nil {
			return nil, err
		}
		f.write(f.keys[0])
		restarted, err := f.restartedRelay(f.relays[1])
		if err != nil {
			return nil, err
		}
		afterRestart, err := p.fetch(restarted)
		if err != nil {
			return nil, err
		}
		figures = append(figures,
			bounds.Figure{Name: "news.bytes_per_s." + kind.name, Value: rate},
			bounds.Figure{Name: "news.scout_lost_bytes." + kind.name, Value: afterLoss},
			bounds.Figure{Name: "news.scout_restarted_bytes." + kind.name, Value: afterRestart},
		)
	}
	return figures, nil
}
