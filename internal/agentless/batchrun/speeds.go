package batchrun

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/speed"
)

const (
	// segmentEvents is the number of events of a run that are measured together. A change of
	// an engine's speed shows in a whole segment after at most 16 events.
	segmentEvents = 8
	// minPauseSeconds and pauseFactor tell a pause from a slow engine: a gap longer than both
	// half a second and four times the other gaps. A batch pauses for one to two seconds to
	// load weights. Leaving out the longest gap of each segment would make an engine whose
	// events arrive in bursts seem faster than it is.
	minPauseSeconds, pauseFactor = 0.5, 4
	// maxSpeedRate limits the bytes per second of the speeds that a process sends to others.
	// It comes on top of maxLoadRate: speeds must not make loads be sent less often.
	maxSpeedRate = 4_000
	// reportsPerMessage is the number of speeds in a message: those of 44 engines take two.
	reportsPerMessage = 32
	// maxBatchAge is how long the reports drawn for one round of recipients are sent. Later
	// ones are drawn anew, as receivers drop reports older than 10 s.
	maxBatchAge = 3 * time.Second
	// speedLogInterval is how often changes of speeds are logged and counted.
	speedLogInterval = time.Second
	// maxSpeedLines is the number of lines about speeds, and about reports that are not used,
	// that are logged within speedLinesInterval.
	maxSpeedLines, speedLinesInterval = 20, 10 * time.Second
)

// speedMeter measures the speed of an engine during a run, segment by segment. Unlike the pace
// of the whole run, it shows a change while the run continues.
type speedMeter struct {
	last         time.Time
	gaps         int
	sum, longest float64 // seconds between events of the segment
	others       float64 // number of other requests when the segment began
}

// observe records an event. At the end of a segment it returns the mean seconds per event. A
// segment with a pause of the batch is not measured.
func (s *speedMeter) observe(now time.Time, others func() int) (seconds, meanOthers float64, measured bool) {
	if s.last.IsZero() {
		s.last, s.others = now, float64(others())
		return 0, 0, false
	}
	gap := now.Sub(s.last).Seconds()
	s.last = now
	s.gaps++
	s.sum += gap
	s.longest = max(s.longest, gap)
	if s.gaps < segmentEvents {
		return 0, 0, false
	}
	segment, atEnd := *s, float64(others())
	*s = speedMeter{last: now, others: atEnd}
	return segment.sum / segmentEvents, (segment.others + atEnd) / 2, !segment.paused()
}

// paused reports whether the segment contains a pause of the whole batch.
func (s *speedMeter) paused() bool {
	rest := (s.sum - s.longest) / (segmentEvents - 1)
	return s.longest > minPauseSeconds && s.longest > pauseFactor*rest
}

// observeSpeed records an event of a run at the picked engine.
func (s *speedMeter) observeSpeed(now time.Time, pick *directory.Pick) {
	if seconds, others, measured := s.observe(now, pick.Others); measured {
		pick.ObserveSpeed(now, seconds, segmentEvents, others)
	}
}

// speedExchange holds what of the speeds is still to be sent, and limits the log lines about
// them. It is safe for concurrent use.
type speedExchange struct {
	mu      sync.Mutex
	tokens  float64 // bytes that may be sent
	filled  time.Time
	batches map[string]*speedBatch // by service
	uneven  map[string]bool        // by service, as last logged
	lines   map[string]*lineBudget // by sender; the empty name is this process
}

// speedBatch is a list of reports with the processes that it must still be sent to. All
// receive the same reports before the next ones are drawn, so that each process gets each
// report.
type speedBatch struct {
	drawn   time.Time
	reports []speed.Report
	to      []string
}

// lineBudget limits the log lines of one kind.
type lineBudget struct {
	since     time.Time
	lines     int
	unwritten int // lines not written since the last one
}

