package ctl_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/internal/ctl"
	"siskinloom.example/siskinloom/internal/operator"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctl")
}

// fakeEntry is an entry that returns preset answers.
type fakeEntry struct {
	operatorpb.UnimplementedOperatorServer
	plan       *operatorpb.PlanResponse
	apply      *operatorpb.ApplyResponse
	applied    *operatorpb.ApplyRequest
	audited    *operatorpb.AuditRequest
	loseAnswer bool
}

func (e *fakeEntry) Plan(ctx context.Context, _ *operatorpb.PlanRequest) (*operatorpb.PlanResponse, error) {
	meta, _ := metadata.FromIncomingContext(ctx)
	if keys := meta.Get(operator.KeyMetadata); len(keys) != 1 || keys[0] != "secret" {
		return nil, status.Error(codes.Unauthenticated, "no operator has this key")
	}
	return e.plan, nil
}

func (e *fakeEntry) Apply(_ context.Context, r *operatorpb.ApplyRequest) (*operatorpb.ApplyResponse, error) {
	e.applied = r
	if e.loseAnswer {
		return nil, status.Error(codes.Unavailable, "connection lost")
	}
	return e.apply, nil
}

func (e *fakeEntry) Status(context.Context, *operatorpb.StatusRequest) (*operatorpb.StatusResponse, error) {
	return &operatorpb.StatusResponse{
		Revision:  7,
		Platform:  "up",
		Instances: []*operatorpb.InstanceStatus{{Id: "agent-1", Role: "agent", Revision: 6, HeardMsAgo: 20, EngineRole: "decode"}},
		Duties:    []*operatorpb.DutyStatus{{Name: "feed/a", Holder: "127.0.0.1:1", Epoch: 3}},
	}, nil
}

func (e *fakeEntry) Audit(_ context.Context, r *operatorpb.AuditRequest) (*operatorpb.AuditResponse, error) {
	e.audited = r
	return &operatorpb.AuditResponse{NotListed: 7, Records: []*operatorpb.AuditRecord{
		{Operator: "ana", Action: "apply", Outcome: "refused", Detail: "the configuration had changed", Count: 12},
	}}, nil
}

func (e *fakeEntry) serve() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := grpc.NewServer()
	operatorpb.RegisterOperatorServer(server, e)
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Stop)
	return listener.Addr().String()
}

