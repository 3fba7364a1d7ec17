package operator_test

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/standin"
)

const auditTimeout = time.Minute

// lossyStore is a store that, while enabled, loses the answers to writes of the
// configuration. After such a write the configuration cannot be read either.
type lossyStore struct {
	kv.Store
	enabled, wrote atomic.Bool
}

func (l *lossyStore) CompareAndSwap(ctx context.Context, use kv.Use, w kv.Write) (bool, kv.Record, error) {
	swapped, record, err := l.Store.CompareAndSwap(ctx, use, w)
	if l.enabled.Load() && use == kv.UseConfig {
		l.wrote.Store(true)
		return false, kv.Record{}, kv.ErrUnknown
	}
	return swapped, record, err
}

func (l *lossyStore) Get(ctx context.Context, use kv.Use, key string) (kv.Record, error) {
	if l.enabled.Load() && l.wrote.Load() && use == kv.UseConfig {
		return kv.Record{}, kv.ErrUnavailable
	}
	return l.Store.Get(ctx, use, key)
}

var _ = Describe("the audit trail of refused changes", func() {
	var platform *standin.Platform
	var client operatorpb.OperatorClient
	var store *lossyStore
	var newEntry func() operatorpb.OperatorClient

	apply := func(key string, expected int64, id string, files []*operatorpb.File) *operatorpb.ApplyResponse {
		response, err := client.Apply(withKey(key), &operatorpb.ApplyRequest{ExpectedRevision: expected, ChangeId: id, Files: files})
		if err != nil {
			return nil
		}
		return response
	}
	audit := func(outcomes ...string) (*operatorpb.AuditResponse, error) {
		return client.Audit(withKey(demoKey), &operatorpb.AuditRequest{Outcomes: outcomes})
	}
	platformCalls := func() int {
		n := 0
		for _, count := range platform.Calls() {
			n += count
		}
		return n
	}
	// auditLines returns a function that returns the records with the outcomes, one
	// line each.
	auditLines := func(outcomes ...string) func() []string {
		return func() []string {
			response, err := audit(outcomes...)
			if err != nil {
				return nil
			}
			var lines []string
			for _, r := range response.Records {
				lines = append(lines, fmt.Sprintf("%s %s %s: %s, %s x%d", r.Operator, r.Action, r.ChangeId, r.Outcome, r.Detail, r.Count))
			}
			return lines
		}
	}

	BeforeEach(func() {
		platform = standin.NewPlatform(standin.PlatformOptions{})
		address, err := platform.Start("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(platform.Close)
		store = &lossyStore{}
		newEntry = func() operatorpb.OperatorClient {
			client, state := startEntryWithStore(address, &bytes.Buffer{}, func(s kv.Store) kv.Store { store.Store = s; return store })
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error)
			go func() { ended <- state.Run(ctx) }()
			DeferCleanup(func() {
				stop()
				<-ended
			})
			return client
		}
		client = newEntry()
		Expect(apply(demoKey, 0, "one", exampleFiles()).Revision).To(Equal(int64(1)))
	})

	It("records caller, action and outcome without secrets, and shows them at another entry", func() {
		apply(demoKey, 0, "late", replaceText(exampleFiles(), "300ms", "400ms"))
		apply("stolen-key", 1, "theft", exampleFiles())
		faulty := replaceText(exampleFiles(), "[operator demo]", "[operator demo]\nkey_sha256 = "+demoKey)
		apply(demoKey, 1, "faulty", faulty)
		_, err := client.Drain(withKey(demoKey), &operatorpb.DrainRequest{})
		Expect(err).To(HaveOccurred())
		client = newEntry()
		Eventually(auditLines("refused")).WithTimeout(auditTimeout).Should(ConsistOf(
			"demo apply late: refused, the configuration had changed x1",
			" apply theft: refused, no operator has this key x1",
			MatchRegexp(`demo apply faulty: refused, \d+ faults, the first in line \d+ of "\w+.ini" x1`),
			"demo drain : refused, no instance is named x1",
		))
		Expect(auditLines("accepted")()).To(ConsistOf("demo apply one: accepted,  x1"))
		Expect(auditLines()()).To(HaveLen(5))
		Expect(auditLines("unknown")()).To(BeEmpty())
		response, err := audit()
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Records[1].From).To(Equal("127.0.0.1"))
		Expect(response.String()).NotTo(Or(ContainSubstring(demoKey), ContainSubstring("stolen-key")))
	})

	// A script calls repeatedly with a wrong key. Without a rate limit each call reads
	// the key-value service, the calls use up the entry's call budget, and an
	// operator's change has to wait or fails.
	It("keeps calls with wrong keys from using up the call budget and delaying a change", func() {
		const tries = 300
		before := platformCalls()
		for range tries {
			Expect(apply("wrong", 1, "flood", exampleFiles())).To(Or(BeNil(), HaveField("Outcome", operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED)))
		}
		Expect(platformCalls() - before).To(BeNumerically("<", tries/2))
		Expect(apply(demoKey, 1, "two", replaceText(exampleFiles(), "300ms", "400ms")).Revision).To(Equal(int64(2)))
		Eventually(func() int64 {
			response, err := audit("refused")
			if err != nil {
				return 0
			}
			total := response.NotListed
			for _, r := range response.Records {
				total += r.Count
			}
			return total
		}).WithTimeout(auditTimeout).Should(Equal(int64(tries)))
		Expect(len(auditLines("refused")())).To(BeNumerically("<=", 2))
	})

	// During an outage of the platform changes are refused. They must be in the audit
	// trail after the outage.
	It("keeps changes that were refused during an outage", func() {
		platform.SetDown(true)
		Expect(apply(demoKey, 1, "away", replaceText(exampleFiles(), "300ms", "400ms")).Outcome).To(Equal(operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED))
		time.Sleep(2 * time.Second) // a write is attempted and fails
		platform.SetDown(false)
		Eventually(auditLines("refused")).WithTimeout(auditTimeout).Should(ConsistOf(
			"demo apply away: refused, the platform's service is not available x1"))
	})

	// A write takes effect, its answer is lost and the key-value service cannot be
	// read until the operator gives up. The audit trail must contain both the unknown
	// outcome and the accepted change.
	It("records an unknown outcome and also the change that took effect", func() {
		store.enabled.Store(true)
		ctx, cancel := context.WithCancel(withKey(demoKey))
		defer cancel()
		// A deadline would also reach the server, whose answer could then arrive before
		// the client notices that its deadline has passed.
		time.AfterFunc(time.Second, cancel)
		_, err := client.Apply(ctx, &operatorpb.ApplyRequest{ExpectedRevision: 1, ChangeId: "lost", Files: replaceText(exampleFiles(), "300ms", "400ms")})
		Expect(status.Code(err)).To(Equal(codes.Canceled))
		store.enabled.Store(false)
		Eventually(auditLines("unknown")).WithTimeout(auditTimeout).Should(ConsistOf("demo apply lost: unknown, the answer to the write was lost x1"))
		Expect(auditLines("accepted")()).To(ContainElement("demo apply lost: accepted,  x1"))
	})
})
