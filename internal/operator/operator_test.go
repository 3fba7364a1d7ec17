package operator_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/internal/confstate"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/operator"
	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

const demoKey = "demo-operator-ledgerwise"

func withKey(key string) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	DeferCleanup(cancel)
	return metadata.AppendToOutgoingContext(ctx, operator.KeyMetadata, key)
}

// exampleFiles returns the declarations of the first example deployment.
func exampleFiles() []*operatorpb.File {
	paths, err := filepath.Glob("../../examples/ledgerwise/*.ini")
	Expect(err).NotTo(HaveOccurred())
	var files []*operatorpb.File
	for _, path := range paths {
		text, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		files = append(files, &operatorpb.File{Name: filepath.Base(path), Text: string(text)})
	}
	return files
}

// replaceText returns the files with a text replaced.
func replaceText(files []*operatorpb.File, before, after string) []*operatorpb.File {
	var all []*operatorpb.File
	for _, f := range files {
		all = append(all, &operatorpb.File{Name: f.Name, Text: strings.ReplaceAll(f.Text, before, after)})
	}
	return all
}

// fakeQuarantine is a list of quarantined requests.
type fakeQuarantine struct{ entries []wire.QuarantineEntry }

func (r *fakeQuarantine) List() []wire.QuarantineEntry { return r.entries }
func (r *fakeQuarantine) Release(fingerprint uint64) bool {
	for i, e := range r.entries {
		if e.Fingerprint == fingerprint {
			r.entries = append(r.entries[:i], r.entries[i+1:]...)
			return true
		}
	}
	return false
}

