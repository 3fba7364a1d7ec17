package speed_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/policy/speed"
)

const (
	noiseInterval = 600 * time.Millisecond
	noiseShare    = 0.15
	noiseFactor   = 2.5
	segment       = 8
)

var start = time.Unix(1000, 0)

// fleet simulates engines that run texts side by side and reports each eight events of a run
// to a model.
type fleet struct {
	model   *speed.Model
	random  *rand.Rand
	now     time.Time
	seconds []float64 // seconds per event of each engine
	factor  []float64 // temporary slowdown of each engine
	slope   float64
	noisy   []bool
	noiseAt time.Time
	runs    []fleetRun
	units   []int // units observed of each engine
}

type fleetRun struct {
	engine int
	next   time.Time // end of the segment
	took   float64   // seconds per event of the segment
	others float64
}

func newFleet(seed uint64, slope float64, seconds ...float64) *fleet {
	f := &fleet{model: speed.NewModel(), random: rand.New(rand.NewPCG(seed, 1)), now: start, seconds: seconds, slope: slope,
		factor: make([]float64, len(seconds)), noisy: make([]bool, len(seconds)), units: make([]int, len(seconds)), noiseAt: start}
	for i := range seconds {
		f.factor[i] = 1
	}
	return f
}

func key(i int) speed.Key { return speed.Key{Endpoint: fmt.Sprintf("e%02d", i), StartedAtMillis: 1} }

// mixed returns the speeds of fast engines followed by slow ones, as on deployment T.
func mixed(fast, slow int) []float64 {
	var seconds []float64
	for i := range fast {
		seconds = append(seconds, 0.025+0.0002*float64(i))
	}
	for i := range slow {
		seconds = append(seconds, 0.053+0.00015*float64(i))
	}
	return seconds
}

func equal(n int, each float64) []float64 {
	seconds := make([]float64, n)
	for i := range seconds {
		seconds[i] = each
	}
	return seconds
}

// running returns the number of runs at an engine.
func (f *fleet) running(engine int) int {
	n := 0
	for _, r := range f.runs {
		if r.engine == engine {
			n++
		}
	}
	return n
}

// start starts runs at an engine.
func (f *fleet) start(engine, runs int) {
	for range runs {
		f.runs = append(f.runs, fleetRun{engine: engine})
	}
}

// startAll starts up to most runs at each engine.
func (f *fleet) startAll(most int) {
	for i := range f.seconds {
		f.start(i, 1+f.random.IntN(most))
	}
}

const tick = 10 * time.Millisecond

// run advances the fleet and calls check after each tick.
func (f *fleet) run(duration time.Duration, check func()) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(tick) {
		if !f.now.Before(f.noiseAt) {
			f.noiseAt = f.now.Add(noiseInterval)
			for i := range f.noisy {
				f.noisy[i] = f.random.Float64() < noiseShare
			}
		}
		for i := range f.runs {
			f.advance(&f.runs[i])
		}
		check()
	}
}

func (f *fleet) advance(r *fleetRun) {
	if f.now.Before(r.next) {
		return
	}
	if r.took > 0 {
		f.model.Observe(speed.Observation{Key: key(r.engine), At: f.now, Seconds: r.took, Units: segment, Others: r.others})
		f.units[r.engine] += segment
	}
	r.others = float64(f.running(r.engine) - 1)
	r.took = f.seconds[r.engine] * f.factor[r.engine] * (1 + f.slope*r.others)
	if f.noisy[r.engine] {
		r.took *= noiseFactor
	}
	r.next = f.now.Add(time.Duration(r.took * segment * float64(time.Second)))
}

// redistribute changes the number of runs at each engine, as texts that end and start do.
func (f *fleet) redistribute(most int) {
	f.runs = nil
	f.startAll(most)
}

func (f *fleet) estimate(i int) float64 { return f.model.Estimate(key(i)).Seconds }
