package speed_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/speed"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "speed")
}

var start = time.Unix(1000, 0)

// fleet simulates engines that run texts side by side and reports each eight events of a run
// to a model. 15 % of the intervals of 600 ms are 2.5 times slower at an engine.
type fleet struct {
	model   *speed.Model
	random  *rand.Rand
	now     time.Time
	seconds []float64 // seconds per event of each engine
	slope   float64
	noisy   []bool
	noiseAt time.Time
	runs    []fleetRun
	running []int // runs at each engine
	units   []int // units observed of each engine
}

type fleetRun struct {
	engine       int
	next         time.Time // end of the segment
	took, others float64   // seconds per event of the segment, and mean number of other runs
}

// newFleet returns a fleet with one to most runs at each engine.
func newFleet(seed uint64, slope float64, most int, seconds ...float64) *fleet {
	n := len(seconds)
	f := &fleet{model: speed.NewModel(), random: rand.New(rand.NewPCG(seed, 1)), now: start, noiseAt: start, seconds: seconds, slope: slope, noisy: make([]bool, n), units: make([]int, n)}
	f.redistribute(most)
	return f
}

func key(i int) speed.Key { return speed.Key{Endpoint: fmt.Sprintf("e%02d", i), StartedAtMillis: 1} }

// mixed returns the speeds of 11 fast engines followed by 33 slow ones.
func mixed() []float64 {
	var seconds []float64
	for i := range 44 {
		seconds = append(seconds, 0.025+0.0002*float64(i))
		if i >= 11 {
			seconds[i] = 0.053 + 0.00015*float64(i-11)
		}
	}
	return seconds
}

func equal(n int) []float64 { return slices.Repeat([]float64{0.03}, n) }

// redistribute replaces all runs, as texts that end and start do.
func (f *fleet) redistribute(most int) {
	f.runs, f.running = nil, make([]int, len(f.seconds))
	for i := range f.seconds {
		f.running[i] = 1 + f.random.IntN(most)
		for range f.running[i] {
			f.runs = append(f.runs, fleetRun{engine: i})
		}
	}
}

// run advances the fleet and calls check after each tick of 10 ms; check may be nil.
func (f *fleet) run(duration time.Duration, check func()) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		if !f.now.Before(f.noiseAt) {
			f.noiseAt = f.now.Add(600 * time.Millisecond)
			for i := range f.noisy {
				f.noisy[i] = f.random.Float64() < 0.15
			}
		}
		for i := range f.runs {
			f.advance(&f.runs[i])
		}
		if check != nil {
			check()
		}
	}
}

func (f *fleet) advance(r *fleetRun) {
	if f.now.Before(r.next) {
		return
	}
	if r.took > 0 {
		f.model.Observe(speed.Observation{Key: key(r.engine), At: f.now, Seconds: r.took, Units: 8, Others: r.others})
		f.units[r.engine] += 8
	}
	r.others = float64(f.running[r.engine] - 1)
	r.took = f.seconds[r.engine] * (1 + f.slope*r.others)
	if f.noisy[r.engine] {
		r.took *= 2.5
	}
	r.next = f.now.Add(time.Duration(r.took * 8e9))
}

func (f *fleet) estimate(i int) float64 { return f.model.Estimate(key(i)).Seconds }
