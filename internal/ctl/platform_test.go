package ctl_test

import (
	"bytes"
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/ctl"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/standin"
)

// noListener is a prober of endpoints that all have ended.
type noListener struct{}

func (noListener) RefusesConnections(context.Context, string) bool { return true }

var _ = Describe("siskinctl platform quarantine", func() {
	const fingerprint = "00000000000000ff"
	var store *standin.TransactionalStore
	run := func(args ...string) (string, error) {
		root := ctl.Command(func(string) kv.TransactionalStore { return store })
		var out bytes.Buffer
		root.SetOut(&out)
		root.SetArgs(append([]string{"platform", "quarantine"}, args...))
		err := root.ExecuteContext(context.Background())
		return out.String(), err
	}
	reported := func() {
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		q := quarantine.New("edge-1", store, noListener{}, log, metrics.NewRegistry())
		for _, id := range []string{"i-a", "i-b", "i-c"} {
			q.ConnectionLost(quarantine.Request{ID: "r", Fingerprint: 0xff, Method: "GET", Host: "h.example", Path: "/look/x"}, &deployment.Endpoint{ID: id, StartedAtMillis: 1})
		}
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go func() { _ = q.Run(ctx) }()
		Eventually(func() ([]quarantine.Suspect, error) { return quarantine.List(ctx, store) }, "5s").Should(HaveLen(1))
	}

	BeforeEach(func() { store = standin.NewTransactionalStore() })

	It("lists the request, the endpoints that ended under it and who reported them", func() {
		reported()
		out, err := run("list", "--store", "x:1")
		Expect(err).NotTo(HaveOccurred())
		for _, text := range []string{fingerprint, "yes", "GET h.example/look/x", "i-a i-b i-c", "edge-1"} {
			Expect(out).To(ContainSubstring(text))
		}
		out, err = run("list", "--store", "x:1", "--json")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring(`"Fingerprint":"` + fingerprint + `"`))
	})

	It("releases a request, once", func() {
		reported()
		_, err := run("release", fingerprint, "--store", "x:1")
		Expect(err).NotTo(HaveOccurred())
		out, err := run("list", "--store", "x:1")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(BeEmpty())
		_, err = run("release", fingerprint, "--store", "x:1")
		Expect(err).To(MatchError(ContainSubstring("there is no report about " + fingerprint)))
	})

	DescribeTable("says what is wrong",
		func(text string, args ...string) {
			_, err := run(args...)
			Expect(err).To(MatchError(ContainSubstring(text)))
		},
		Entry("no store", "--store is missing", "list"),
		Entry("no fingerprint", `"xyz" is not a fingerprint of 16 hexadecimal digits`, "release", "xyz", "--store", "x:1"),
		Entry("no hexadecimal digits", "fingerprint", "release", "000000000000000g", "--store", "x:1"),
	)

	It("reports a store that doesn't answer", func() {
		store.SetDown(true)
		_, err := run("list", "--store", "x:1")
		Expect(err).To(MatchError(kv.ErrUnavailable))
	})
})
