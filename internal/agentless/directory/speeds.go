package directory

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/speed"
)

// lockSet locks the endpoints of a service and sets their options by the mechanisms that are
// enabled.
func (d *Directory) lockSet(service string) (set *endpoints.Set, unlock func()) {
	s := d.shard(service)
	s.mu.Lock()
	s.set.Options = d.options()
	return s.set, s.mu.Unlock
}

// ObserveSpeed records that units of work took the given mean time each, without the wait
// before the first one, beside others other requests on average.
func (p *Pick) ObserveSpeed(now time.Time, seconds float64, units int, others float64) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	p.state.ObserveSpeed(now, seconds, units, others)
}

// Others returns the number of other requests at the picked endpoint, as far as it is known.
func (p *Pick) Others() int {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	return p.state.Others()
}

// Speeds returns what this process knows of the speeds of a service's endpoints.
func (d *Directory) Speeds(service string) endpoints.Speeds {
	set, unlock := d.lockSet(service)
	defer unlock()
	return set.Speeds()
}

// Uneven returns whether some endpoints of a service are lastingly faster than the median.
func (d *Directory) Uneven(service string) bool {
	set, unlock := d.lockSet(service)
	defer unlock()
	return set.Uneven()
}

// SpeedReports returns at most limit speeds of a service's endpoints for other processes.
func (d *Directory) SpeedReports(now time.Time, service string, limit int) []speed.Report {
	set, unlock := d.lockSet(service)
	defer unlock()
	return set.SpeedReports(now, limit)
}

// MergeSpeeds records the speeds that another process reports; see endpoints.Set.MergeSpeeds.
func (d *Directory) MergeSpeeds(now time.Time, service, from string, reports []speed.Report) []error {
	set, unlock := d.lockSet(service)
	defer unlock()
	return set.MergeSpeeds(now, from, reports)
}

// TakeSpeedChanges returns the changes of speed of a service's endpoints since the last call.
func (d *Directory) TakeSpeedChanges(service string) []speed.Change {
	set, unlock := d.lockSet(service)
	defer unlock()
	return set.TakeSpeedChanges()
}