var _ = Describe("Server", func() {
	var client operatorpb.OperatorClient
	var platform *standin.Platform
	var logged *bytes.Buffer
	var newEntry func() operatorpb.OperatorClient
	const accepted = operatorpb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED

	BeforeEach(func() {
		platform = standin.NewPlatform(standin.PlatformOptions{})
		address, err := platform.Start("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(platform.Close)
		logged = &bytes.Buffer{}
		newEntry = func() operatorpb.OperatorClient { return startEntry(address, logged) }
		client = newEntry()
	})

	apply := func(expected int64, id string, files []*operatorpb.File) *operatorpb.ApplyResponse {
		response, err := client.Apply(withKey(demoKey), &operatorpb.ApplyRequest{ExpectedRevision: expected, ChangeId: id, Files: files})
		Expect(err).NotTo(HaveOccurred())
		return response
	}

	It("plans and applies, recognizes a repeated change and equal declarations, and keeps the audit trail", func() {
		plan, err := client.Plan(withKey(demoKey), &operatorpb.PlanRequest{Files: exampleFiles()})
		Expect(err).NotTo(HaveOccurred())
		Expect(plan.Changes).NotTo(BeEmpty())
		Expect(apply(0, "one", exampleFiles()).Outcome).To(Equal(accepted))
		Expect(apply(0, "one", exampleFiles())).To(HaveField("Revision", int64(1)))
		Expect(apply(0, "two", exampleFiles()).Outcome).To(Equal(operatorpb.ApplyOutcome_APPLY_OUTCOME_UNCHANGED))
		plan, err = client.Plan(withKey(demoKey), &operatorpb.PlanRequest{Files: replaceText(exampleFiles(), "300ms", "400ms")})
		Expect(err).NotTo(HaveOccurred())
		Expect(plan.Changes).To(HaveLen(1))
		Expect(plan.Changes[0].Object).To(Equal("class lookup"))
		Expect(apply(1, "three", replaceText(exampleFiles(), "300ms", "400ms")).Revision).To(Equal(int64(2)))
		conflict := apply(1, "four", replaceText(exampleFiles(), "300ms", "500ms"))
		Expect(conflict.Outcome).To(Equal(operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED))
		Expect(conflict.Changes[0].After).To(Equal("400ms"))
		audit, err := client.Audit(withKey(demoKey), &operatorpb.AuditRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(audit.Records).To(HaveLen(2))
		Expect(audit.Records[1].Operator).To(Equal("demo"))
		Expect(audit.Records[1].From).To(ContainSubstring("127.0.0.1:"))
		Expect(audit.String() + logged.String()).NotTo(ContainSubstring(demoKey))
	})

	It("rejects declarations without operators and those of another deployment", func() {
		response, err := client.Plan(withKey("x"), &operatorpb.PlanRequest{Files: []*operatorpb.File{{Name: "a.ini", Text: "[deployment]\nname = other\n"}}})
		Expect(status.Code(err)).To(Equal(codes.Unauthenticated))
		Expect(response).To(BeNil())
		files := replaceText(exampleFiles(), "name = ledgerwise", "name = other")
		response, err = client.Plan(withKey(demoKey), &operatorpb.PlanRequest{Files: files})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Findings).To(HaveLen(1))
		Expect(response.Findings[0].Message).To(ContainSubstring("not ledgerwise"))
	})

	// A new entry holds no configuration yet. A caller sends it declarations that
	// name an additional operator, together with that operator's key. The key-value
	// service holds a configuration, so only the operators in it may change it.
	It("accepts the operators of the proposed declarations only for the first configuration", func() {
		Expect(apply(0, "one", exampleFiles()).Outcome).To(Equal(accepted))
		fresh := newEntry()
		own := exampleFiles()
		for _, f := range own {
			f.Text = strings.ReplaceAll(f.Text, "[operator demo]", "[operator thief]\nkey_sha256 = 2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea\n[operator demo]")
		}
		_, err := fresh.Apply(withKey("demo"), &operatorpb.ApplyRequest{ExpectedRevision: 1, Files: own})
		Expect(status.Code(err)).To(Equal(codes.Unauthenticated))
		Expect(logged.String()).To(ContainSubstring("operator not recognised"))
	})

	It("drains and undrains an instance, and an apply keeps it drained", func() {
		apply(0, "one", exampleFiles())
		drained, err := client.Drain(withKey(demoKey), &operatorpb.DrainRequest{Instance: "agent-3"})
		Expect(err).NotTo(HaveOccurred())
		Expect(drained.Revision).To(Equal(int64(2)))
		Expect(apply(2, "two", exampleFiles()).Outcome).To(Equal(operatorpb.ApplyOutcome_APPLY_OUTCOME_UNCHANGED))
		back, err := client.Drain(withKey(demoKey), &operatorpb.DrainRequest{Instance: "agent-3", Undo: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(back.Revision).To(Equal(int64(3)))
	})

	It("serves status during an outage and reports that a change was not accepted", func() {
		apply(0, "one", exampleFiles())
		platform.SetDown(true)
		answer, err := client.Status(withKey(demoKey), &operatorpb.StatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Revision).To(Equal(int64(1)))
		Expect(answer.Instances[0].HeardMsAgo).To(Equal(int64(-1)))
		refused := apply(1, "two", replaceText(exampleFiles(), "300ms", "400ms"))
		Expect(refused.Outcome).To(Equal(operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED))
		Expect(refused.Detail).To(ContainSubstring("not available"))
	})

	It("streams each revision to a watcher", func() {
		apply(0, "one", exampleFiles())
		stream, err := client.Watch(withKey(demoKey), &operatorpb.WatchRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Recv()).To(HaveField("Revision", int64(1)))
		apply(1, "two", replaceText(exampleFiles(), "300ms", "400ms"))
		Expect(stream.Recv()).To(HaveField("Record.ChangeId", "two"))
	})

	It("lists and releases quarantined requests", func() {
		apply(0, "one", exampleFiles())
		list, err := client.ListQuarantine(withKey(demoKey), &operatorpb.ListQuarantineRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Entries).To(HaveLen(1))
		Expect(list.Entries[0].Fingerprint).To(Equal("00000000000000ff"))
		released, err := client.ReleaseQuarantine(withKey(demoKey), &operatorpb.ReleaseQuarantineRequest{Fingerprint: "00000000000000ff"})
		Expect(err).NotTo(HaveOccurred())
		Expect(released.Released).To(BeTrue())
		_, err = client.ReleaseQuarantine(withKey(demoKey), &operatorpb.ReleaseQuarantineRequest{Fingerprint: "xyz"})
		Expect(status.Code(err)).To(Equal(codes.InvalidArgument))
	})
})

// startEntry starts the operators' service of the only entry of a deployment and
// returns a client.
func startEntry(platform string, logged *bytes.Buffer) operatorpb.OperatorClient {
	client, _ := startEntryWithStore(platform, logged, func(s kv.Store) kv.Store { return s })
	return client
}

// startEntryWithStore is like startEntry with a wrapped store. It also returns the
// configuration's state, whose Run the caller may start.
func startEntryWithStore(platform string, logged *bytes.Buffer, wrap func(kv.Store) kv.Store) (operatorpb.OperatorClient, *confstate.State) {
	store, err := kv.NewClient(kv.Options{Address: platform, Writer: "e", CallsPerSec: 200})
	Expect(err).NotTo(HaveOccurred())
	log := logrus.New()
	log.SetOutput(logged)
	self := config.Peer{ID: "e", Domain: "z"}
	refusedLog := config.RefusedLogConfig{FirstWriteDelay: 100 * time.Millisecond, WriteInterval: time.Second, RetryDelay: 100 * time.Millisecond, MaxGroups: 8}
	state := confstate.New(confstate.Options{RefusedLog: refusedLog, Deployment: "ledgerwise", Self: self, Entry: true, Store: wrap(store), Log: log, Config: config.DefaultFollowerConfig()})
	state.SetEntries([]config.Peer{self})
	server := grpc.NewServer()
	operatorpb.RegisterOperatorServer(server, operator.New("ledgerwise", operator.Sources{
		Config:     state,
		Instances:  func() []operator.Instance { return []operator.Instance{{ID: "a", Role: "agent", HeardAgo: -1}} },
		Quarantine: &fakeQuarantine{entries: []wire.QuarantineEntry{{Fingerprint: 255, Service: "s"}}},
	}, log))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = conn.Close()
		server.Stop()
		_ = store.Close()
	})
	return operatorpb.NewOperatorClient(conn), state
}
