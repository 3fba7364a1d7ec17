package agent

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("preemption", func() {
	It("resumes a rollout after its last token", func() {
		// A rollout holds the engine's only slot. Each of several lookups preempts
		// it, and it resumes afterwards. The lookups are answered at once, and the
		// rollout's tokens are those of an undisturbed run: none is missing or
		// duplicated.
		engine := standin.NewEngine(standin.EngineOptions{Model: "tone", Slots: 2, StepTime: 5 * time.Millisecond})
		endpoint, err := engine.Start("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer engine.Crash()
		a := New(settings.Settings{ID: "a1", Service: "tone", EndpointAddress: endpoint}, quietLogger(), metrics.NewRegistry())
		a.Configure(decl.Deployment{Services: []decl.Service{{Name: "tone", Slots: 1, QueueLimit: 10}}})
		target := wire.Target{Incarnation: a.incarnation, Uptime: a.uptime()}
		request := func(id, prompt string, tokens int) wire.Request {
			body, err := json.Marshal(engineapi.CompletionRequest{Model: "tone", Prompt: prompt, MaxTokens: tokens, Seed: 3})
			Expect(err).NotTo(HaveOccurred())
			return wire.Request{ID: id, Service: "tone", Path: engineapi.PathCompletions, Method: "POST", Body: body, Remaining: 30 * time.Second, Target: target}
		}
		s := &rpcServer{a}
		rollout := request("rollout", "a long answer", 400)
		rollout.Rollout = true
		var started wire.Started
		Expect(s.Start(rollout, &started)).To(Succeed())
		Expect(started.Accepted).To(BeTrue())
		var tokens []string
		reads := 0
		for done := false; !done; reads++ {
			var reply wire.ReadReply
			Expect(s.Read(wire.ReadRequest{ID: "rollout", Offset: len(tokens), Wait: 5 * time.Second}, &reply)).To(Succeed())
			tokens = append(tokens, reply.Tokens...)
			done = reply.Done
			if done {
				Expect(reply.End.Outcome).To(Equal(wire.Answered))
				continue
			}
			if reads%10 == 5 {
				var answer wire.Answer
				Expect(s.Do(request("lookup"+itoa(int64(reads)), "short", 4), &answer)).To(Succeed())
				Expect(answer.Outcome).To(Equal(wire.Answered))
			}
		}
		Expect(reads).To(BeNumerically(">", 6), "the rollout was preempted at least once")
		Expect(tokens).To(HaveLen(standin.TokenCount("a long answer", 3, 400)))
		_, err = standin.CheckText("a long answer", 3, strings.Join(tokens, ""))
		Expect(err).NotTo(HaveOccurred())
		Expect(engine.Stats().Runs["rollout"]).To(BeNumerically(">", 1))
	})

	It("keeps the answer of a rollout that finished while it was being cancelled", func() {
		// The engine sends the last token and the end; at the same time a lookup
		// preempts the rollout. If it counted as cancelled, it would run again and
		// append tokens after its end.
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		answer := streamAnswer(ctx, wire.Request{ID: "r"}, "stop", nil)
		Expect(answer.Outcome).To(Equal(wire.Answered))
		Expect(streamAnswer(ctx, wire.Request{ID: "r"}, "cancelled", nil).Reason).To(Equal(wire.ReasonCancelled))
		Expect(streamAnswer(ctx, wire.Request{ID: "r"}, "", nil).Reason).To(Equal(wire.ReasonCancelled))
	})
})
