package agent

import (
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/policy/admission"
)

// queueMetrics counts the queue's decisions under "queue.".
type queueMetrics struct {
	registry  metrics.Registry
	started   metrics.Counter
	preempted metrics.Counter
}

func newQueueMetrics(registry metrics.Registry, q *Queue) *queueMetrics {
	gauge := func(name string, value func() int) {
		metrics.NewRegisteredFunctionalGauge("queue."+name, registry, func() int64 { return int64(value()) })
	}
	gauge("running", func() int { return q.Load().Running })
	gauge("waiting", func() int { return q.Load().Queued })
	gauge("slots", func() int { return q.Load().Slots })
	return &queueMetrics{
		registry:  registry,
		started:   metrics.NewRegisteredCounter("queue.started", registry),
		preempted: metrics.NewRegisteredCounter("queue.preempted", registry),
	}
}

func (m *queueMetrics) count(a admission.Action) {
	switch a.Kind {
	case admission.Start:
		m.started.Inc(1)
	case admission.Preempt:
		m.preempted.Inc(1)
	case admission.Refuse:
		metrics.GetOrRegisterCounter("queue.refused."+string(a.Reason), m.registry).Inc(1)
	}
}
