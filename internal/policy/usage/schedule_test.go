package usage_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/usage"
)

const (
	schedules = 2000
	holders   = 3
	tick      = 50 * time.Millisecond
	duration  = 60 * time.Second
	dutyTTL   = 2 * time.Second
	apart     = 3 * time.Second // between the acts of two holders
	actWithin = 500 * time.Millisecond
	// freezeSlack is how long after it goes on a frozen process's calls do not count.
	freezeSlack = 300 * time.Millisecond
)

// world is one drawn schedule: a store and a billing address that fail, lose answers and
// carry calls out late, and processes that are paused, killed and stand for one duty.
type world struct {
	rnd    *rand.Rand
	now    time.Time
	fences bool // the billing address refuses old tokens

	revision int64
	duty     struct {
		holder  int
		term    int64 // 0: nobody has it
		expires time.Time
	}
	fixed    map[usage.Window]usage.Counts
	late     []func() // calls that are carried out late
	lateAt   []time.Time
	accepted map[usage.Window]usage.Counts
	highest  int64
	acts     []act
	broken   []string
	down     time.Time // store and billing fail until then

	processes []*process
}

type act struct {
	holder  int
	term    int64
	at      time.Time
	excused bool // its sender had just gone on, or the platform carried it out late
}

type process struct {
	name    int
	holder  *usage.Planner
	ledger  *usage.Ledger
	term    int64
	from    time.Time // may act
	paused  time.Time // until then
	thawed  time.Time
	command usage.Command
	doneAt  time.Time
	outcome usage.Result
	proof   time.Time
}

func newWorld(seed uint64, fences bool) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 1)), now: at(0), fences: fences, revision: 10, fixed: map[usage.Window]usage.Counts{}, accepted: map[usage.Window]usage.Counts{}}
	for i := range holders {
		w.processes = append(w.processes, &process{name: i, holder: usage.NewPlanner(rules), ledger: usage.NewLedger(rules)})
	}
	return w
}

func (w *world) chance(oneIn int) bool { return w.rnd.IntN(oneIn) == 0 }

func (w *world) run() {
	for end := w.now.Add(duration); w.now.Before(end); w.now = w.now.Add(tick) {
		w.carryOutLate()
		if w.chance(400) {
			w.down = w.now.Add(time.Duration(w.rnd.IntN(6000)) * time.Millisecond)
		}
		if w.duty.term != 0 && w.now.After(w.duty.expires) {
			w.duty.term = 0
		}
		for _, p := range w.processes {
			w.step(p)
		}
	}
}

func (w *world) carryOutLate() {
	for i := 0; i < len(w.late); i++ {
		if !w.now.Before(w.lateAt[i]) {
			w.late[i]()
			w.late = append(w.late[:i], w.late[i+1:]...)
			w.lateAt = append(w.lateAt[:i], w.lateAt[i+1:]...)
			i--
		}
	}
}

func (w *world) step(p *process) {
	switch {
	case w.now.Before(p.paused):
		return
	case w.chance(600):
		p.paused = w.now.Add(time.Duration(w.rnd.IntN(7000)) * time.Millisecond)
		p.thawed = p.paused
		return
	case w.chance(900): // killed, and back at once
		*p = process{name: p.name, holder: usage.NewPlanner(rules), ledger: usage.NewLedger(rules)}
		return
	}
	w.hear(p)
	w.lead(p)
	if p.command != nil {
		if w.now.Before(p.doneAt) {
			return
		}
		p.holder.HandleResult(w.now, p.outcome)
		p.command = nil
	}
	p.holder.SetTerm(p.acting(w.now))
	p.holder.CloseWindows(w.now, p.ledger, nil)
	if p.holder.ShouldResign() {
		p.term = 0
		return
	}
	if p.command = p.holder.Next(w.now); p.command != nil {
		w.carryOut(p)
	}
}

// hear has a process be told counts that differ between processes, as some tellings are
// lost.
func (w *world) hear(p *process) {
	window := rules.WindowAt(w.now)
	p.ledger.Apply(usage.Update{Process: "entry", Boot: 1, Through: window - 1, Tallies: []usage.Tally{{Window: window, Counts: usage.Counts{"desk": w.rnd.Int64N(50)}}}})
}

func (p *process) acting(now time.Time) int64 {
	if p.term == 0 || now.Before(p.from) {
		return 0
	}
	return p.term
}

// lead renews the duty or stands for it.
func (w *world) lead(p *process) {
	if w.now.Before(w.down) || !w.chance(10) {
		return
	}
	if p.term != 0 {
		if w.duty.term != p.term {
			p.term = 0
			return
		}
		w.duty.expires = w.now.Add(dutyTTL)
		return
	}
	if w.duty.term == 0 {
		w.revision++
		w.duty.holder, w.duty.term, w.duty.expires = p.name, w.revision, w.now.Add(dutyTTL)
		p.term = w.revision
		p.from = w.now.Add(apart - dutyTTL + actWithin + 100*time.Millisecond)
	}
}

