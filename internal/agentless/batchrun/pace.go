package batchrun

import "time"

const (
	// chunkSeconds and minChunkEvents are the least length of a section of a run whose mean
	// pace is compared with others. Noise at an engine lasts 600 ms.
	chunkSeconds, minChunkEvents = 0.4, 4
	// lastingChunks is the number of sections in a row that must be slow before an engine counts
	// as slower than it was: together twice as long as noise lasts.
	lastingChunks = 3
)

// pace measures the time between events, starting with the first one.
type pace struct {
	first, last time.Time
	gaps        int
	mean        float64 // running mean of the seconds between events

	chunkStart time.Time
	chunkGaps  int
	chunks     int                    // number of complete sections
	recent     [lastingChunks]float64 // mean seconds per event of the last sections
}

// paceWeight is the weight of a new interval in the running mean.
const paceWeight = 0.2

func (p *pace) observe(now time.Time) {
	if p.first.IsZero() {
		p.first, p.last, p.chunkStart = now, now, now
		return
	}
	gap := now.Sub(p.last).Seconds()
	p.last = now
	p.gaps++
	p.addToChunk(now)
	if p.gaps == 1 {
		p.mean = gap
		return
	}
	p.mean += (gap - p.mean) * paceWeight
}

// eventSeconds returns the running mean of the seconds per event.
func (p *pace) eventSeconds() float64 { return p.mean }

// measured returns the running mean, and whether there were enough events to show the engine's
// speed.
func (p *pace) measured() (float64, bool) { return p.mean, p.gaps >= minPaceEvents }

func (p *pace) addToChunk(now time.Time) {
	p.chunkGaps++
	took := now.Sub(p.chunkStart).Seconds()
	if p.chunkGaps < minChunkEvents || took < chunkSeconds {
		return
	}
	p.recent[p.chunks%lastingChunks] = took / float64(p.chunkGaps)
	p.chunks++
	p.chunkStart, p.chunkGaps = now, 0
}

// lasting returns the seconds per event that the run has not fallen below lately, or 0 if it is
// too short to tell. Noise that is shorter than the sections compared does not raise it.
func (p *pace) lasting() float64 {
	if p.chunks < lastingChunks {
		return 0
	}
	return min(p.recent[0], p.recent[1], p.recent[2])
}
