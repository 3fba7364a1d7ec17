package storepath

import "time"

const (
	// leastPatience is above what a single slow answer of a healthy store takes,
	// which answers in 4 ms.
	leastPatience = 80 * time.Millisecond
	// mostPatience is above the 240 ms of a store that is slowed sixtyfold, and
	// leaves time to renew a lease by way of another process before it lapses.
	mostPatience = 300 * time.Millisecond
	// meanWeight and spreadWeight are the shares of a new answer in the running
	// mean of answers' times and in that of their deviation, and spreads how many
	// deviations above the mean an answer may take: the figures by which TCP sets
	// its retransmission timeout.
	meanWeight   = 1.0 / 8
	spreadWeight = 1.0 / 4
	spreads      = 4
)

// Patience is how long an answer of the store may stay out before it is taken
// for lost. While the store loses every second answer, a submitter that waits
// 1.2 s got two tries when each waited 300 ms; it gets eight.
type Patience struct {
	mean, spread time.Duration // 0: no answer yet
}

// Answered takes in how long an answer took.
func (p *Patience) Answered(took time.Duration) {
	if p.mean == 0 {
		p.mean, p.spread = took, took/2
		return
	}
	off := took - p.mean
	p.mean += time.Duration(meanWeight * float64(off))
	p.spread += time.Duration(spreadWeight * float64(max(off, -off)-p.spread))
}

// Limit returns how long an answer may stay out.
func (p *Patience) Limit() time.Duration {
	if p.mean == 0 {
		return mostPatience
	}
	return min(max(p.mean+spreads*p.spread, leastPatience), mostPatience)
}
