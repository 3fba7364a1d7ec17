package config

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/config"
)

// The flood: changes with a wrong key at one entry, and an outage in its middle.
const (
	floodEvery  = 2 * time.Millisecond
	floodHosts  = 5000
	floodLasts  = 10 * time.Minute
	floodOutage = 3 * time.Minute
)

// measureFlood counts what a flood of refused changes costs the platform's
// service, and what becomes of the change of an operator tried in its middle.
func measureFlood() ([]bounds.Figure, error) {
	w := newWorld(7)
	s := &schedule{world: w}
	j := newJournals(s, 7)
	s.store = newStore[[]byte](w, storeFaults{})
	j.store.faults = storeFaults{}
	p := &proc{s: s, self: config.Peer{ID: "e"}, up: true, journal: config.NewRefusedLog(config.DefaultRefusedLogConfig(), deployment, "e/1")}
	var flood, tick func()
	flood = func() {
		from := fmt.Sprint(w.rnd.IntN(floodHosts))
		p.journal.Append(w.Now(), config.RefusedChanges{Host: from, Action: config.ActionApply, Outcome: config.OutcomeRefused})
		j.noted++
		w.After(floodEvery, flood)
	}
	tick = func() {
		j.carryOut(p, p.journal.Tick(w.Now()))
		w.After(journalTick, tick)
	}
	flood()
	tick()
	w.After(floodLasts/2, func() {
		j.note(p, config.Request{Operator: "ana", Action: config.ActionApply}, config.Conflict)
	})
	w.After(floodLasts/2, func() { s.store.out = true })
	w.After(floodLasts/2+floodOutage, func() { s.store.out = false })
	w.Run(floodLasts, never)
	return j.floodFigures(p.journal)
}

func (j *journals) floodFigures(journal *config.RefusedLog) ([]bounds.Figure, error) {
	stored, bytes, operators := int64(0), 0, 0
	for _, value := range j.store.values {
		record, err := config.DecodeRefused(value)
		if err != nil {
			return nil, err
		}
		stored += record.Total()
		bytes = max(bytes, len(value))
		for _, g := range record.Groups {
			if g.Operator != "" {
				operators++
			}
		}
	}
	return []bounds.Figure{
		{Name: "audit.flood_attempts", Value: float64(j.noted)},
		{Name: "audit.flood_kv_calls_per_s", Value: float64(j.store.reads+j.store.writes) / floodLasts.Seconds()},
		{Name: "audit.flood_value_kb", Value: float64(bytes) / 1024},
		{Name: "audit.flood_operators_listed", Value: float64(operators)},
		{Name: "audit.flood_uncounted", Value: float64(j.noted - stored - journal.Unwritten())},
	}, nil
}
