package batchrun_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/deployment"
	eventlog "siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/schedule"
	"siskinloom.example/siskinloom/internal/policy/speed"
	"siskinloom.example/siskinloom/internal/standin"
)

// speedOwner returns an owner of jobs that is not running, with a number of engines.
func speedOwner(name string, engines int) (*batchrun.Owner, *test.Hook) {
	log, hook := test.NewNullLogger()
	log.SetLevel(logrus.InfoLevel)
	d := directory.New(name, "", nil)
	d.Declare(&deployment.Declaration{Version: 1, Services: map[string]deployment.Service{"llm": {Models: []string{"m"}}}})
	for i := range engines {
		d.Put(deployment.Endpoint{ID: engineID(i), Service: "llm", Slots: 16, StartedAtMillis: 1, Versions: map[string]int64{"m": 1}})
	}
	o := &batchrun.Owner{Name: name, Directory: d, Log: log, Registry: metrics.NewRegistry(), Switches: &mechanism.Switches{}}
	d.Switches = o.Switches
	o.Init()
	return o, hook
}

func engineID(i int) string { return fmt.Sprintf("engine-%04d", i) }

// measure has an owner measure all its engines, of which the first fast ones are fast.
func measure(o *batchrun.Owner, now time.Time, engines, fast int) {
	picks := make([]*directory.Pick, engines)
	for i := range picks { // each pick goes to an idle engine
		picks[i] = o.Directory.Pick("llm", endpoints.Request{Now: now, Model: "m"})
	}
	for _, pick := range picks {
		seconds := 0.055
		if pick.ID < engineID(fast) {
			seconds = 0.026
		}
		for at := now.Add(-4 * time.Second); at.Before(now); at = at.Add(700 * time.Millisecond) {
			pick.ObserveSpeed(at, seconds, 8, 0)
		}
		pick.End(now, endpoints.Cancelled, 0, 0)
	}
}

