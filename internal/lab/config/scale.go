package config

import (
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
)

const (
	warmUpTime      = 20 * time.Second
	measureTime     = 20 * time.Second
	changeCount     = 6
	recoveryTimeout = 2 * time.Minute
	domainDownTime  = 12 * time.Second
	maxStartDelay   = time.Second // the processes of a failure domain start within this time
)

// measureScale measures the reference fleet and a fleet of a tenth of its size.
func measureScale() ([]bounds.Figure, error) {
	small := newFleet(7, referenceEntries/10, referenceAgents/10)
	smallRates := small.measureRates(referenceRestartsPerDay / 10)
	large := newFleet(7, referenceEntries, referenceAgents)
	largeRates := large.measureRates(referenceRestartsPerDay)
	slowest := time.Duration(0)
	for range changeCount {
		slowest = max(slowest, large.changeConfig())
		large.Run(2*time.Second, never)
	}
	recoveryTime, peak := large.restartDomain()
	return []bounds.Figure{
		{Name: "config.in_force_s", Value: slowest.Seconds()},
		{Name: "config.kv_calls_per_s", Value: largeRates.configReads},
		{Name: "config.kv_calls_ratio", Value: largeRates.configReads / smallRates.configReads},
		{Name: "control.kv_calls_per_s", Value: largeRates.busiestEntry},
		{Name: "duties.kv_writes_per_s", Value: largeRates.leaseWrites},
		{Name: "duties.kv_reads_per_s", Value: largeRates.leaseReads},
		{Name: "recovery.control_storm_s", Value: recoveryTime.Seconds()},
		{Name: "recovery.peak_calls", Value: float64(peak)},
	}, nil
}

// callRates are rates of calls to the service per second.
type callRates struct {
	configReads, leaseReads, leaseWrites float64
	busiestEntry                         float64 // calls of the entry that makes the most calls
}

// measureRates starts the fleet with the given rate of restarts and measures the calls to
// the service after the warm-up.
func (f *fleet) measureRates(restartsPerDay float64) callRates {
	f.startAll()
	f.scheduleRestarts(restartsPerDay)
	f.Run(warmUpTime, never)
	configReads, leaseReads, leaseWrites := f.configStore.reads, f.leaseStore.reads, f.leaseStore.writes
	for _, n := range f.entries {
		n.kvCalls = 0
	}
	f.Run(measureTime, never)
	perSecond := func(n int) float64 { return float64(n) / measureTime.Seconds() }
	busiest := 0
	for _, n := range f.entries {
		busiest = max(busiest, n.kvCalls)
	}
	return callRates{
		busiestEntry: perSecond(busiest),
		configReads:  perSecond(f.configStore.reads - configReads),
		leaseReads:   perSecond(f.leaseStore.reads - leaseReads),
		leaseWrites:  perSecond(f.leaseStore.writes - leaseWrites),
	}
}

// restartDomain stops a failure domain and restarts all of it at once. It returns the time
// until everything serves again and the largest number of calls to the service within a
// second since the restart.
func (f *fleet) restartDomain() (time.Duration, int) {
	var stopped []*fleetNode
	for _, n := range f.nodes {
		if n.self.Domain == "0" && n.up {
			n.stop()
			stopped = append(stopped, n)
		}
	}
	f.Run(domainDownTime, never)
	began := f.Now()
	for _, n := range stopped {
		f.After(f.between(0, maxStartDelay), n.start)
	}
	for f.Now().Sub(began) < recoveryTimeout {
		f.Run(100*time.Millisecond, never)
		if f.allServing() {
			break
		}
	}
	recoveryTime := f.Now().Sub(began)
	peak := 0
	for second := range f.configStore.callsPerSecond {
		if second >= began.Unix() {
			peak = max(peak, f.configStore.callsPerSecond[second]+f.leaseStore.callsPerSecond[second])
		}
	}
	return recoveryTime, peak
}
