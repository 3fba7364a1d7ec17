package rollout

import (
	"runtime"

	"golang.org/x/sync/errgroup"
)

// Point is one setting of a feed's weights and what it leads to.
type Point struct {
	StalenessWeight float64 // weight of staleness against idle time's 1
	IdlePerTraining float64 // seconds that the trainer waits for each second it trains
	MeanLag         float64 // mean number of versions behind at hand-over
	Declared        bool    // the deployment's declared setting
}

// Curve is a deployment's trade-off of idle time against staleness.
type Curve struct {
	Deployment string
	Points     []Point // by growing weight of staleness
}

// Tradeoff measures both deployments' feeds under a range of weights.
func Tradeoff() []Curve {
	weights := []float64{0, 0.25, 0.5, 1, 1.5, 2, 3, 4, 6}
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	var curves []Curve
	for _, s := range []scenario{ledgerwise(), batumi()} {
		points := make([]Point, len(weights))
		for i, weight := range weights {
			group.Go(func() error {
				r := newPipeline(s, newPolicy(s, 1, weight)).run()
				points[i] = Point{
					StalenessWeight: weight,
					IdlePerTraining: r.waited(),
					MeanLag:         r.meanVersions(),
					Declared:        weight == s.staleness/s.idle,
				}
				return nil
			})
		}
		curves = append(curves, Curve{Deployment: s.name, Points: points})
	}
	_ = group.Wait() // no run returns an error
	return curves
}
