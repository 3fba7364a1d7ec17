package standin_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/platformpb"
	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/standin"
)

const anyPort = "127.0.0.1:0"

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

func post(address, path string, body any) (int, []byte) {
	encoded, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	answer, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(encoded))
	Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	return answer.StatusCode, content
}

var _ = Describe("the platform", func() {
	var platform *standin.Platform
	var keys platformpb.KeyValueClient
	ctx := context.Background()

	BeforeEach(func() {
		platform = standin.NewPlatform(standin.PlatformOptions{})
		address, err := platform.Start(anyPort)
		Expect(err).NotTo(HaveOccurred())
		conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		Expect(err).NotTo(HaveOccurred())
		keys = platformpb.NewKeyValueClient(conn)
		DeferCleanup(platform.Close)
	})

	It("loses the answer of a write that took effect, and refuses all calls during an outage", func() {
		platform.LoseAnswers(1)
		_, err := keys.CompareAndSwap(ctx, &platformpb.CompareAndSwapRequest{Key: "a", Value: []byte("x")})
		Expect(status.Code(err)).To(Equal(codes.Unavailable))
		got, err := keys.Get(ctx, &platformpb.GetRequest{Key: "a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Record.Value).To(Equal([]byte("x")))
		repeated, err := keys.CompareAndSwap(ctx, &platformpb.CompareAndSwapRequest{Key: "a", Value: []byte("y")})
		Expect(err).NotTo(HaveOccurred())
		Expect(repeated.Swapped).To(BeFalse())
		platform.SetDown(true)
		_, err = keys.Get(ctx, &platformpb.GetRequest{Key: "a"})
		Expect(status.Code(err)).To(Equal(codes.Unavailable))
	})

	It("reports to a watch that the key of an expired lease was deleted", func() {
		granted, err := keys.GrantLease(ctx, &platformpb.GrantLeaseRequest{TtlMs: 100})
		Expect(err).NotTo(HaveOccurred())
		watch, err := keys.Watch(ctx, &platformpb.WatchRequest{Prefix: "k/"})
		Expect(err).NotTo(HaveOccurred())
		_, err = keys.CompareAndSwap(ctx, &platformpb.CompareAndSwapRequest{Key: "k/1", LeaseId: granted.LeaseId})
		Expect(err).NotTo(HaveOccurred())
		first, err := watch.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Records[0].Revision).To(BeNumerically(">", 0))
		second, err := watch.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Records[0].Revision).To(BeZero())
	})
})

var _ = Describe("the engine", func() {
	start := func(o standin.EngineOptions) (*standin.Engine, string) {
		engine := standin.NewEngine(o)
		address, err := engine.Start(anyPort)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(engine.Crash)
		return engine, address
	}

	It("labels each token of a stream during which the weights are swapped, and resumes at another engine", func() {
		engine, address := start(standin.EngineOptions{Version: 1, StepTime: 5 * time.Millisecond})
		request := engineapi.CompletionRequest{Prompt: "p", Seed: 3, MaxTokens: 200, Stream: true, RequestID: "r"}
		encoded, _ := json.Marshal(request)
		answer, err := http.Post("http://"+address+engineapi.PathCompletions, "application/json", bytes.NewReader(encoded))
		Expect(err).NotTo(HaveOccurred())
		defer answer.Body.Close()
		var tokens []string
		var versions []int64
		lines := bufio.NewScanner(answer.Body)
		for lines.Scan() {
			data, ok := strings.CutPrefix(lines.Text(), "data: ")
			if !ok || data == engineapi.StreamDone {
				continue
			}
			var event engineapi.Completion
			Expect(json.Unmarshal([]byte(data), &event)).To(Succeed())
			if event.Tokens == 1 {
				tokens = append(tokens, event.Choices[0].Text)
				versions = append(versions, event.WeightVersion)
			}
			if len(tokens) == 3 {
				post(address, engineapi.PathOrder, engineapi.Order{Kind: "swap", Version: 2})
			}
		}
		Expect(tokens).To(HaveLen(standin.TokenCount("p", 3, 200)))
		Expect(standin.CheckText("p", 3, strings.Join(tokens, ""))).To(Equal(versions))
		Expect(versions).To(ContainElements(int64(1), int64(2)))
		Expect(engine.Stats().Runs).To(HaveKeyWithValue("r", 1))

		_, otherAddress := start(standin.EngineOptions{Version: 2})
		request.Stream, request.Resume = false, tokens[:4]
		_, body := post(otherAddress, engineapi.PathCompletions, request)
		var rest engineapi.Completion
		Expect(json.Unmarshal(body, &rest)).To(Succeed())
		text := strings.Join(tokens[:4], "") + rest.Choices[0].Text
		Expect(standin.CheckText("p", 3, text)).To(HaveLen(len(tokens)))
		Expect(rest.Segments).To(Equal([]engineapi.Segment{{Version: 2, From: 4, To: len(tokens)}}))
	})

	It("refuses an old fencing number only if fencing is enabled", func() {
		for _, fencing := range []bool{true, false} {
			engine, address := start(standin.EngineOptions{Fencing: fencing})
			post(address, engineapi.PathOrder, engineapi.Order{Kind: "swap", Version: 5, FenceDuty: "d", Fence: 2})
			code, _ := post(address, engineapi.PathOrder, engineapi.Order{Kind: "swap", Version: 4, FenceDuty: "d", Fence: 1})
			Expect(code == http.StatusConflict).To(Equal(fencing))
			Expect(engine.Version() == 5).To(Equal(fencing))
		}
	})

	It("crashes on a request with the poison text", func() {
		_, address := start(standin.EngineOptions{PoisonText: "POISON"})
		encoded, _ := json.Marshal(engineapi.CompletionRequest{Prompt: "a POISON b"})
		_, err := http.Post("http://"+address+engineapi.PathCompletions, "application/json", bytes.NewReader(encoded))
		Expect(err).To(HaveOccurred())
		_, err = http.Get("http://" + address + engineapi.PathHealth)
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("the plain service", func() {
	It("counts two effects if a business operation runs twice", func() {
		service := standin.NewService(standin.ServiceOptions{Name: "ledger"})
		address, err := service.Start(anyPort)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Crash)
		for range 2 {
			post(address, "/sync", map[string]string{"operation": "invoice-7"})
		}
		Expect(service.Stats().Effects).To(HaveKeyWithValue("invoice-7", 2))
	})
})
