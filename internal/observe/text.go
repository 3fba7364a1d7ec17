package observe

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"
)

// writeText writes one value per line: counters and gauges as "name value", timers
// as their count and the quantiles of their latencies in milliseconds.
func writeText(out io.Writer, registry metrics.Registry) {
	var lines []string
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, m.Value()))
		case metrics.Timer:
			lines = append(lines, timerLines(name, m.Snapshot())...)
		}
	})
	sort.Strings(lines)
	for _, line := range lines {
		_, _ = io.WriteString(out, line) // on an error the reader is gone; it may request the metrics again
	}
}

func timerLines(name string, t metrics.Timer) []string {
	lines := []string{fmt.Sprintf("%s.count %d\n", name, t.Count())}
	for _, q := range []float64{0.5, 0.95, 0.99, 1} {
		ms := t.Percentile(q) / float64(time.Millisecond)
		lines = append(lines, fmt.Sprintf("%s.ms.p%g %.1f\n", name, q*100, ms))
	}
	return lines
}
