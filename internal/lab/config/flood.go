package config

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/config"
)

// The flood consists of changes with a wrong key at one entry. An outage of the service
// starts halfway through it.
const (
	floodInterval       = 2 * time.Millisecond
	floodHostCount      = 5000
	floodDuration       = 10 * time.Minute
	floodOutageDuration = 3 * time.Minute
)

// measureFlood measures the calls to the key-value service that a flood of refused changes
// causes, and checks that the refused change of an operator during the flood is recorded.
func measureFlood() ([]bounds.Figure, error) {
	c := newClock(7)
	s := &schedule{clock: c}
	logs := newRefusedLogs(s, 7)
	s.store = newStore[[]byte](c, storeFaults{})
	logs.store.faults = storeFaults{}
	entry := &process{schedule: s, self: config.Peer{ID: "e"}, up: true, refusedLog: config.NewRefusedLog(config.DefaultRefusedLogConfig(), deploymentName, "e/1")}
	var refuse, tick func()
	refuse = func() {
		host := fmt.Sprint(c.rng.IntN(floodHostCount))
		entry.refusedLog.Append(c.Now(), config.RefusedChanges{Host: host, Action: config.ActionApply, Outcome: config.OutcomeRefused})
		logs.appended++
		c.After(floodInterval, refuse)
	}
	tick = func() {
		logs.execute(entry, entry.refusedLog.Tick(c.Now()))
		c.After(refusedLogTickInterval, tick)
	}
	refuse()
	tick()
	c.After(floodDuration/2, func() {
		logs.appendOutcome(entry, config.Request{Operator: "ana", Action: config.ActionApply}, config.Conflict)
	})
	c.After(floodDuration/2, func() { s.store.outage = true })
	c.After(floodDuration/2+floodOutageDuration, func() { s.store.outage = false })
	c.Run(floodDuration, never)
	return logs.floodFigures(entry.refusedLog)
}

// floodFigures returns the figures of the flood. log is the log of the flooded entry.
func (l *refusedLogs) floodFigures(log *config.RefusedLog) ([]bounds.Figure, error) {
	stored, maxBytes, operators := int64(0), 0, 0
	for _, value := range l.store.values {
		record, err := config.DecodeRefused(value)
		if err != nil {
			return nil, err
		}
		stored += record.Total()
		maxBytes = max(maxBytes, len(value))
		for _, g := range record.Groups {
			if g.Operator != "" {
				operators++
			}
		}
	}
	return []bounds.Figure{
		{Name: "audit.flood_attempts", Value: float64(l.appended)},
		{Name: "audit.flood_kv_calls_per_s", Value: float64(l.store.reads+l.store.writes) / floodDuration.Seconds()},
		{Name: "audit.flood_value_kb", Value: float64(maxBytes) / 1024},
		{Name: "audit.flood_operators_listed", Value: float64(operators)},
		{Name: "audit.flood_uncounted", Value: float64(l.appended - stored - log.Unwritten())},
	}, nil
}
