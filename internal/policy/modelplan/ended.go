package modelplan

import (
	"slices"
	"time"
)

const (
	// maxEndedLoads is the number of engines that may end while they load a version that none has
	// loaded. Then it is held: engines that are back have the version before and would all end again.
	maxEndedLoads = 3
	// heldInterval is the interval between the trials of a held version, each by one engine.
	heldInterval = 10 * time.Second
	// endWindow is how long after an order the end of its engine counts against the version. A load
	// takes a second, and the list shows an end some heartbeats later.
	endWindow = 10 * time.Second
	// missingTimeout is how long an engine must be missing from the list to count as ended. Entries
	// that expired in an outage of the store are back within two seconds.
	missingTimeout = 3 * time.Second
)

// Held is a version that is held, with the engines that ended while they loaded it.
type Held struct {
	Model   string
	Version int64
	Engines []string
}

// trial is what is known of the loads of a model's newest version.
type trial struct {
	version int64
	loaded  bool     // an engine has loaded it
	ended   []string // engines that ended while they loaded it
	retryAt time.Time
}

// held reports whether the version may only be tried by one engine at a time.
func (t *trial) held() bool { return !t.loaded && len(t.ended) >= maxEndedLoads }

// trialOf returns what is known of a model's newest version.
func (p *Planner) trialOf(model string) *trial {
	t := p.trials[model]
	if t == nil || t.version != p.newest[model] {
		t = &trial{version: p.newest[model]}
		p.trials[model] = t
	}
	return t
}

// recordEnds finds out from the list which ordered loads are done, and which engines ended during
// theirs.
func (p *Planner) recordEnds(now time.Time, engines []Engine) {
	byID := make(map[string]*Engine, len(engines))
	for i := range engines {
		byID[engines[i].ID] = &engines[i]
	}
	for id, o := range p.ordered {
		e, t := byID[id], p.trialOf(o.order.Model)
		same := e != nil && e.StartedAtMillis == o.order.StartedAtMillis
		switch {
		case same && e.Versions[o.order.Model] >= o.order.Version:
			t.loaded = t.loaded || t.version == o.order.Version
		case t.loaded, t.version != o.order.Version, now.Sub(o.at) > endWindow && o.missingSince.IsZero(), same && e.Leaving:
		case same:
			o.missingSince = time.Time{}
			continue
		case e == nil && o.missingSince.IsZero():
			o.missingSince = now
			continue
		case e == nil && now.Sub(o.missingSince) < missingTimeout:
			continue
		default:
			p.recordEnd(now, t, &o.order)
		}
		delete(p.ordered, id)
	}
}

// missing returns how many engines are missing from the list since they got an order for a version
// that no engine has loaded. Their loads count as in progress: if others began in their place, more
// engines would end before the first ones count.
func (p *Planner) missing() int {
	n := 0
	for _, o := range p.ordered {
		if !o.missingSince.IsZero() {
			n++
		}
	}
	return n
}

// recordEnd records that an engine ended while it loaded a version.
func (p *Planner) recordEnd(now time.Time, t *trial, o *Order) {
	wasHeld := t.held()
	t.ended = append(t.ended, o.Engine)
	if t.held() && !wasHeld {
		t.retryAt = now.Add(heldInterval)
		p.justHeld = append(p.justHeld, Held{Model: o.Model, Version: o.Version, Engines: slices.Clone(t.ended)})
	}
}

// mayLoad reports whether a load of the model's newest version may be ordered.
func (p *Planner) mayLoad(now time.Time, model string) bool {
	t := p.trialOf(model)
	return !t.held() || !now.Before(t.retryAt)
}

// TakeHeld returns the versions that became held since the last call.
func (p *Planner) TakeHeld() []Held {
	taken := p.justHeld
	p.justHeld = nil
	return taken
}
