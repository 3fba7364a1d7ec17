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
	// slowAnswer marks a store that is slow and not lost: fifteen times its usual
	// 4 ms.
	slowAnswer = 60 * time.Millisecond
	// slowWrite is how long a write may go unanswered while the store is slow. Its
	// answers then vary by hundreds of milliseconds, and a write that is given up
	// early is made again and costs more slow calls.
	slowWrite = 700 * time.Millisecond
)

// Patience is how long an answer of the store may stay out before it is taken
// for lost. While the store loses every second answer, a submitter that waits
// 1.2 s got two tries when each waited 300 ms; it gets eight.
type Patience struct {
	mean, spread time.Duration // 0: no answer yet
	last         time.Duration
}

// Answered takes in how long an answer took.
func (p *Patience) Answered(took time.Duration) {
	p.last = took
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

// Slow tells whether the store answers late, so that an answer that stays out is
// no sign of a lost one.
func (p *Patience) Slow() bool { return max(p.mean, p.last) > slowAnswer }

// WriteLimit returns how long a write may go unanswered although another process
// has reached the store.
func (p *Patience) WriteLimit() time.Duration {
	if p.Slow() {
		return slowWrite
	}
	return p.Limit()
}