// carryOut carries a command out, now or late, and decides what the process hears of it.
func (w *world) carryOut(p *process) {
	p.doneAt = w.now.Add(time.Duration(w.rnd.IntN(300)) * time.Millisecond)
	again := w.now.Add(250*time.Millisecond + time.Duration(w.rnd.IntN(250))*time.Millisecond)
	p.outcome = usage.Result{RetryAt: again}
	if w.now.Before(w.down) {
		return
	}
	command, proof, thawed := p.command, p.proof, p.thawed
	send := false
	if _, send = command.(usage.SendReport); send && w.now.Sub(proof) >= actWithin/2 {
		return // the word of the store is too old to act on
	}
	do := func(late bool) usage.Result {
		return w.effect(p.name, command, late || w.now.Sub(thawed) < freezeSlack)
	}
	switch {
	case w.chance(12): // the call is carried out late, and its answer lost
		w.late, w.lateAt = append(w.late, func() { do(true) }), append(w.lateAt, w.now.Add(time.Duration(w.rnd.IntN(5000))*time.Millisecond))
	case w.chance(12): // the answer is lost
		do(false)
	default:
		p.outcome = do(false)
		p.outcome.RetryAt = again
		if p.outcome.Outcome == usage.Done && !send {
			p.proof = w.now
		}
	}
}

func (w *world) effect(name int, command usage.Command, excused bool) usage.Result {
	switch c := command.(type) {
	case usage.LoadReports:
		a := usage.Result{Outcome: usage.Done}
		for window, counts := range w.fixed {
			a.Reports = append(a.Reports, usage.Report{Window: window, Counts: counts})
		}
		sort.Slice(a.Reports, func(i, j int) bool { return a.Reports[i].Window < a.Reports[j].Window })
		return a
	case usage.StoreReport:
		if _, stands := w.fixed[c.Window]; stands || w.duty.term != c.Term {
			return usage.Result{Outcome: usage.NotDone}
		}
		w.fixed[c.Window] = c.Counts
		return usage.Result{Outcome: usage.Done}
	case usage.ReadReport:
		if counts, stands := w.fixed[c.Window]; stands {
			return usage.Result{Outcome: usage.Done, Reports: []usage.Report{{Window: c.Window, Counts: counts}}}
		}
		return usage.Result{Outcome: usage.NotDone}
	case usage.ConfirmTerm:
		if w.duty.term != 0 && w.duty.holder == name && w.processes[name].term == w.duty.term {
			return usage.Result{Outcome: usage.Done}
		}
		return usage.Result{Outcome: usage.NotDone}
	case usage.SendReport:
		return w.bill(name, c, excused)
	}
	return usage.Result{}
}

// bill takes a report, and notes what no report may do.
func (w *world) bill(name int, c usage.SendReport, excused bool) usage.Result {
	if w.fences && c.Term < w.highest {
		return usage.Result{Outcome: usage.Outdated}
	}
	w.highest = max(w.highest, c.Term)
	if standing, found := w.accepted[c.Window]; found && fmt.Sprint(standing) != fmt.Sprint(c.Counts) {
		w.broken = append(w.broken, fmt.Sprintf("window %d told as %v and as %v", c.Window, standing, c.Counts))
	}
	w.accepted[c.Window] = c.Counts
	w.acts = append(w.acts, act{name, c.Term, w.now, excused})
	return usage.Result{Outcome: usage.Done}
}

// check returns what was broken: two counts of a window, a term of two holders, or
// holders that take turns within a lease's time.
func (w *world) check() []string {
	byTerm := map[int64]int{}
	for i, a := range w.acts {
		if other, found := byTerm[a.term]; found && other != a.holder {
			w.broken = append(w.broken, fmt.Sprintf("term %d of holders %d and %d", a.term, other, a.holder))
		}
		byTerm[a.term] = a.holder
		for j := i + 1; j < len(w.acts) && w.acts[j].at.Sub(a.at) < apart; j++ {
			for k := j + 1; k < len(w.acts) && w.acts[k].at.Sub(a.at) < apart; k++ {
				b, c := w.acts[j], w.acts[k]
				if a.holder == c.holder && a.holder != b.holder && !a.excused && !b.excused && !c.excused {
					w.broken = append(w.broken, fmt.Sprintf("holders %d, %d, %d within a lease's time", a.holder, b.holder, c.holder))
				}
			}
		}
	}
	return w.broken
}

var _ = Describe("reports of usage in drawn schedules", func() {
	// Holders are killed, paused and cut off between any two steps, and calls are carried
	// out seconds late: a window's counts, told twice, must be the same, and two holders
	// never take turns within a lease's time.
	DescribeTable("are never told in two ways", func(fences bool) {
		reported := 0
		for seed := range uint64(schedules) {
			w := newWorld(seed, fences)
			w.run()
			ExpectWithOffset(1, w.check()).To(BeEmpty(), "seed %d", seed)
			reported += len(w.accepted)
		}
		windows := int(duration / rules.WindowLength)
		Expect(reported).To(BeNumerically(">", schedules*windows/2), "most windows are reported")
	}, Entry("to a platform that checks tokens", true), Entry("to one that does not", false))
})
