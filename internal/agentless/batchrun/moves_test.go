package batchrun_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/standin"
)

const (
	pacedLength         = 100 // events of each text of pacedEngines
	slowEvent           = 20 * time.Millisecond
	fastEvent           = 2 * time.Millisecond
	eventsBeforeUpgrade = 20
)

// pacedEngines fakes engines of unequal speed.
type pacedEngines struct {
	mu      sync.Mutex
	runs    []string        // engines in the order of the runs
	resumed []int64         // events after which the runs continued
	onEvent func(id int64)  // called before each event; may be nil
	refuse  map[string]bool // engines that refuse runs as full
}

func (e *pacedEngines) Send(ctx context.Context, to *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs, e.resumed = append(e.runs, to.ID), append(e.resumed, r.ResumeAfter)
	if e.refuse[to.ID] {
		return &dispatch.Answer{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody}, nil
	}
	read, write := io.Pipe()
	event := slowEvent
	if isFast(to.ID) {
		event = fastEvent
	}
	go e.generate(ctx, write, r.ResumeAfter, event)
	return &dispatch.Answer{Status: http.StatusOK, Signed: true, Version: 5, Body: read}, nil
}

func (e *pacedEngines) generate(ctx context.Context, w *io.PipeWriter, after int64, event time.Duration) {
	for id := after + 1; id <= pacedLength; id++ {
		select {
		case <-time.After(event):
		case <-ctx.Done():
			_ = w.CloseWithError(ctx.Err())
			return
		}
		if e.onEvent != nil {
			e.onEvent(id)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", id, id); err != nil {
			return
		}
	}
	_ = w.Close()
}

func (e *pacedEngines) runsSoFar() ([]string, []int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs), slices.Clone(e.resumed)
}

func isFast(id string) bool { return id == "f0" || id == "f1" }

// pacedEndpoint returns an endpoint that holds a weight version.
func pacedEndpoint(id string, version int64) deployment.Endpoint {
	return deployment.Endpoint{ID: id, Service: "llm", Address: "x:1", Slots: 8, Versions: map[string]int64{"m": version}}
}