// refill adds the bytes that may be sent since the last call, at most those of a second.
func (x *speedExchange) refill(now time.Time) {
	if x.filled.IsZero() {
		x.tokens = maxSpeedRate
	}
	x.tokens = min(maxSpeedRate, x.tokens+now.Sub(x.filled).Seconds()*maxSpeedRate)
	x.filled = now
}

// messages returns the encoded speeds of a service to send now, by receiver, in messages whose
// other fields have otherBytes. draw returns the reports to send next and the processes that
// need them.
func (x *speedExchange) messages(now time.Time, service string, otherBytes int, draw func() ([]speed.Report, []string)) map[string][]byte {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refill(now)
	if x.batches == nil {
		x.batches = map[string]*speedBatch{}
	}
	b := x.batches[service]
	if b == nil || len(b.to) == 0 || now.Sub(b.drawn) > maxBatchAge {
		reports, to := draw()
		b = &speedBatch{drawn: now, reports: reports, to: to}
		x.batches[service] = b
	}
	if len(b.reports) == 0 || len(b.to) == 0 {
		return nil
	}
	raw, err := speed.EncodeReports(b.aged(now))
	if err != nil {
		return nil // not reached: all fields can be encoded
	}
	messages := map[string][]byte{}
	size := float64(len(raw) + otherBytes)
	for len(b.to) > 0 && x.tokens >= size {
		messages[b.to[0]] = raw
		b.to = b.to[1:]
		x.tokens -= size
	}
	return messages
}

// aged returns the reports with their ages at the given time.
func (b *speedBatch) aged(now time.Time) []speed.Report {
	reports := slices.Clone(b.reports)
	for i := range reports {
		reports[i].Age += now.Sub(b.drawn)
	}
	return reports
}

// mayLog reports whether a line about a sender may be logged, and the number of lines that were
// not since the last one.
func (x *speedExchange) mayLog(now time.Time, from string) (unwritten int, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.lines == nil {
		x.lines = map[string]*lineBudget{}
	}
	b := x.lines[from]
	if b == nil {
		if len(x.lines) >= maxSpeedSenders {
			clear(x.lines)
		}
		b = &lineBudget{}
		x.lines[from] = b
	}
	if now.Sub(b.since) >= speedLinesInterval {
		b.since, b.lines = now, 0
	}
	if b.lines >= maxSpeedLines {
		b.unwritten++
		return 0, false
	}
	b.lines++
	unwritten, b.unwritten = b.unwritten, 0
	return unwritten, true
}

// maxSpeedSenders limits the number of senders whose lines are counted.
const maxSpeedSenders = 1000

// speedMessages returns the encoded speeds of a service to send now, by receiver: the other
// owners and the standbys of this process's jobs.
func (o *Owner) speedMessages(now time.Time, service string, others []string, otherBytes int) map[string][]byte {
	if !o.Switches.On(mechanism.LearnSpeeds) {
		return nil
	}
	messages := o.speeds.messages(now, service, otherBytes, func() ([]speed.Report, []string) {
		reports := o.Directory.SpeedReports(now, service, reportsPerMessage)
		if len(reports) == 0 {
			return nil, nil
		}
		return reports, o.withStandbys(others)
	})
	o.stats.speedsSent.Inc(int64(len(messages)))
	return messages
}

// withStandbys adds the standbys of this process's jobs to other processes.
func (o *Owner) withStandbys(others []string) []string {
	to := slices.Clone(others)
	if o.Copier.StandbyFor == nil {
		return to
	}
	for _, j := range o.openJobs() {
		if name, found := o.Copier.StandbyFor(j.job.Spec.Model, j.id); found && name != o.Name && !slices.Contains(to, name) {
			to = append(to, name)
		}
	}
	return to
}

