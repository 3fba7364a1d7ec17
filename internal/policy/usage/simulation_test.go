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
	schedules       = 2000
	processCount    = 3
	tick            = 50 * time.Millisecond
	duration        = 60 * time.Second
	dutyTTL         = 2 * time.Second
	minHandover     = 3 * time.Second // minimum time between the sends of two holders of the duty
	confirmationTTL = 500 * time.Millisecond
	// resumeGrace is how long the calls of a paused process are excused after it resumes.
	resumeGrace = 300 * time.Millisecond
)

// simulation runs one random schedule: a store and a platform that fail, lose answers and
// carry out calls late, and processes that are paused and killed and compete for one
// duty.
type simulation struct {
	rnd          *rand.Rand
	now          time.Time
	checksTokens bool // the platform rejects outdated fencing tokens

	revision int64
	duty     struct {
		holder  int
		term    int64 // 0: no process holds it
		expires time.Time
	}
	stored       map[usage.Window]usage.Counts
	delayed      []func() // calls that are carried out late
	delayedUntil []time.Time
	accepted     map[usage.Window]usage.Counts
	highest      int64
	sends        []send
	violations   []string
	downUntil    time.Time // the store and the platform fail until then

	processes []*process
}

// send is one report that the platform accepted.
type send struct {
	holder  int
	term    int64
	at      time.Time
	excused bool // the sender had just resumed, or the platform carried the call out late
}

type process struct {
	name        int
	planner     *usage.Planner
	ledger      *usage.Ledger
	term        int64
	activeFrom  time.Time // when it may act under its term
	pausedUntil time.Time
	resumedAt   time.Time
	command     usage.Command
	doneAt      time.Time
	result      usage.Result
	confirmedAt time.Time // last confirmation of the term by the store
}

func newSimulation(seed uint64, checksTokens bool) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), now: at(0), checksTokens: checksTokens, revision: 10, stored: map[usage.Window]usage.Counts{}, accepted: map[usage.Window]usage.Counts{}}
	for i := range processCount {
		s.processes = append(s.processes, &process{name: i, planner: usage.NewPlanner(config), ledger: usage.NewLedger(config)})
	}
	return s
}

func (s *simulation) chance(oneIn int) bool { return s.rnd.IntN(oneIn) == 0 }

func (s *simulation) run() {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(tick) {
		s.runDelayed()
		if s.chance(400) {
			s.downUntil = s.now.Add(time.Duration(s.rnd.IntN(6000)) * time.Millisecond)
		}
		if s.duty.term != 0 && s.now.After(s.duty.expires) {
			s.duty.term = 0
		}
		for _, p := range s.processes {
			s.step(p)
		}
	}
}

func (s *simulation) runDelayed() {
	for i := 0; i < len(s.delayed); i++ {
		if !s.now.Before(s.delayedUntil[i]) {
			s.delayed[i]()
			s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
			s.delayedUntil = append(s.delayedUntil[:i], s.delayedUntil[i+1:]...)
			i--
		}
	}
}

func (s *simulation) step(p *process) {
	switch {
	case s.now.Before(p.pausedUntil):
		return
	case s.chance(600):
		p.pausedUntil = s.now.Add(time.Duration(s.rnd.IntN(7000)) * time.Millisecond)
		p.resumedAt = p.pausedUntil
		return
	case s.chance(900): // killed and restarted at once
		*p = process{name: p.name, planner: usage.NewPlanner(config), ledger: usage.NewLedger(config)}
		return
	}
	s.receiveCounts(p)
	s.campaign(p)
	if p.command != nil {
		if s.now.Before(p.doneAt) {
			return
		}
		p.planner.HandleResult(s.now, p.result)
		p.command = nil
	}
	p.planner.SetTerm(p.activeTerm(s.now))
	p.planner.CloseWindows(s.now, p.ledger, nil)
	if p.planner.ShouldResign() {
		p.term = 0
		return
	}
	if p.command = p.planner.Next(s.now); p.command != nil {
		s.execute(p)
	}
}

// receiveCounts gives a process random counts, which differ between processes because
// some updates are lost.
func (s *simulation) receiveCounts(p *process) {
	window := config.WindowAt(s.now)
	p.ledger.Apply(usage.Update{Process: "entry", Boot: 1, Through: window - 1, Tallies: []usage.Tally{{Window: window, Counts: usage.Counts{"desk": s.rnd.Int64N(50)}}}})
}

func (p *process) activeTerm(now time.Time) int64 {
	if p.term == 0 || now.Before(p.activeFrom) {
		return 0
	}
	return p.term
}

// campaign renews the duty or tries to acquire it.
func (s *simulation) campaign(p *process) {
	if s.now.Before(s.downUntil) || !s.chance(10) {
		return
	}
	if p.term != 0 {
		if s.duty.term != p.term {
			p.term = 0
			return
		}
		s.duty.expires = s.now.Add(dutyTTL)
		return
	}
	if s.duty.term == 0 {
		s.revision++
		s.duty.holder, s.duty.term, s.duty.expires = p.name, s.revision, s.now.Add(dutyTTL)
		p.term = s.revision
		p.activeFrom = s.now.Add(minHandover - dutyTTL + confirmationTTL + 100*time.Millisecond)
	}
}

