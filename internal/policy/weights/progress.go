package weights

import "time"

// Progress is the state of the rollout of a key's newest version.
type Progress struct {
	Key        Key
	Version    int64
	Engines    int // engines that should load the version
	Done       int // engines that have it in force
	Loading    int // engines with a load that is chosen, in progress or of unknown outcome
	BackingOff int // engines that wait after a failed load
	// Blocked is set if the capacity floor allows no engine to load even when all serve.
	Blocked bool
}

// Progress returns the progress of every key.
func (r *Rollout) Progress(now time.Time) []Progress {
	var all []Progress
	c := r.countCapacity(now)
	for _, key := range r.keys {
		p := Progress{Key: key, Version: r.targets[key]}
		if key == RoleKey {
			p.Version = roleMatches
		}
		for _, id := range r.ids {
			e := r.engines[id]
			if !e.Leaving {
				p.count(e, now)
			}
		}
		full := capacity{total: c.total, serving: c.total}
		p.Blocked = c.total > 0 && !full.canSpare(&domain{total: 1}, r.config.CapacityFloor)
		all = append(all, p)
	}
	return all
}

// count adds an engine to the counters.
func (p *Progress) count(e *engine, now time.Time) {
	s := e.state(p.Key)
	p.Engines++
	switch {
	case s.known && s.version >= p.Version:
		p.Done++
	case e.load != nil && e.load.key == p.Key:
		p.Loading++
	case now.Before(s.nextLoadAt):
		p.BackingOff++
	}
}
