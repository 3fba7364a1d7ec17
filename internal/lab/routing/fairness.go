package routing

import (
	"math"
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/admission"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	lookupDeadline   = 500 * time.Millisecond
	scenarioDuration = 60 * time.Second
	// settleTime is the initial part of a scenario, which the served shares leave out.
	settleTime = 5 * time.Second
)

func business(name string) wire.Principal { return wire.Principal{Business: name} }

func agency(business, name string) wire.Principal {
	return wire.Principal{Business: business, Agency: name}
}

// onTime measures the share of lookups answered on time for a business that stays
// within its share, while another one sends ten times its own and rollouts fill the
// engines.
func onTime() ([]bounds.Figure, error) {
	return []bounds.Figure{
		{Name: "callers.ontime", Value: onTimeUnder(false)},
		{Name: "callers.ontime.baseline", Value: onTimeUnder(true)},
	}, nil
}

func onTimeUnder(baseline bool) float64 {
	f := newFleet(baseline, admissionDefaults(), 1)
	f.fillWithRollouts(2 * engines * slots)
	share := capacity / 2.0
	f.startStream(stream{principal: agency("greedy", "g"), class: "bulk", perSecond: 10 * share, deadline: lookupDeadline, priority: 9}, scenarioDuration)
	modest := f.startStream(stream{principal: agency("modest", "m"), class: "lookup", perSecond: share / 2, deadline: lookupDeadline}, scenarioDuration)
	f.clock.run(scenarioDuration + 10*time.Second)
	return modest.share()
}

// shares measures the largest deviation of an agency's served share from its declared
// share, when all agencies together send several times the capacity and claim between
// half and twice the true costs.
func shares() ([]bounds.Figure, error) {
	return []bounds.Figure{
		{Name: "callers.share_error", Value: shareError(false)},
		{Name: "callers.share_error.baseline", Value: shareError(true)},
	}, nil
}

// agencyLoad is an agency with its declared share and the load that it sends.
type agencyLoad struct {
	principal wire.Principal
	share     float64 // of the capacity, by the declared weights
	rate      float64 // sent, as a multiple of capacity
	claim     float64 // claimed cost over the true mean
}

func declaredAgencies() (map[wire.Principal]float64, []agencyLoad) {
	weights := map[wire.Principal]float64{
		business("kheda"):            2,
		business("kartli"):           1,
		agency("kheda", "anand"):     3,
		agency("kheda", "nadiad"):    1,
		agency("kartli", "batumi"):   2,
		agency("kartli", "kobuleti"): 1,
		agency("kartli", "poti"):     1,
	}
	return weights, []agencyLoad{
		{principal: agency("kheda", "anand"), share: 2.0 / 3 * 3 / 4, rate: 1.5, claim: 0.5},
		{principal: agency("kheda", "nadiad"), share: 2.0 / 3 / 4, rate: 0.5, claim: 2},
		{principal: agency("kartli", "batumi"), share: 1.0 / 3 / 2, rate: 0.5, claim: 1},
		{principal: agency("kartli", "kobuleti"), share: 1.0 / 3 / 4, rate: 1.5, claim: 0.7},
		{principal: agency("kartli", "poti"), share: 1.0 / 3 / 4, rate: 0.3, claim: 1.5},
	}
}

func shareError(baseline bool) float64 {
	weights, agencies := declaredAgencies()
	f := newFleet(baseline, admission.Config{Slots: slots, QueueLimit: queueLimit, Weights: weights}, 2)
	served := map[wire.Principal]float64{}
	total := 0.0
	count := func(r *request, held float64) {
		if f.clock.elapsed() < settleTime || f.clock.elapsed() > scenarioDuration {
			return
		}
		served[r.item.Principal] += held
		total += held
	}
	for _, e := range f.engines {
		setOnServed(e, count)
	}
	for _, a := range agencies {
		f.startStream(stream{principal: a.principal, class: a.principal.Agency, perSecond: a.rate * capacity, deadline: 4 * time.Second, claim: a.claim}, scenarioDuration)
	}
	f.clock.run(scenarioDuration)
	worst := 0.0
	for _, a := range agencies {
		worst = math.Max(worst, math.Abs(served[a.principal]/total-a.share))
	}
	return worst
}

func setOnServed(e engine, count func(*request, float64)) {
	switch e := e.(type) {
	case *fairEngine:
		e.onServed = count
	case *fifoEngine:
		e.onServed = count
	}
}

// goodput measures the rate of answers on time at three times the capacity, relative to
// the highest rate at any load.
func goodput() ([]bounds.Figure, error) {
	return []bounds.Figure{
		{Name: "callers.goodput_3x", Value: relativeGoodput(false)},
		{Name: "callers.goodput_3x.baseline", Value: relativeGoodput(true)},
	}, nil
}

func relativeGoodput(baseline bool) float64 {
	best, last := 0.0, 0.0
	for _, load := range []float64{0.6, 0.8, 0.9, 1, 1.2, 1.5, 2, 3} {
		last = goodputUnder(baseline, load)
		best = max(best, last)
	}
	return last / best
}

func goodputUnder(baseline bool, load float64) float64 {
	const duration = 20 * time.Second
	f := newFleet(baseline, admissionDefaults(), 3)
	t := f.startStream(stream{principal: agency("b", "a"), class: "lookup", perSecond: load * capacity, deadline: lookupDeadline}, duration)
	f.clock.run(duration + time.Minute)
	return float64(t.onTime) / duration.Seconds()
}

// slowEngine measures the share of lookups answered on time while one of six engines
// is ten times slower for half a minute.
func slowEngine() ([]bounds.Figure, error) {
	return []bounds.Figure{
		{Name: "callers.slow_engine_ontime", Value: slowEngineUnder(false)},
		{Name: "callers.slow_engine_ontime.baseline", Value: slowEngineUnder(true)},
	}, nil
}

func slowEngineUnder(baseline bool) float64 {
	f := newFleet(baseline, admissionDefaults(), 4)
	t := f.startStream(stream{principal: agency("b", "a"), class: "lookup", perSecond: 0.5 * capacity, deadline: 2 * time.Second}, scenarioDuration)
	f.clock.after(15*time.Second, func() { f.engines[0].setSpeed(0.1) })
	f.clock.after(45*time.Second, func() { f.engines[0].setSpeed(1) })
	f.clock.run(scenarioDuration + 10*time.Second)
	return t.share()
}
