package feedrun

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/rollout"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/wire"
)

// attempt is one call of the generator, which the spec answers.
type attempt struct {
	req    wire.Request
	tokens func(wire.ReadReply)
	end    chan wire.Answer
}

// scriptedEngines is a set of engines whose answers the spec provides.
type scriptedEngines struct {
	attempts chan *attempt
	imports  chan wire.ImportRequest
	answers  chan wire.ImportReply
}

func (e *scriptedEngines) Generate(ctx context.Context, req wire.Request, onTokens func(wire.ReadReply)) wire.Answer {
	a := &attempt{req: req, tokens: onTokens, end: make(chan wire.Answer, 1)}
	e.attempts <- a
	select {
	case answer := <-a.end:
		return answer
	case <-ctx.Done():
		return wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonCancelled}
	}
}

func (e *scriptedEngines) ImportCache(ctx context.Context, _ string, req wire.ImportRequest) (wire.ImportReply, error) {
	e.imports <- req
	select {
	case reply := <-e.answers:
		return reply, nil
	case <-ctx.Done():
		return wire.ImportReply{}, ctx.Err()
	}
}

func (a *attempt) make(stream string, offset int, version int64) {
	a.tokens(wire.ReadReply{ID: stream, Offset: offset, Tokens: []string{"x"}, Versions: []int64{version}})
}

var _ = Describe("a sample that moves with its KV cache", func() {
	type result struct {
		sample sample.Sample
		err    error
	}
	var (
		engines *scriptedEngines
		r       *run
		first   *attempt
		results chan result
		moved   chan struct{}
	)

	// next returns the next attempt.
	next := func() *attempt {
		var a *attempt
		Eventually(engines.attempts).WithTimeout(10 * time.Second).Should(Receive(&a))
		return a
	}
	finish := func(a *attempt) result {
		a.end <- wire.Answer{Outcome: wire.Answered, Status: 200}
		var got result
		Eventually(results).WithTimeout(10 * time.Second).Should(Receive(&got))
		return got
	}

	BeforeEach(func() {
		engines = &scriptedEngines{attempts: make(chan *attempt, 4), imports: make(chan wire.ImportRequest, 1), answers: make(chan wire.ImportReply)}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		o := &owner{ctx: ctx, deployment: "d", name: "f", feed: decl.Feed{Name: "f", Prompts: []string{"p"}}}
		o.options = Options{Generator: engines, Caches: engines, Metrics: metrics.NewRegistry()}
		sampled := newRun(&generation{}, o, sample.ID{}, "a")
		ended := make(chan result, 1)
		r, results = sampled, ended
		go func() {
			defer sampled.cancel()
			s, err := sampled.generate()
			ended <- result{sample: s, err: err}
		}()
		first = next()
		first.make("one", 0, 1)
		left := make(chan struct{})
		moved = left
		go func() {
			defer close(left)
			sampled.transferTo("b", "source")
		}()
		Eventually(engines.imports).WithTimeout(10 * time.Second).Should(Receive(HaveField("Request", "one")))
	})

	It("keeps running until the cache has arrived and then resumes from it", func() {
		first.make("one", 1, 1)
		Consistently(engines.attempts, "50ms").ShouldNot(Receive(), "the old engine continues meanwhile")
		engines.answers <- wire.ImportReply{Imported: true, Version: 1}
		second := next()
		Expect(second.req.Prefer).To(Equal("b"))
		Expect(second.req.Resume.Cache).NotTo(BeEmpty())
		Expect(second.req.Resume.Tokens).To(HaveLen(2))
		second.make("two", 0, 2)
		got := finish(second)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.sample.Segments).To(Equal([]wire.Segment{{Version: 1, To: 2}, {Version: 2, From: 2, To: 3}}))
	})

	It("doesn't use a cache of a version that generated none of its tokens", func() {
		// The old engine swaps to version 2 between the last token and the export,
		// and the other engine to version 3. The cache of version 2 would influence
		// the tokens of version 3 without a label of 2. So it is recomputed, and the
		// sample need not be discarded.
		engines.answers <- wire.ImportReply{Imported: true, Version: 2}
		second := next()
		Expect(second.req.Resume.Cache).To(BeEmpty())
		second.make("two", 0, 3)
		got := finish(second)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.sample.OldestVersion()).To(Equal(int64(1)))
	})

	It("has its cache recomputed if the transfer fails, and transfers are suspended", func() {
		engines.answers <- wire.ImportReply{Detail: "the engine dies during the export, or the other one refuses"}
		second := next()
		Expect(second.req.Prefer).To(Equal("b"))
		Expect(second.req.Resume.Cache).To(BeEmpty())
		Expect(second.req.Resume.Tokens).To(HaveLen(1))
		Expect(r.generation.transferCost.estimate(time.Now())).To(Equal(rollout.MoveCost{}))
		Expect(r.generation.transferCost.estimate(time.Now().Add(2 * transferBackoff))).To(Equal(defaultTransferCost))
	})

	It("stays where it was resumed if its engine dies during the export", func() {
		// The entry resumes the lost stream at a third engine before the failure of
		// the import is reported. A move now would discard that engine's work.
		first.make("two", 0, 1)
		engines.answers <- wire.ImportReply{}
		Eventually(moved).WithTimeout(10 * time.Second).Should(BeClosed())
		Consistently(engines.attempts, "50ms").ShouldNot(Receive())
		Expect(strings.Count(finish(first).sample.Text, "x")).To(Equal(2))
	})

	It("completes once, even if its cache arrives after its end", func() {
		got := finish(first)
		Expect(got.err).NotTo(HaveOccurred())
		Eventually(moved).WithTimeout(10 * time.Second).Should(BeClosed())
		Consistently(engines.attempts, "50ms").ShouldNot(Receive())
		Expect(got.sample.Segments).To(Equal([]wire.Segment{{Version: 1, To: 1}}))
	})
})
