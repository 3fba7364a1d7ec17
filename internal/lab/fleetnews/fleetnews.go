// Package fleetnews measures, at the size expected within two years, what news of
// the fleet cost the processes that take them: in an ordinary minute, and in the
// moment at which a scout is lost and its followers turn to another one.
//
// What it leaves out: packet headers, and the calls themselves; it counts what an
// answer's topics take, encoded as they are between processes.
package fleetnews

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
	"siskinloom.example/siskinloom/internal/policy/news"
)

// The letter's size: engines in services of models, of which a few are plain
// services that entries send requests to.
const (
	endpoints     = 1300
	plainServices = 4
	plainEach     = 10
	modelServices = 14
	// versionEvery is how often each model's weights change; a load of them writes an
	// engine's entry twice.
	versionEvery   = 11 * time.Minute
	writesPerLoad  = 2
	restartsPerDay = 434
	entryBytes     = 350 // of one endpoint's entry
	minute         = 60 * time.Second
	listSeed       = 17
)

const prefix = "endpoints/"

// Bounds lists the package's measurements.
func Bounds() []bounds.Measurement {
	return []bounds.Measurement{{Name: "news", Run: measure}}
}

// fleet is the list of endpoints with the processes that pass it on.
type fleet struct {
	random   *rand.Rand
	revision int64
	scouts   []*news.Topics[kv.Change]
	service  map[string]string
	keys     []string
}

func newFleet() *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(listSeed, 1)), service: map[string]string{}}
	for i := range endpoints {
		service := fmt.Sprintf("model-%02d", i%modelServices)
		if i < plainServices*plainEach {
			service = fmt.Sprintf("plain-%d", i%plainServices)
		}
		key := fmt.Sprintf("%si-%010x", prefix, f.random.Uint64N(1<<40))
		f.keys = append(f.keys, key)
		f.service[key] = service
	}
	f.scouts = []*news.Topics[kv.Change]{f.scout(1), f.scout(2)}
	for _, key := range f.keys {
		f.write(key)
	}
	f.listed(f.scouts...)
	return f
}

func (f *fleet) scout(boot int64) *news.Topics[kv.Change] {
	t := news.NewTopics[kv.Change](boot)
	t.Add(prefix, time.Second)
	return t
}

// write changes an endpoint's entry, and every scout hears of it.
func (f *fleet) write(key string) {
	f.revision++
	value := make([]byte, entryBytes)
	for i := range value {
		value[i] = byte(f.random.Uint32())
	}
	record := kv.Record{Key: key, Value: value, Revision: f.revision}
	for _, s := range f.scouts {
		s.Get(prefix).Put(change(record, f.service[key]))
	}
}

func change(r kv.Record, scope string) news.Change[kv.Change] {
	return news.Change[kv.Change]{Key: r.Key, Revision: r.Revision, Scope: scope, Payload: kv.Change{Record: r}}
}

func (f *fleet) listed(scouts ...*news.Topics[kv.Change]) {
	for _, s := range scouts {
		s.Get(prefix).MarkListed(f.revision)
		s.Get(prefix).MarkSynced(time.Time{}, f.revision)
	}
}

// restarted returns a scout that has just listed everything.
func (f *fleet) restarted(from *news.Topics[kv.Change]) (*news.Topics[kv.Change], error) {
	whole := from.Get(prefix).Since(news.Position{}, &news.Interest{Prefix: prefix})
	if len(whole.Changes) != endpoints {
		return nil, errors.Errorf("fleetnews: %d of %d endpoints are known", len(whole.Changes), endpoints)
	}
	fresh := f.scout(3)
	for _, c := range whole.Changes {
		fresh.Get(prefix).Put(change(c.Record, f.service[c.Record.Key]))
	}
	f.listed(fresh)
	return fresh, nil
}

// follower is a process that takes news.
type follower struct {
	interest news.Interest
	at       news.Position
}

// ask takes news from a scout and returns how many bytes they are.
func (p *follower) ask(s *news.Topics[kv.Change]) (float64, error) {
	n := s.Get(prefix).Since(p.at, &p.interest)
	p.at, p.interest.AsOf = s.Position(), n.AsOf
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(cluster.TopicNews(n))
	return float64(b.Len()), err
}

func entry() *follower {
	p := &follower{interest: news.Interest{Prefix: prefix, Scopes: []string{}}}
	for i := range plainServices {
		p.interest.Scopes = append(p.interest.Scopes, fmt.Sprintf("plain-%d", i))
	}
	return p
}

func worker() *follower { return &follower{interest: news.Interest{Prefix: prefix}} }

// ordinaryMinute plays a minute's changes, with one ask a second, and returns the
// bytes a second.
func (f *fleet) ordinaryMinute(p *follower) (float64, error) {
	loads := float64(endpoints) * writesPerLoad * minute.Seconds() / versionEvery.Seconds()
	restarts := restartsPerDay * minute.Hours() / 24
	perSecond := (loads + restarts) / minute.Seconds()
	sum, due := 0.0, 0.0
	for range int(minute.Seconds()) {
		for due += perSecond; due >= 1; due-- {
			f.write(f.keys[f.random.IntN(len(f.keys))])
		}
		f.listed(f.scouts...)
		n, err := p.ask(f.scouts[0])
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum / minute.Seconds(), nil
}

func measure() ([]bounds.Figure, error) {
	var figures []bounds.Figure
	for _, kind := range []struct {
		name string
		new  func() *follower
	}{{"entry", entry}, {"worker", worker}} {
		f, p := newFleet(), kind.new()
		if _, err := p.ask(f.scouts[0]); err != nil {
			return nil, err
		}
		rate, err := f.ordinaryMinute(p)
		if err != nil {
			return nil, err
		}
		lost, err := p.ask(f.scouts[1])
		if err != nil {
			return nil, err
		}
		f.write(f.keys[0])
		fresh, err := f.restarted(f.scouts[1])
		if err != nil {
			return nil, err
		}
		anew, err := p.ask(fresh)
		if err != nil {
			return nil, err
		}
		figures = append(figures,
			bounds.Figure{Name: "news.bytes_per_s." + kind.name, Value: rate},
			bounds.Figure{Name: "news.scout_lost_bytes." + kind.name, Value: lost},
			bounds.Figure{Name: "news.scout_restarted_bytes." + kind.name, Value: anew},
		)
	}
	return figures, nil
}
