package gate

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/fairshare"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// pressureLogInterval is the minimum time between two lines of the same kind about one
	// service.
	pressureLogInterval = time.Second
	// loggedCustomers is how many customers such a line names.
	loggedCustomers = 3
)

// queueMetrics holds the metrics of one queue. Customers have none: there may be 10,000 of them.
type queueMetrics struct {
	registry                 metrics.Registry
	prefix                   string
	waiting, limit, inFlight metrics.Gauge
	wait                     metrics.Timer
}

func newQueueMetrics(registry metrics.Registry, service string) *queueMetrics {
	prefix := "admission." + service
	return &queueMetrics{
		registry: registry, prefix: prefix,
		waiting:  metrics.GetOrRegisterGauge(prefix+".waiting", registry),
		limit:    metrics.GetOrRegisterGauge(prefix+".limit", registry),
		inFlight: metrics.GetOrRegisterGauge(prefix+".in_flight", registry),
		wait:     metrics.GetOrRegisterTimer(prefix+".wait", registry),
	}
}

// pressureLog bounds the lines about a queue.
type pressureLog struct {
	pressureAt time.Time
	loweredAt  time.Time
	refused    int64 // since the last line
}

// countRefusal counts a refused request. The lock must be held.
func (q *serviceQueue) countRefusal(customer string, reason wire.Reason) {
	metrics.GetOrRegisterCounter(q.metrics.prefix+".refused."+string(reason), q.metrics.registry).Inc(1)
	if q.refused[customer] == nil {
		q.refused[customer] = map[string]int64{}
	}
	q.refused[customer][string(reason)]++
	q.pressure.refused++
}

// logPressure logs that requests wait or were refused, with the customers that wait with the most
// requests. The lock must be held.
func (q *serviceQueue) logPressure(now time.Time) {
	load := q.policy.Load()
	if load.Queued == 0 && q.pressure.refused == 0 || now.Sub(q.pressure.pressureAt) < pressureLogInterval {
		return
	}
	q.pressure.pressureAt = now
	customers := q.demands()
	slices.SortFunc(customers, func(a, b fairshare.Demand) int { return b.Waiting + b.InFlight - a.Waiting - a.InFlight })
	largest := map[string]int{}
	for _, c := range customers[:min(loggedCustomers, len(customers))] {
		largest[c.Customer] = c.Waiting + c.InFlight
	}
	events.RequestsWait.Log(q.gate.log, logrus.Fields{
		"service": q.service, "limit": q.limit(), "learned": q.limiter.Limit(), "assigned": q.assigned, "in_flight": load.Running,
		"waiting": load.Queued, "refused": q.pressure.refused, "customers": len(customers), "largest": largest,
	})
	q.pressure.refused = 0
}

// logLowered logs that the learned limit fell. The lock must be held.
func (q *serviceQueue) logLowered(now time.Time, before, after int, cause string) {
	if now.Sub(q.pressure.loweredAt) < pressureLogInterval {
		return
	}
	q.pressure.loweredAt = now
	events.LimitLowered.Log(q.gate.log, logrus.Fields{"service": q.service, "before": before, "after": after, "cause": cause})
}

// logLeaving logs how many waiting requests the end of the process refuses.
func (q *serviceQueue) logLeaving(before, after int) {
	if before > 0 {
		events.QueueLeaving.Log(q.gate.log, logrus.Fields{"service": q.service, "refused": before - after, "waiting": after})
	}
}
