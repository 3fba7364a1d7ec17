package rollout

import (
	"runtime"

	"golang.org/x/sync/errgroup"
)

// Point is the result of one setting of a feed's weights.
type Point struct {
	StalenessWeight float64 // weight of staleness if the weight of idle time is 1
	IdlePerTraining float64 // seconds that the trainer waits per second of training
	MeanStaleness   float64 // mean staleness of the samples at hand-over, in versions
	Declared        bool    // this is the ratio of weights that the deployment declares
}

// Curve is the trade-off between idle time and staleness of a deployment.
type Curve struct {
	Deployment string
	Points     []Point // by increasing StalenessWeight
}

// Tradeoff measures the feeds of both deployments under a range of weights.
func Tradeoff() []Curve {
	weights := []float64{0, 0.25, 0.5, 1, 1.5, 2, 3, 4, 6}
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	var curves []Curve
	for _, s := range []scenario{ledgerwiseScenario(), batumiScenario()} {
		points := make([]Point, len(weights))
		for i, weight := range weights {
			group.Go(func() error {
				r := newPipeline(s, newScheduler(s, 1, weight)).run()
				points[i] = Point{
					StalenessWeight: weight,
					IdlePerTraining: r.idlePerTraining(),
					MeanStaleness:   r.meanStaleness(),
					Declared:        weight == s.stalenessWeight/s.idleWeight,
				}
				return nil
			})
		}
		curves = append(curves, Curve{Deployment: s.name, Points: points})
	}
	_ = group.Wait() // no run returns an error
	return curves
}
