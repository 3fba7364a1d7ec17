package weights

import "time"

// Progress is how far the newest version of a key has come.
type Progress struct {
	Key        Key
	Version    int64
	Engines    int // that are to have it
	Done       int
	Loading    int // loads in progress or of open end
	BackingOff int // set aside after failed loads
	// Blocked is set if the floor leaves no engine to load even when all serve.
	Blocked bool
}

// Progress returns the state of every key.
func (r *Rollout) Progress(now time.Time) []Progress {
	var all []Progress
	c := r.capacity(now)
	for _, key := range r.keys {
		p := Progress{Key: key, Version: r.targets[key]}
		if key == RoleKey {
			p.Version = roleHeld
		}
		for _, id := range r.ids {
			e := r.engines[id]
			if !e.Leaving {
				p.count(e, now)
			}
		}
		full := capacity{total: c.total, serving: c.total}
		p.Blocked = c.total > 0 && !full.spare(&domain{total: 1}, r.config.CapacityFloor)
		all = append(all, p)
	}
	return all
}

func (p *Progress) count(e *engine, now time.Time) {
	t := e.track(p.Key)
	p.Engines++
	switch {
	case t.known && t.version >= p.Version:
		p.Done++
	case e.load != nil && e.load.key == p.Key:
		p.Loading++
	case now.Before(t.asideUntil):
		p.BackingOff++
	}
}