// mergeSpeeds records the speeds of another process's message. What cannot be used is logged;
// the rest of the message stays valid.
func (o *Owner) mergeSpeeds(now time.Time, args *LoadArgs) {
	if len(args.Speeds) == 0 || !o.Switches.On(mechanism.LearnSpeeds) {
		return
	}
	reports, err := speed.DecodeReports(args.Speeds)
	if err != nil {
		o.logSpeedFault(now, args, "Speeds", err.Error())
		return
	}
	for _, fault := range o.Directory.MergeSpeeds(now, args.Service, args.From, reports) {
		var field *speed.FieldError
		if errors.As(fault, &field) {
			o.logSpeedFault(now, args, field.Field, field.Value)
		}
	}
}

func (o *Owner) logSpeedFault(now time.Time, args *LoadArgs, field, value string) {
	o.stats.speedsRejected.Inc(1)
	if unwritten, ok := o.speeds.mayLog(now, args.From); ok {
		events.SpeedNotUsed.Log(o.Log, logrus.Fields{"from": args.From, "service": args.Service, "field": field, "value": value, "unwritten": unwritten})
	}
}

// watchSpeeds logs and counts changes of speeds until ctx ends.
func (o *Owner) watchSpeeds(ctx context.Context) error {
	for ctx.Err() == nil {
		o.checkSpeeds(time.Now())
		pause(ctx, speedLogInterval)
	}
	return nil
}

func (o *Owner) checkSpeeds(now time.Time) {
	table := o.Directory.Table()
	if table == nil {
		return
	}
	count := int64(0)
	for name, service := range table.Declaration.Services {
		changes := o.Directory.TakeSpeedChanges(name)
		o.stats.speedChanges.Inc(int64(len(changes)))
		if len(service.Models) > 0 { // requests of different sizes at a plain service look like changes
			o.logSpeedChanges(now, name, changes)
		}
		uneven := o.Directory.Uneven(name)
		if uneven {
			count++
		}
		if o.speeds.unevenChanged(name, uneven) {
			o.logUneven(now, name, uneven)
		}
	}
	o.stats.speedsUneven.Update(count)
}

func (o *Owner) logSpeedChanges(now time.Time, service string, changes []speed.Change) {
	for _, c := range changes {
		if unwritten, ok := o.speeds.mayLog(now, ""); ok {
			events.SpeedChanged.Log(o.Log, logrus.Fields{"service": service, "endpoint": c.Key.Endpoint, "before_ms": c.Before * 1e3, "after_ms": c.After * 1e3, "unwritten": unwritten})
		}
	}
}

func (o *Owner) logUneven(now time.Time, service string, uneven bool) {
	if unwritten, ok := o.speeds.mayLog(now, ""); ok {
		speeds := o.Directory.Speeds(service)
		events.SpeedsUneven.Log(o.Log, logrus.Fields{"service": service, "uneven": uneven, "median_ms": speeds.Median * 1e3, "slope": speeds.Slope, "unwritten": unwritten})
	}
}

// unevenChanged records whether the speeds of a service are uneven and returns whether that
// has changed.
func (x *speedExchange) unevenChanged(service string, uneven bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.uneven == nil {
		x.uneven = map[string]bool{}
	}
	before := x.uneven[service]
	x.uneven[service] = uneven
	return before != uneven
}

// speedStats holds the metrics of speeds.
type speedStats struct {
	speedChanges   metrics.Counter // changes of an engine's speed that noise does not explain
	speedsSent     metrics.Counter // messages with speeds sent to other processes
	speedsRejected metrics.Counter // reports from other processes that were not used
	speedsUneven   metrics.Gauge   // services with uneven speeds
}

func newSpeedStats(registry metrics.Registry) speedStats {
	return speedStats{
		speedChanges:   metrics.GetOrRegisterCounter("speeds.changes", registry),
		speedsSent:     metrics.GetOrRegisterCounter("speeds.sent", registry),
		speedsRejected: metrics.GetOrRegisterCounter("speeds.rejected", registry),
		speedsUneven:   metrics.GetOrRegisterGauge("speeds.uneven", registry),
	}
}
