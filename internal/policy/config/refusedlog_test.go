package config_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/config"
)

var _ = Describe("RefusedLog", func() {
	var s *store
	var l *config.RefusedLog
	var now time.Time
	var calls int
	settings := config.DefaultRefusedLogConfig()
	var rnd *rand.Rand

	BeforeEach(func() {
		s, now, calls = newStore(), start, 0
		rnd = rand.New(rand.NewPCG(1, 1))
		l = config.NewRefusedLog(settings, "d", "e1/a")
	})

	add := func(operator, host string) {
		l.Append(now, config.RefusedChanges{Operator: operator, Host: host, Action: config.ActionApply, Outcome: config.OutcomeRefused, Reason: "r"})
	}
	read := func(step config.Step) config.Step {
		calls++
		record, err := config.DecodeRefused(s.records[step.Key])
		Expect(err).NotTo(HaveOccurred())
		return l.ReadDone(record, s.revision[step.Key], true)
	}
	// carryOut carries out steps as a service without faults does.
	carryOut := func(step config.Step) {
		for step.Kind != config.StepDone {
			if step.Kind == config.StepRead {
				step = read(step)
				continue
			}
			calls++
			outcome := config.WriteConflict
			if s.swap(step) {
				outcome = config.WriteSwapped
			}
			step = l.WriteDone(now, outcome, rnd)
		}
	}
	run := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(100 * time.Millisecond) {
			carryOut(l.Tick(now))
		}
	}
	stored := func() config.RefusedRecord {
		var all config.RefusedRecord
		for key, value := range s.records {
			Expect(key).To(HavePrefix(config.RefusedPrefix("d")))
			record, err := config.DecodeRefused(value)
			Expect(err).NotTo(HaveOccurred())
			all.Groups = append(all.Groups, record.Groups...)
			all.Dropped += record.Dropped
		}
		return all
	}
	total := func() int64 { return stored().Total() }

	// A script with a wrong key sends a hundred requests a second from ever new
	// addresses. One write for each would take two calls from the budget that claims
	// and leases need. In groups, they take two calls per interval, and requests beyond
	// the limit of groups are only counted.
	It("writes a flood at a bounded rate and counts what it does not list", func() {
		const attempts = 6000
		for i := range attempts {
			add("", fmt.Sprint("10.0.0.", i%1000))
			now = now.Add(10 * time.Millisecond)
			carryOut(l.Tick(now))
		}
		run(2 * settings.WriteInterval)
		Expect(calls).To(BeNumerically("<=", 2*9), "two for each interval of 80 s")
		Expect(total()).To(Equal(int64(attempts)))
		Expect(stored().Dropped).To(BeNumerically(">", 0))
		Expect(len(s.records[l.Flush(now).Key])).To(BeZero(), "nothing waits")
		for _, value := range s.records {
			Expect(len(value)).To(BeNumerically("<", 64<<10))
		}
	})

	// A flood by unknown callers lasts for a day. What an operator tried in the middle
	// of it must not be lost.
	It("keeps what an operator tried through a flood by unknown callers", func() {
		for i := range 500 {
			if i == 100 {
				add("ana", "10.0.1.1")
			}
			add("", fmt.Sprint("10.0.0.", i))
			run(settings.WriteInterval)
		}
		Expect(stored().Groups).To(ContainElement(HaveField("Operator", "ana")))
		Expect(total()).To(Equal(int64(501)))
	})

	// The answer to a write is lost. The next write must not add the same changes
	// again if it took effect, nor omit them if it did not.
	It("adds a batch once, whether the write without an answer took effect or not", func() {
		for _, tookEffect := range []bool{true, false} {
			add("ana", "10.0.1.1")
			before := total()
			now = now.Add(settings.FirstWriteDelay)
			write := read(l.Flush(now))
			if tookEffect {
				Expect(s.swap(write)).To(BeTrue())
			}
			Expect(l.WriteDone(now, config.WriteIndeterminate, rnd).Kind).To(Equal(config.StepDone))
			add("ana", "10.0.1.1")
			run(3 * settings.WriteInterval)
			Expect(total()).To(Equal(before + 2))
			Expect(s.swap(write)).To(BeFalse(), "too late")
		}
	})

	// The service is down for an hour during a flood. Memory stays bounded, one read is
	// tried per interval, and in the end no change is lost.
	It("retains the changes through an outage of the service", func() {
		const attempts = 3600
		tries := 0
		for i := range attempts {
			add("", fmt.Sprint("10.0.0.", i))
			now = now.Add(time.Second)
			if l.Tick(now).Kind == config.StepRead {
				tries++
				Expect(l.ReadDone(config.RefusedRecord{}, 0, false).Kind).To(Equal(config.StepDone))
			}
		}
		Expect(tries).To(BeNumerically("<=", attempts/int(settings.WriteInterval.Seconds())))
		run(2 * settings.WriteInterval)
		Expect(total()).To(Equal(int64(attempts)))
		Expect(l.Unwritten()).To(BeZero())
	})

	// Another entry writes the same key first. The write of this entry fails then, and
	// its batch must be written again.
	It("shares a key with other entries", func() {
		add("ana", "10.0.1.1")
		write := read(l.Flush(now))
		other := write
		Expect(s.swap(other)).To(BeTrue(), "another entry's write at the same revision")
		s.records[write.Key] = nil // its content does not matter
		Expect(l.WriteDone(now, config.WriteConflict, rnd).Kind).To(Equal(config.StepDone))
		run(3 * settings.RetryDelay)
		Expect(total()).To(Equal(int64(1)))
	})

	It("limits the length of texts that a caller provides", func() {
		l.Append(now, config.RefusedChanges{Operator: "ana", ChangeID: strings.Repeat("x", 1<<20)})
		run(settings.WriteInterval)
		Expect(stored().Groups[0].ChangeID).To(HaveLen(80))
	})
})
