package entry

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/decl"
)

const testKey = "desk-key"

// testDeployment has one model service and one plain service.
func testDeployment() *decl.Deployment {
	digest := sha256.Sum256([]byte(testKey))
	return &decl.Deployment{
		Name: "ledgerwise",
		Services: []decl.Service{
			{Name: "tone", Kind: decl.KindModel, MaxBodyBytes: 1 << 10},
			{Name: "ledger", Kind: decl.KindPlain, MaxBodyBytes: 1 << 10},
		},
		Classes: []decl.Class{
			{Name: "draft", Service: "tone", Idempotent: true, Deadline: time.Second},
			{Name: "sync", Service: "ledger", Match: []string{"POST /sync"}, Deadline: time.Second},
			{Name: "lookup", Service: "ledger", Match: []string{"GET /status/*"}, Idempotent: true, Deadline: time.Second, Priority: 3},
		},
		Businesses: []decl.Business{{Name: "kheda"}},
		Agencies:   []decl.Agency{{Name: "nadiad", Business: "kheda"}},
		Callers:    []decl.Caller{{Name: "desk", Agency: "nadiad", KeySHA256: hex.EncodeToString(digest[:])}},
	}
}

// parse parses a raw HTTP request as the server does.
func parse(raw string) (*fasthttp.RequestCtx, error) {
	ctx := &fasthttp.RequestCtx{}
	err := ctx.Request.Read(bufio.NewReader(strings.NewReader(raw)))
	return ctx, err
}

func read(raw string) (call, *findings) {
	ctx, err := parse(raw)
	Expect(err).NotTo(HaveOccurred())
	return readCall(ctx, newCallerIndex(testDeployment()), time.Now())
}

func request(line, headers, body string) string {
	var b bytes.Buffer
	b.WriteString(line + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n")
	b.WriteString(headers)
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	return b.String()
}

var _ = Describe("readCall", func() {
	It("reads class, principal and scoped ID of a lookup", func() {
		c, faults := read(request("GET /svc/ledger/status/17", "Idempotency-Key: a\r\n", ""))
		Expect(faults.list).To(BeEmpty())
		Expect(c.class.Name).To(Equal("lookup"))
		Expect(c.req.Principal.Business).To(Equal("kheda"))
		Expect(c.req.CallID).To(Equal("ledgerwise/desk/a"))
		Expect(c.req.Path).To(Equal("/status/17"))
	})
	DescribeTable("refuses an invalid request",
		func(raw string, status int, finding string) {
			_, faults := read(raw)
			Expect(faults.status).To(Equal(status))
			Expect(faults.list).To(ContainElement(ContainSubstring(finding)))
		},
		Entry("an unknown caller", "GET /svc/ledger/status/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer no\r\n\r\n", 401, "Authorization"),
		Entry("an unknown service", request("GET /svc/none/status/1", "", ""), 404, `service "none"`),
		Entry("an unknown path", request("GET /else", "", ""), 404, "path"),
		Entry("no class", request("GET /svc/ledger/none", "", ""), 404, "no request class"),
		Entry("a model service by the plain path", request("GET /svc/tone/x", "", ""), 404, "kind model"),
		Entry("a deadline in the past", request("GET /svc/ledger/status/1", "X-Request-Deadline: 2001-01-01T00:00:00Z\r\n", ""), 400, "in the past"),
		Entry("a timeout of zero", request("GET /svc/ledger/status/1", "X-Request-Timeout-Ms: 0\r\n", ""), 400, "in the past"),
		Entry("a bad timeout", request("GET /svc/ledger/status/1", "X-Request-Timeout-Ms: soon\r\n", ""), 400, "whole number"),
		Entry("a sync without a key", request("POST /svc/ledger/sync", "", "x"), 400, "Idempotency-Key"),
		Entry("an overlong key", request("POST /svc/ledger/sync", "Idempotency-Key: "+strings.Repeat("k", 257)+"\r\n", "x"), 400, "257 bytes"),
		Entry("an oversized body", request("POST /svc/ledger/sync", "Idempotency-Key: a\r\n", strings.Repeat("x", 2000)), 413, "2000 bytes"),
		Entry("a body that is not JSON", request("POST /v1/completions", "", "{"), 400, "body:"),
		Entry("no model", request("POST /v1/completions", "", `{"prompt":"p"}`), 400, "model is missing"),
	)
	It("reports every error of a completion at once", func() {
		_, faults := read(request("POST /v1/completions", "", `{"max_tokens":-1}`))
		Expect(faults.list).To(HaveLen(3))
	})
	It("gives a resend under another ID the same fingerprint", func() {
		a, _ := read(request("POST /svc/ledger/sync", "Idempotency-Key: a\r\n", "same"))
		b, _ := read(request("POST /svc/ledger/sync", "Idempotency-Key: b\r\n", "same"))
		c, _ := read(request("POST /svc/ledger/sync", "Idempotency-Key: c\r\n", "other"))
		Expect(a.req.Fingerprint).To(Equal(b.req.Fingerprint))
		Expect(a.req.Fingerprint).NotTo(Equal(c.req.Fingerprint))
	})
})

// FuzzReadCall checks that no input makes readCall panic, and that a request
// without findings has a declared class, remaining time and a call ID.
func FuzzReadCall(f *testing.F) {
	f.Add(request("GET /svc/ledger/status/17", "", ""))
	f.Add(request("POST /svc/ledger/sync", "Idempotency-Key: a\r\n", "amount=3"))
	f.Add(request("POST /v1/completions", "X-Request-Timeout-Ms: 5\r\n", `{"model":"tone","prompt":"hi","stream":true}`))
	f.Fuzz(func(t *testing.T, raw string) {
		ctx, err := parse(raw)
		if err != nil {
			return
		}
		c, faults := readCall(ctx, newCallerIndex(testDeployment()), time.Now())
		if faults.status == 0 && (c.class.Name == "" || c.req.Remaining <= 0 || c.req.CallID == "") {
			t.Fatalf("accepted without class, remaining time or call ID: %+v", c.req)
		}
	})
}
