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

var _ = Describe("Journal", func() {
	var s *store
	var j *config.RefusedLog
	var now time.Time
	var calls int
	settings := config.DefaultRefusedLogConfig()
	var rnd *rand.Rand

	BeforeEach(func() {
		s, now, calls = newStore(), start, 0
		rnd = rand.New(rand.NewPCG(1, 1))
		j = config.NewRefusedLog(settings, "d", "e1/a")
	})

	note := func(operator, host string) {
		j.Append(now, config.RefusedChanges{Operator: operator, Host: host, Action: config.ActionApply, Outcome: config.OutcomeRefused, Reason: "r"})
	}
	read := func(step config.Step) config.Step {
		calls++
		record, err := config.DecodeRefused(s.records[step.Key])
		Expect(err).NotTo(HaveOccurred())
		return j.ReadDone(record, s.revision[step.Key], true)
	}
	// carryOut answers steps as a service without faults does.
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
			step = j.WriteDone(now, outcome, rnd)
		}
	}
	run := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(100 * time.Millisecond) {
			carryOut(j.Tick(now))
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

	// A script with a wrong key asks a hundred times a second, from ever new
	// addresses. Each write would be two calls of the budget that claims and
	// leases need; grouped, they are two per interval, and the rest is counted.
	It("writes a flood at a bounded rate and counts what it does not list", func() {
		const attempts = 6000
		for i := range attempts {
			note("", fmt.Sprint("10.0.0.", i%1000))
			now = now.Add(10 * time.Millisecond)
			carryOut(j.Tick(now))
		}
		run(2 * settings.WriteInterval)
		Expect(calls).To(BeNumerically("<=", 2*9), "two for each interval of 80 s")
		Expect(total()).To(Equal(int64(attempts)))
		Expect(stored().Dropped).To(BeNumerically(">", 0))
		Expect(len(s.records[j.Flush(now).Key])).To(BeZero(), "nothing waits")
		for _, value := range s.records {
			Expect(len(value)).To(BeNumerically("<", 64<<10))
		}
	})

	// The flood of strangers goes on for a day. What an operator tried in its
	// middle is what the audit trail is for.
	It("keeps what an operator tried through a flood of strangers", func() {
		for i := range 500 {
			if i == 100 {
				note("ana", "10.0.1.1")
			}
			note("", fmt.Sprint("10.0.0.", i))
			run(settings.WriteInterval)
		}
		Expect(stored().Groups).To(ContainElement(HaveField("Operator", "ana")))
		Expect(total()).To(Equal(int64(501)))
	})

	// The write takes effect and its answer is lost. The next one must not add
	// the same changes again, nor take them for written if it did not.
	It("adds a batch once whether its lost write took effect or not", func() {
		for _, tookEffect := range []bool{true, false} {
			note("ana", "10.0.1.1")
			before := total()
			now = now.Add(settings.FirstWriteDelay)
			write := read(j.Flush(now))
			if tookEffect {
				Expect(s.swap(write)).To(BeTrue())
			}
			Expect(j.WriteDone(now, config.WriteIndeterminate, rnd).Kind).To(Equal(config.StepDone))
			note("ana", "10.0.1.1")
			run(3 * settings.WriteInterval)
			Expect(total()).To(Equal(before + 2))
			Expect(s.swap(write)).To(BeFalse(), "too late")
		}
	})

	// The platform is away for an hour under a flood. Memory stays bounded, one
	// read is tried per interval, and nothing is forgotten in the end.
	It("waits for the service through an outage", func() {
		const attempts = 3600
		tries := 0
		for i := range attempts {
			note("", fmt.Sprint("10.0.0.", i))
			now = now.Add(time.Second)
			if j.Tick(now).Kind == config.StepRead {
				tries++
				Expect(j.ReadDone(config.RefusedRecord{}, 0, false).Kind).To(Equal(config.StepDone))
			}
		}
		Expect(tries).To(BeNumerically("<=", attempts/int(settings.WriteInterval.Seconds())))
		run(2 * settings.WriteInterval)
		Expect(total()).To(Equal(int64(attempts)))
		Expect(j.Unwritten()).To(BeZero())
	})

	It("shares a key with other entries", func() {
		note("ana", "10.0.1.1")
		write := read(j.Flush(now))
		other := write
		Expect(s.swap(other)).To(BeTrue(), "another entry's write at the same revision")
		s.records[write.Key] = nil // whatever it wrote
		Expect(j.WriteDone(now, config.WriteConflict, rnd).Kind).To(Equal(config.StepDone))
		run(3 * settings.RetryDelay)
		Expect(total()).To(Equal(int64(1)))
	})

	It("bounds the texts that a caller gives", func() {
		j.Append(now, config.RefusedChanges{Operator: "ana", ChangeID: strings.Repeat("x", 1<<20)})
		run(settings.WriteInterval)
		Expect(stored().Groups[0].ChangeID).To(HaveLen(80))
	})
})