// execute carries out a command, now or late, and decides which result the process gets.
func (s *simulation) execute(p *process) {
	p.doneAt = s.now.Add(time.Duration(s.rnd.IntN(300)) * time.Millisecond)
	retryAt := s.now.Add(250*time.Millisecond + time.Duration(s.rnd.IntN(250))*time.Millisecond)
	p.result = usage.Result{RetryAt: retryAt}
	if s.now.Before(s.downUntil) {
		return
	}
	command, confirmedAt, resumedAt := p.command, p.confirmedAt, p.resumedAt
	isSend := false
	if _, isSend = command.(usage.SendReport); isSend && s.now.Sub(confirmedAt) >= confirmationTTL/2 {
		return // the store's confirmation is too old
	}
	do := func(delayed bool) usage.Result {
		return s.apply(p.name, command, delayed || s.now.Sub(resumedAt) < resumeGrace)
	}
	switch {
	case s.chance(12): // the call is carried out late and its answer is lost
		s.delayed, s.delayedUntil = append(s.delayed, func() { do(true) }), append(s.delayedUntil, s.now.Add(time.Duration(s.rnd.IntN(5000))*time.Millisecond))
	case s.chance(12): // the answer is lost
		do(false)
	default:
		p.result = do(false)
		p.result.RetryAt = retryAt
		if p.result.Outcome == usage.Done && !isSend {
			p.confirmedAt = s.now
		}
	}
}

func (s *simulation) apply(name int, command usage.Command, excused bool) usage.Result {
	switch c := command.(type) {
	case usage.LoadReports:
		a := usage.Result{Outcome: usage.Done}
		for window, counts := range s.stored {
			a.Reports = append(a.Reports, usage.Report{Window: window, Counts: counts})
		}
		sort.Slice(a.Reports, func(i, j int) bool { return a.Reports[i].Window < a.Reports[j].Window })
		return a
	case usage.StoreReport:
		if _, exists := s.stored[c.Window]; exists || s.duty.term != c.Term {
			return usage.Result{Outcome: usage.NotDone}
		}
		s.stored[c.Window] = c.Counts
		return usage.Result{Outcome: usage.Done}
	case usage.ReadReport:
		if counts, exists := s.stored[c.Window]; exists {
			return usage.Result{Outcome: usage.Done, Reports: []usage.Report{{Window: c.Window, Counts: counts}}}
		}
		return usage.Result{Outcome: usage.NotDone}
	case usage.ConfirmTerm:
		if s.duty.term != 0 && s.duty.holder == name && s.processes[name].term == s.duty.term {
			return usage.Result{Outcome: usage.Done}
		}
		return usage.Result{Outcome: usage.NotDone}
	case usage.SendReport:
		return s.acceptReport(name, c, excused)
	}
	return usage.Result{}
}

// acceptReport accepts a report as the platform does and records violations.
func (s *simulation) acceptReport(name int, c usage.SendReport, excused bool) usage.Result {
	if s.checksTokens && c.Term < s.highest {
		return usage.Result{Outcome: usage.Outdated}
	}
	s.highest = max(s.highest, c.Term)
	if earlier, found := s.accepted[c.Window]; found && fmt.Sprint(earlier) != fmt.Sprint(c.Counts) {
		s.violations = append(s.violations, fmt.Sprintf("window %d reported as %v and as %v", c.Window, earlier, c.Counts))
	}
	s.accepted[c.Window] = c.Counts
	s.sends = append(s.sends, send{name, c.Term, s.now, excused})
	return usage.Result{Outcome: usage.Done}
}

// check returns the violations: a window reported with two different counts, a term used
// by two holders, or two holders that alternate within the time of a lease.
func (s *simulation) check() []string {
	byTerm := map[int64]int{}
	for i, a := range s.sends {
		if other, found := byTerm[a.term]; found && other != a.holder {
			s.violations = append(s.violations, fmt.Sprintf("term %d used by holders %d and %d", a.term, other, a.holder))
		}
		byTerm[a.term] = a.holder
		for j := i + 1; j < len(s.sends) && s.sends[j].at.Sub(a.at) < minHandover; j++ {
			for k := j + 1; k < len(s.sends) && s.sends[k].at.Sub(a.at) < minHandover; k++ {
				b, c := s.sends[j], s.sends[k]
				if a.holder == c.holder && a.holder != b.holder && !a.excused && !b.excused && !c.excused {
					s.violations = append(s.violations, fmt.Sprintf("holders %d, %d, %d alternate within the time of a lease", a.holder, b.holder, c.holder))
				}
			}
		}
	}
	return s.violations
}

var _ = Describe("usage reports in random schedules", func() {
	// Holders are killed, paused and partitioned between any two steps, and calls are
	// carried out seconds late. A window that is reported twice must have the same counts,
	// and two holders never alternate within the time of a lease.
	DescribeTable("never differ for one window", func(checksTokens bool) {
		reported := 0
		for seed := range uint64(schedules) {
			s := newSimulation(seed, checksTokens)
			s.run()
			ExpectWithOffset(1, s.check()).To(BeEmpty(), "seed %d", seed)
			reported += len(s.accepted)
		}
		windows := int(duration / config.WindowLength)
		Expect(reported).To(BeNumerically(">", schedules*windows/2), "most windows are reported")
	}, Entry("with a platform that checks fencing tokens", true), Entry("with one that does not", false))
})
