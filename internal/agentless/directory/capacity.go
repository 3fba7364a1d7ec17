package directory

import "time"

// Slots returns the slots of the endpoints of a service that this process may use: listed and
// not leaving, and not out of use after failures. If all are out of use, they are
// counted nevertheless, as the fault may be on this side.
func (d *Directory) Slots(service string, now time.Time) int {
	s := d.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	usable, listed := 0, 0
	for _, e := range s.set.All() {
		if e.Leaving {
			continue
		}
		slots := max(1, e.Slots)
		listed += slots
		if !e.Ejected(now) {
			usable += slots
		}
	}
	if usable == 0 {
		return listed
	}
	return usable
}
