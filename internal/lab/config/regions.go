package config

import (
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/duties"
)

// The reference fleet has four regions of two failure domains each. One region is cut off
// from the others for two minutes while operators continue to make changes.
const (
	regionCount       = 4
	domainsPerRegion  = 2
	cutDuration       = 2 * time.Minute
	cutChangeInterval = 30 * time.Second
	settleTime        = 15 * time.Second // from the start of the cut; by then the proofs and leases of the region have expired
	rejoinTimeout     = time.Minute
)

// regionCut simulates a fleet of which a region is cut off, and holds the results. A sample
// is the state of one entry at one time.
type regionCut struct {
	*fleet
	readyBehind     time.Duration // longest time for which an entry took work under an older revision
	twoHolders      int           // times at which a duty had two holders
	unheld          int           // times, after settleTime, at which a duty had no holder
	cutReadySamples int           // samples of the region, after settleTime, in which the entry took work
	cutSamples      int           // samples of the region after settleTime
	unreadySamples  int           // samples of the other regions in which the entry took no work
	samples         int           // samples of the other regions
	rejoinTime      time.Duration // from the end of the cut until everything serves again
	configReadRate  float64       // reads of the configuration per second
}

func measureRegions() ([]bounds.Figure, error) {
	withoutService := newRegionCut(11, true).run()
	withService := newRegionCut(12, false).run()
	worst := func(figure func(*regionCut) float64) float64 { return max(figure(withoutService), figure(withService)) }
	return []bounds.Figure{
		{Name: "regions.ready_behind_s", Value: worst(func(c *regionCut) float64 { return c.readyBehind.Seconds() })},
		{Name: "regions.two_holders", Value: worst(func(c *regionCut) float64 { return float64(c.twoHolders) })},
		{Name: "regions.unheld", Value: worst(func(c *regionCut) float64 { return float64(c.unheld) })},
		{Name: "regions.unready_share", Value: worst(func(c *regionCut) float64 { return share(c.unreadySamples, c.samples) })},
		{Name: "regions.cut_ready_share", Value: share(withoutService.cutReadySamples, withoutService.cutSamples)},
		{Name: "regions.cut_ready_share_with_service", Value: share(withService.cutReadySamples, withService.cutSamples)},
		{Name: "regions.kv_calls_per_s", Value: worst(func(c *regionCut) float64 { return c.configReadRate })},
		{Name: "regions.rejoin_s", Value: worst(func(c *regionCut) float64 { return c.rejoinTime.Seconds() })},
	}, nil
}

func share(n, of int) float64 {
	return float64(n) / float64(max(1, of))
}

// newRegionCut returns the reference fleet in regions. If withoutService is true, the
// region that is cut off cannot reach the platform's service either.
func newRegionCut(seed uint64, withoutService bool) *regionCut {
	c := &regionCut{fleet: newFleetWithDomains(seed, referenceEntries, referenceAgents, regionCount*domainsPerRegion)}
	c.serviceCutOff = withoutService
	return c
}

func (c *regionCut) run() *regionCut {
	c.startAll()
	c.Run(warmUpTime, never)
	c.regionCutOff = true
	reads := c.configStore.reads
	cutAt, changedAt := c.Now(), time.Time{}
	acceptedAt := map[int64]time.Time{}
	for c.Now().Sub(cutAt) < cutDuration {
		if c.Now().Sub(changedAt) >= cutChangeInterval {
			changedAt = c.Now()
			acceptedAt[c.acceptChange()] = changedAt
		}
		c.Run(sampleInterval, never)
		c.sample(acceptedAt, c.Now().Sub(cutAt) > settleTime)
	}
	c.configReadRate = float64(c.configStore.reads-reads) / cutDuration.Seconds()
	c.regionCutOff = false
	rejoinedAt := c.Now()
	for c.rejoinTime = 0; c.rejoinTime < rejoinTimeout && !c.allServing(); c.rejoinTime = c.Now().Sub(rejoinedAt) {
		c.Run(sampleInterval, never)
		c.sample(acceptedAt, true)
	}
	return c
}

// acceptChange stores the next revision and applies it at an entry that may accept changes
// and reaches the service.
func (c *regionCut) acceptChange() int64 {
	revision := c.configStore.values["c"] + 1
	c.configStore.applyWrite("c", c.configStore.revisions["c"], revision)
	for {
		entry := c.entries[c.rng.IntN(len(c.entries))]
		if entry.follower.MayAccept(c.Now()) && c.reachesService(entry) {
			entry.apply(revision)
			return revision
		}
	}
}

// sample adds the current state of all entries to the results. acceptedAt is the time of
// each revision; settled tells whether settleTime has passed.
func (c *regionCut) sample(acceptedAt map[int64]time.Time, settled bool) {
	now := c.Now()
	holders := map[string]int{}
	for _, n := range c.entries {
		ready := n.follower.Ready(now)
		if revision, _ := n.follower.Revision(now); ready && revision < c.configStore.values["c"] {
			c.readyBehind = max(c.readyBehind, now.Sub(acceptedAt[revision+1]))
		}
		c.countReady(n, ready, settled)
		for _, name := range c.dutyNames {
			if n.keeper.LeaseState(now, name) == duties.Holder {
				holders[name]++
			}
		}
	}
	for _, name := range c.dutyNames {
		if holders[name] > 1 {
			c.twoHolders++
		}
		if holders[name] == 0 && settled {
			c.unheld++
		}
	}
}

func (c *regionCut) countReady(n *fleetNode, ready, settled bool) {
	switch {
	case !n.inCutRegion():
		c.samples++
		if !ready {
			c.unreadySamples++
		}
	case settled && c.regionCutOff:
		c.cutSamples++
		if ready {
			c.cutReadySamples++
		}
	}
}