var _ = Describe("a text at a slow engine", func() {
	var (
		llm           *pacedEngines
		p             *process
		upgrade       int64 // version that the fast engines load during the text
		singleVersion bool  // of the job
	)

	BeforeEach(func() { upgrade, singleVersion = 5, false })

	// start starts a process that knows the speeds of two fast engines and three slow ones. The
	// fast ones get the upgrade once the text has eventsBeforeUpgrade events.
	start := func() {
		llm = &pacedEngines{refuse: map[string]bool{}}
		p = newProcess("a", standin.NewTransactionalStore(), llm)
		d := p.owner.Directory
		d.Remove("llm0")
		d.Remove("llm1")
		for _, id := range []string{"f0", "f1", "s0", "s1", "s2"} {
			d.Put(pacedEndpoint(id, 4))
			pick := d.Pick("llm", endpoints.Request{Now: time.Now(), Tried: without([]string{"f0", "f1", "s0", "s1", "s2"}, id)})
			seconds := slowEvent.Seconds()
			if isFast(id) {
				seconds = fastEvent.Seconds()
			}
			const measurements = 5
			for n := range measurements {
				pick.ObservePace(seconds)
				pick.ObserveSpeed(time.Now().Add(time.Duration(n-measurements)*time.Second), seconds, 16, 0)
			}
			pick.End(time.Now(), endpoints.Answered, time.Second, 0)
		}
		for _, id := range []string{"s0", "s1", "s2"} {
			d.Put(pacedEndpoint(id, 5))
		}
		var once sync.Once
		llm.onEvent = func(id int64) {
			if id == eventsBeforeUpgrade {
				once.Do(func() { d.Put(pacedEndpoint("f0", upgrade)); d.Put(pacedEndpoint("f1", upgrade)) })
			}
		}
	}
	// inFlight returns the requests that the process counts at the engines.
	inFlight := func() map[string]endpoints.ProcessLoad { return p.owner.Directory.ProcessLoads("llm") }
	// begin submits a job with one text that its step has waited for.
	begin := func() {
		p.run()
		Eventually(func() int { return len(p.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
		now := time.Now()
		Expect(p.frontend.Submit(context.Background(), &batch.Spec{
			ID: "j", Host: "h", Model: "m", MinVersion: 5, SingleVersion: singleVersion, MaxAttempts: 3, Submitted: now.Add(-5 * time.Second), Due: now.Add(2500 * time.Millisecond), Expires: now.Add(time.Hour),
			Items: []batch.Item{{ID: "i0", Path: "/items/x", Body: []byte("b"), Group: "g", LengthHint: 50 * pacedLength}},
		})).To(Succeed())
	}
	// submit submits the job, waits for its result, and checks that no slot is held any more.
	submit := func() {
		begin()
		Eventually(results(p, "j")).WithTimeout(eventuallyTimeout).Should(Equal(1))
		Eventually(inFlight).WithTimeout(eventuallyTimeout).Should(BeEmpty())
	}

	It("is moved once, to a fast engine, and continues there", func() {
		// Before, it stayed, as no engine was slower than typical.
		start()
		submit()
		runs, resumed := llm.runsSoFar()
		Expect(runs).To(HaveLen(2))
		Expect(isFast(runs[0])).To(BeFalse())
		Expect(isFast(runs[1])).To(BeTrue())
		Expect(resumed[1]).To(And(BeNumerically(">=", eventsBeforeUpgrade-1), BeNumerically("<", pacedLength)))
	})

	// disable switches mechanisms off.
	disable := func(off ...mechanism.Mechanism) {
		p.owner.Switches = &mechanism.Switches{}
		p.owner.Directory.Switches = p.owner.Switches
		p.owner.Switches.SetDisabled(off)
	}
	movedByTime := func() int64 {
		return metrics.GetOrRegisterCounter("batch.runs.moved.by_time", p.owner.Registry).Count()
	}

	// move-slow is disabled in addition: it goes by the measured pace, and the events of a fake
	// engine take longer on a busy machine. Placement by time moves texts with move-crowded alone.
	DescribeTable("moves only with the mechanism", func(off []mechanism.Mechanism, moves int) {
		start()
		disable(append(off, mechanism.MoveSlow)...)
		submit()
		runs, _ := llm.runsSoFar()
		Expect(runs).To(HaveLen(1 + moves))
		Expect(movedByTime()).To(BeEquivalentTo(moves))
	},
		Entry("enabled", nil, 1),
		Entry("disabled", []mechanism.Mechanism{mechanism.PlaceByTime}, 0),
	)

	It("is not moved by time if the mechanism is disabled", func() {
		start()
		disable(mechanism.PlaceByTime)
		submit()
		Expect(movedByTime()).To(BeZero())
	})

	// Guards against the loss of a text that must come from one weight version: the first run of
	// a text requires no version, but the text has one after its first event. An engine with
	// newer weights would refuse it, and it would begin anew.
	It("is not moved to an engine with other weights if it must come from one version", func() {
		upgrade, singleVersion = 6, true
		start()
		submit()
		runs, _ := llm.runsSoFar()
		Expect(runs).To(HaveEach(HavePrefix("s")))
		Expect(movedByTime()).To(BeZero())
	})

	// Guards against decisions, and an operator's table, by the engine that a text has left.
	It("counts for the quarantine at the engine that it was moved to", func() {
		start()
		q := quarantine.New("a", standin.NewTransactionalStore(), &besideEngines{}, discardLogger(), metrics.NewRegistry())
		p.owner.Quarantine, q.Directory = q, p.owner.Directory
		release, upgrading := make(chan struct{}), llm.onEvent
		llm.onEvent = func(id int64) {
			upgrading(id)
			if id == pacedLength-1 {
				<-release
			}
		}
		begin()
		runs := func() []string { all, _ := llm.runsSoFar(); return all }
		Eventually(runs).WithTimeout(eventuallyTimeout).Should(HaveLen(2))
		fingerprint := poison.Fingerprint([]byte("b"), http.MethodPost, "h", "/items/x")
		var report bytes.Buffer
		Expect(gob.NewEncoder(&report).Encode(quarantine.Report{Fingerprint: fingerprint, Service: "llm", Endpoint: "gone", Reporter: "b", UnixMilli: time.Now().UnixMilli()})).To(Succeed())
		q.Changed(kv.Record{Key: "live/crashes/" + poison.FormatFingerprint(fingerprint) + "/1", Value: report.Bytes(), Revision: 1})
		running := func() []string { return q.Status()[0].Running }
		Eventually(running).WithTimeout(eventuallyTimeout).Should(ConsistOf(runs()[1]))
		close(release)
		Eventually(results(p, "j")).WithTimeout(eventuallyTimeout).Should(Equal(1))
		Eventually(running).WithTimeout(eventuallyTimeout).Should(BeEmpty())
	})

	It("holds no slot if its job is ended during the move", func() {
		start()
		begin()
		Eventually(func() int { runs, _ := llm.runsSoFar(); return len(runs) }).WithTimeout(eventuallyTimeout).Should(Equal(2))
		Expect(p.frontend.End(context.Background(), "j")).To(Succeed())
		Eventually(inFlight).WithTimeout(eventuallyTimeout).Should(BeEmpty())
	})

	It("goes on at another engine if the one that it is moved to refuses it", func() {
		// The slot was taken by another process meanwhile.
		start()
		llm.refuse["f0"], llm.refuse["f1"] = true, true
		submit()
		runs, resumed := llm.runsSoFar()
		Expect(isFast(runs[1])).To(BeTrue())
		Expect(isFast(runs[len(runs)-1])).To(BeFalse())
		Expect(resumed[len(resumed)-1]).To(BeNumerically(">=", eventsBeforeUpgrade-1))
	})
})

var _ = Describe("the pace of a run", func() {
	const event = 50 * time.Millisecond
	now := time.Unix(1000, 0)

	// observe adds n events, each of which takes the given time, and returns the last result.
	observe := func(p *batchrun.Pace, n int, took time.Duration) (m endpoints.Measured) {
		for range n {
			now = now.Add(took)
			m = batchrun.ObservePaceEvent(p, now)
		}
		return m
	}

	It("is not slower for 600 ms of noise", func() {
		// Most moves were caused by such noise, which says nothing about the engine.
		p := &batchrun.Pace{}
		observe(p, 40, event)
		m := observe(p, 5, event*5/2)
		Expect(m.Lasting).To(BeNumerically("~", event.Seconds(), 0.01))
	})

	It("shows a lasting slowdown within 2 s, and a severe one within 1 s", func() {
		p := &batchrun.Pace{}
		observe(p, 40, event)
		Expect(observe(p, 3, 6*event).Latest).To(BeNumerically(">", 4*event.Seconds()))
		Expect(observe(p, 4, 6*event).Lasting).To(BeNumerically(">", 4*event.Seconds()))
	})
})

func without(ids []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(one string) bool { return one == id })
}