var _ = Describe("the speeds that owners send each other", func() {
	message := func(reports []speed.Report) batchrun.LoadArgs {
		raw, err := speed.EncodeReports(reports)
		Expect(err).NotTo(HaveOccurred())
		return batchrun.LoadArgs{From: "a", Service: "llm", Speeds: raw, Shares: map[string]endpoints.ProcessLoad{engineID(0): {InFlight: 3}}}
	}

	It("let a process that has measured nothing know fast engines", func() {
		// Without them a standby that takes over learns the engines anew, while steps are due.
		now := time.Now()
		a, _ := speedOwner("a", 12)
		b, hook := speedOwner("b", 12)
		measure(a, now, 12, 3)
		a.Copier.StandbyFor = func(string, string) (string, bool) { return "standby", true }
		batchrun.AddOwnedJob(a, spec("j", 1))
		messages := batchrun.SpeedMessages(a, now, "llm", []string{"b"}, 200)
		Expect(messages).To(And(HaveLen(2), HaveKey("standby")))
		Expect(batchrun.ReceiveLoad(b, batchrun.LoadArgs{From: "a", Service: "llm", Speeds: messages["b"]})).To(Succeed())
		speeds := b.Directory.Speeds("llm")
		Expect(speeds.Uneven).To(BeTrue())
		Expect(speeds.Endpoints[0].Seconds).To(BeNumerically("~", 0.026, 1e-6))
		Expect(speeds.Endpoints[11].Seconds).To(BeNumerically("~", 0.055, 1e-6))
		batchrun.CheckSpeeds(b, now)
		batchrun.CheckSpeeds(b, now)
		Expect(hook.AllEntries()).To(HaveLen(1), "logged once")
		Expect(hook.LastEntry().Data).To(HaveKeyWithValue("event", eventlog.SpeedsUneven.Number))
	})

	It("are neither sent nor used with the mechanism off", func() {
		now := time.Now()
		a, _ := speedOwner("a", 4)
		a.Switches.SetDisabled([]mechanism.Mechanism{mechanism.LearnSpeeds})
		measure(a, now, 4, 1)
		Expect(batchrun.SpeedMessages(a, now, "llm", []string{"b"}, 200)).To(BeEmpty())
		Expect(batchrun.ReceiveLoad(a, message([]speed.Report{{Key: speed.Key{Endpoint: engineID(0), StartedAtMillis: 1}, Seconds: 0.03, Units: 50}}))).To(Succeed())
		Expect(a.Directory.Speeds("llm").Endpoints[0].Units).To(BeZero())
		Expect(a.Directory.Speeds("llm").Uneven).To(BeFalse())
	})

	It("are checked: a bad value is logged with sender and field, and the rest is used", func() {
		o, hook := speedOwner("b", 4)
		k := func(i int) speed.Key { return speed.Key{Endpoint: engineID(i), StartedAtMillis: 1} }
		Expect(batchrun.ReceiveLoad(o, message([]speed.Report{
			{Key: k(0), Seconds: math.NaN(), Units: 50}, {Key: k(1), Seconds: 0.04, Units: 50, Age: -time.Hour}, {Key: k(2), Seconds: 0.05, Units: 50},
		}))).To(Succeed())
		Expect(hook.AllEntries()).To(HaveLen(2))
		Expect(hook.AllEntries()[0].Data).To(And(HaveKeyWithValue("event", eventlog.SpeedNotUsed.Number), HaveKeyWithValue("from", "a"), HaveKeyWithValue("field", "Seconds")))
		Expect(hook.AllEntries()[1].Data).To(HaveKeyWithValue("field", "Age"))
		endpoints := o.Directory.Speeds("llm").Endpoints
		Expect(endpoints[1].Units).To(BeZero())
		Expect(endpoints[2].Units).To(Equal(50))
		Expect(o.Registry.Get("speeds.rejected").(metrics.Counter).Count()).To(Equal(int64(2)))
		Expect(batchrun.ReceiveLoad(o, message(make([]speed.Report, 100)))).To(Succeed())
		Expect(hook.AllEntries()).To(HaveLen(20), "the log is not flooded")
	})

	// Guards against a load that is not a number: the weights of all runs would not be either, and
	// a negative number of requests would make an engine seem to have free slots for ever.
	It("come with loads that are checked as well", func() {
		o, hook := speedOwner("b", 2)
		Expect(batchrun.ReceiveLoad(o, batchrun.LoadArgs{
			From: "a", Service: "llm", Load: schedule.Load{Projected: math.NaN()},
			Shares: map[string]endpoints.ProcessLoad{engineID(0): {InFlight: -5}, engineID(1): {InFlight: 1, Burden: 2}},
		})).To(Succeed())
		Expect(hook.AllEntries()).To(HaveLen(2))
		Expect(hook.AllEntries()[0].Data).To(And(HaveKeyWithValue("event", eventlog.LoadNotUsed.Number), HaveKeyWithValue("from", "a"), HaveKeyWithValue("field", "Load.Projected")))
		Expect(hook.AllEntries()[1].Data).To(HaveKeyWithValue("field", "Shares"))
		Expect(batchrun.ReportedLoad(o)).To(Equal(schedule.Load{}))
		for range 2 {
			pick := o.Directory.Pick("llm", endpoints.Request{Now: time.Now(), Model: "m"})
			Expect(pick.Others()).To(Equal(map[string]int{engineID(0): 0, engineID(1): 1}[pick.ID]))
		}
	})

	It("don't make the loads of the message invalid, if they have another type or the receiver is older", func() {
		o, hook := speedOwner("b", 4)
		args := message(nil)
		var buffer bytes.Buffer
		Expect(gob.NewEncoder(&buffer).Encode([]struct{ Seconds string }{{"fast"}})).To(Succeed())
		args.Speeds = bytes.Clone(buffer.Bytes())
		buffer.Reset()
		Expect(batchrun.ReceiveLoad(o, args)).To(Succeed())
		Expect(hook.LastEntry().Data).To(HaveKeyWithValue("field", "Speeds"))
		for range 4 {
			if pick := o.Directory.Pick("llm", endpoints.Request{Now: time.Now(), Model: "m"}); pick.ID == engineID(0) {
				Expect(pick.Others()).To(Equal(3), "the load is used")
			}
		}
		var old struct {
			Shares map[string]endpoints.ProcessLoad
		}
		Expect(gob.NewEncoder(&buffer).Encode(args)).To(Succeed())
		Expect(gob.NewDecoder(&buffer).Decode(&old)).To(Succeed(), "an older process ignores the field")
		Expect(old.Shares).To(HaveKey(engineID(0)))
	})

	It("take at most 4 kB per second, also with 1,300 engines and 440 processes", func() {
		now := time.Now()
		o, _ := speedOwner("a", 1300)
		measure(o, now, 1300, 300)
		var others []string
		for i := range 440 {
			others = append(others, fmt.Sprintf("worker-%d", i))
		}
		sent, to, seconds := 0, map[string]bool{}, 20
		for range seconds * 10 {
			for name, raw := range batchrun.SpeedMessages(o, now, "llm", others, 200) {
				sent += len(raw) + 200
				to[name] = true
			}
			now = now.Add(100 * time.Millisecond)
		}
		Expect(sent).To(BeNumerically("<=", 4000*(seconds+1)))
		Expect(len(to)).To(BeNumerically(">", 4), "processes get their turn")
	})
})

var _ = Describe("the measurement of a run", func() {
	It("shows the engine's speed in segments of eight events, without a pause of the batch", func() {
		// An engine that pauses its batch for a second to load weights has not become slow.
		// Events in bursts must not make it seem faster.
		meter, now := batchrun.SpeedMeter{}, time.Now()
		var measured []float64
		for i := range 33 {
			gap := 30 * time.Millisecond
			switch {
			case i == 13:
				gap = 1500 * time.Millisecond
			case i > 16 && i%4 == 0:
				gap = 120 * time.Millisecond // four events arrive together
			case i > 16:
				gap = 0
			}
			now = now.Add(gap)
			if seconds, others, ok := batchrun.ObserveEvent(&meter, now, func() int { return i }); ok {
				measured = append(measured, seconds)
				Expect(others).To(BeNumerically("~", float64(i)-4, 1e-9), "mean of begin and end")
			}
		}
		Expect(measured).To(HaveLen(3), "the segment with the pause shows nothing")
		for _, seconds := range measured {
			Expect(seconds).To(BeNumerically("~", 0.03, 1e-6))
		}
	})

	It("is taken of each run at an owner", func() {
		p := newProcess("a", standin.NewTransactionalStore(), &engines{sent: map[string]int{}, length: 40, pause: 40}).run()
		Eventually(func() int { return len(p.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
		Expect(p.frontend.Submit(context.Background(), spec("j", 6))).To(Succeed())
		Eventually(func() int {
			speeds := p.owner.Directory.Speeds("llm").Endpoints
			return speeds[0].Units + speeds[1].Units
		}).WithTimeout(eventuallyTimeout).Should(BeNumerically(">=", 8))
	})
})
