package operator_test

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/standin"
)

const auditWait = time.Minute

// losing is a store that, while it is on, does not tell what became of a write
// of the configuration and cannot be read.
type losing struct {
	kv.Store
	on, wrote atomic.Bool
}

func (l *losing) CompareAndSwap(ctx context.Context, use kv.Use, w kv.Write) (bool, kv.Record, error) {
	swapped, record, err := l.Store.CompareAndSwap(ctx, use, w)
	if l.on.Load() && use == kv.UseConfig {
		l.wrote.Store(true)
		return false, kv.Record{}, kv.ErrUnknown
	}
	return swapped, record, err
}

func (l *losing) Get(ctx context.Context, use kv.Use, key string) (kv.Record, error) {
	if l.on.Load() && l.wrote.Load() && use == kv.UseConfig {
		return kv.Record{}, kv.ErrUnavailable
	}
	return l.Store.Get(ctx, use, key)
}

var _ = Describe("the audit trail of refused changes", func() {
	var platform *standin.Platform
	var client operatorpb.OperatorClient
	var store *losing
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
	calls := func() int {
		n := 0
		for _, count := range platform.Calls() {
			n += count
		}
		return n
	}
	// listed returns the records of the outcomes, each as a line.
	listed := func(outcomes ...string) func() []string {
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
		store = &losing{}
		newEntry = func() operatorpb.OperatorClient {
			client, holder := startEntryOver(address, &bytes.Buffer{}, func(s kv.Store) kv.Store { store.Store = s; return store })
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error)
			go func() { ended <- holder.Run(ctx) }()
			DeferCleanup(func() {
				stop()
				<-ended
			})
			return client
		}
		client = newEntry()
		Expect(apply(demoKey, 0, "one", example()).Revision).To(Equal(int64(1)))
	})

	It("tells who tried what with which outcome, on another entry too, without secrets", func() {
		apply(demoKey, 0, "late", edited(example(), "300ms", "400ms"))
		apply("stolen-key", 1, "theft", example())
		faulty := edited(example(), "[operator demo]", "[operator demo]\nkey_sha256 = "+demoKey)
		apply(demoKey, 1, "faulty", faulty)
		_, err := client.Drain(withKey(demoKey), &operatorpb.DrainRequest{})
		Expect(err).To(HaveOccurred())
		client = newEntry()
		Eventually(listed("refused")).WithTimeout(auditWait).Should(ConsistOf(
			"demo apply late: refused, the configuration had changed x1",
			" apply theft: refused, no operator has this key x1",
			MatchRegexp(`demo apply faulty: refused, \d+ faults, the first in line \d+ of "\w+.ini" x1`),
			"demo drain : refused, no instance is named x1",
		))
		Expect(listed("accepted")()).To(ConsistOf("demo apply one: accepted,  x1"))
		Expect(listed()()).To(HaveLen(5))
		Expect(listed("unknown")()).To(BeEmpty())
		response, err := audit()
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Records[1].From).To(Equal("127.0.0.1"))
		Expect(response.String()).NotTo(Or(ContainSubstring(demoKey), ContainSubstring("stolen-key")))
	})

	// A script tries on and on with a wrong key. Each try read the service, and
	// its budget was used up; an operator's change then waited or failed.
	It("lets no flood of wrong keys use up the call budget or hold up a change", func() {
		const tries = 300
		before := calls()
		for range tries {
			Expect(apply("wrong", 1, "flood", example())).To(Or(BeNil(), HaveField("Outcome", operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED)))
		}
		Expect(calls() - before).To(BeNumerically("<", tries/2))
		Expect(apply(demoKey, 1, "two", edited(example(), "300ms", "400ms")).Revision).To(Equal(int64(2)))
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
		}).WithTimeout(auditWait).Should(Equal(int64(tries)))
		Expect(len(listed("refused")())).To(BeNumerically("<=", 2))
	})

	// The platform is away: what is tried meanwhile is refused, and is in the
	// trail once the platform is back.
	It("keeps what was tried in an outage", func() {
		platform.SetDown(true)
		Expect(apply(demoKey, 1, "away", edited(example(), "300ms", "400ms")).Outcome).To(Equal(operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED))
		time.Sleep(2 * time.Second) // a write is tried and fails
		platform.SetDown(false)
		Eventually(listed("refused")).WithTimeout(auditWait).Should(ConsistOf(
			"demo apply away: refused, the platform's service is not available x1"))
	})

	// The write takes effect, its answer is lost and the service cannot be read
	// until the operator gives up. The trail tells both: that the outcome was
	// unknown, and that the change stands.
	It("tells an unknown outcome beside the change that took effect", func() {
		store.on.Store(true)
		ctx, cancel := context.WithTimeout(withKey(demoKey), time.Second)
		defer cancel()
		_, err := client.Apply(ctx, &operatorpb.ApplyRequest{ExpectedRevision: 1, ChangeId: "lost", Files: edited(example(), "300ms", "400ms")})
		Expect(err).To(HaveOccurred())
		store.on.Store(false)
		Eventually(listed("unknown")).WithTimeout(auditWait).Should(ConsistOf("demo apply lost: unknown, the answer to the write was lost x1"))
		Expect(listed("accepted")()).To(ContainElement("demo apply lost: accepted,  x1"))
	})
})