var _ = Describe("siskinctl", func() {
	var e *fakeEntry
	var address, keyFile string
	const good = "../../examples/batumi"

	BeforeEach(func() {
		e = &fakeEntry{plan: &operatorpb.PlanResponse{Revision: 7}}
		address = e.serve()
		keyFile = filepath.Join(GinkgoT().TempDir(), "key")
		Expect(os.WriteFile(keyFile, []byte("secret\n"), 0o600)).To(Succeed())
	})

	run := func(args ...string) (string, int) {
		var out bytes.Buffer
		root := ctl.Command(nil)
		root.SetOut(&out)
		root.SetErr(&out)
		root.SetArgs(append(args, "--entry", address, "--key-file", keyFile))
		err := root.ExecuteContext(context.Background())
		return out.String(), ctl.ExitCode(err)
	}
	output := func(args ...string) string {
		text, _ := run(args...)
		return text
	}
	code := func(args ...string) int {
		_, c := run(args...)
		return c
	}

	It("checks without an entry and prints each finding with its line", func() {
		bad := filepath.Join(GinkgoT().TempDir(), "bad.ini")
		Expect(os.WriteFile(bad, []byte("[deployment]\nname = d\n[service s]\nkind = odd\n"), 0o600)).To(Succeed())
		Expect(code("check", good)).To(Equal(ctl.ExitOK))
		Expect(code("check", bad)).To(Equal(ctl.ExitFindings))
		Expect(output("check", bad)).To(Equal(bad + ":4: [service s] kind: \"odd\" is none of model, plain\n"))
		Expect(code("check", "absent.ini")).To(Equal(ctl.ExitError))
	})

	It("exits 2 on drift and 6 without a known key", func() {
		Expect(code("plan", good)).To(Equal(ctl.ExitOK))
		e.plan.Changes = []*operatorpb.Change{{Kind: "add", Object: "service s"}}
		Expect(code("plan", good)).To(Equal(ctl.ExitDrift))
		Expect(output("plan", good)).To(ContainSubstring("service s"))
		Expect(os.WriteFile(keyFile, []byte("wrong"), 0o600)).To(Succeed())
		Expect(code("plan", good)).To(Equal(ctl.ExitNotAllowed))
	})

	It("applies on the newest revision and exits with the code of the outcome", func() {
		e.apply = &operatorpb.ApplyResponse{Outcome: operatorpb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, Revision: 8, Detail: "accepted"}
		Expect(code("apply", good)).To(Equal(ctl.ExitOK))
		Expect(e.applied.ExpectedRevision).To(Equal(int64(7)))
		Expect(e.applied.ChangeId).NotTo(BeEmpty())
		e.apply.Outcome = operatorpb.ApplyOutcome_APPLY_OUTCOME_UNCHANGED
		Expect(code("apply", good, "--expected", "3", "--change-id", "c")).To(Equal(ctl.ExitOK))
		Expect(e.applied.ExpectedRevision).To(Equal(int64(3)))
		e.apply.Outcome = operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED
		Expect(code("apply", good)).To(Equal(ctl.ExitRefused))
		e.apply.Outcome = operatorpb.ApplyOutcome_APPLY_OUTCOME_UNKNOWN
		Expect(code("apply", good)).To(Equal(ctl.ExitUnknown))
	})

	// The connection is lost after the change was sent. The tool must not report a
	// failure, because the change may have been accepted.
	It("reports an unknown outcome when the answer to an apply is lost", func() {
		e.loseAnswer = true
		Expect(code("apply", good, "--change-id", "c")).To(Equal(ctl.ExitUnknown))
	})

	// The write of an earlier attempt may still arrive. Unless the refusal of the
	// repeat shows a newer revision, the outcome stays unknown.
	It("does not report a repeat as refused while an earlier attempt may take effect", func() {
		e.apply = &operatorpb.ApplyResponse{Outcome: operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED, Revision: 7}
		Expect(code("apply", good, "--expected", "7", "--change-id", "c")).To(Equal(ctl.ExitUnknown))
		e.apply.Revision = 8
		Expect(code("apply", good, "--expected", "7", "--change-id", "c")).To(Equal(ctl.ExitRefused))
	})

	It("shows status as tables and as JSON", func() {
		Expect(output("status")).To(And(ContainSubstring("revision 7"), ContainSubstring("agent-1"), ContainSubstring("decode"), ContainSubstring("feed/a")))
		Expect(output("status", "--json")).To(MatchJSON(`{"revision":"7","platform":"up",
			"instances":[{"id":"agent-1","role":"agent","service":"","failure_domain":"","state":"","revision":"6","weight_version":"0","heard_ms_ago":"20","engine_role":"decode"}],
			"duties":[{"name":"feed/a","holder":"127.0.0.1:1","epoch":"3"}]}`))
	})

	It("shows the audit trail by outcome with counts and the number of changes not listed", func() {
		text, code := run("audit", "--outcome", "refused,unknown")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(e.audited.Outcomes).To(Equal([]string{"refused", "unknown"}))
		Expect(text).To(And(ContainSubstring("refused: the configuration had changed"), ContainSubstring("12"), ContainSubstring("7 more")))
		_, code = run("audit", "--outcome", "lost")
		Expect(code).To(Equal(ctl.ExitError))
	})

	It("tries the next entry when one does not answer", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		dead := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		Expect(code("status", "--entry", dead)).To(Equal(ctl.ExitOK))
		address = dead
		Expect(code("status")).To(Equal(ctl.ExitError))
	})
})
