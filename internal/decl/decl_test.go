package decl_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/decl"
)

func TestDecl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "decl")
}

func readExample(name string) []decl.Source {
	paths, err := filepath.Glob("../../examples/" + name + "/*.ini")
	Expect(err).NotTo(HaveOccurred())
	var files []decl.Source
	for _, path := range paths {
		text, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		files = append(files, decl.Source{Name: filepath.Base(path), Text: string(text)})
	}
	return files
}

var _ = Describe("Parse", func() {
	It("accepts both examples", func() {
		ledger, findings := decl.Parse(readExample("ledgerwise"))
		Expect(findings).To(BeEmpty())
		Expect(ledger.Service("tone-model").Fencing).To(BeTrue())
		Expect(ledger.Feeds[0].WeightStaleness).To(BeNumerically(">", ledger.Feeds[0].WeightIdle))
		batumi, findings := decl.Parse(readExample("batumi"))
		Expect(findings).To(BeEmpty())
		Expect(batumi.Feeds[0].WeightIdle).To(BeNumerically(">", batumi.Feeds[0].WeightStaleness))
		for _, agency := range batumi.Agencies {
			Expect(agency.Weight).To(Equal(1.0), agency.Name)
		}
	})

	It("reports all findings of all files together", func() {
		digest := "00000000000000000000000000000000000000000000000000000000000000aa"
		_, findings := decl.Parse([]decl.Source{
			{Name: "a.ini", Text: "[service s]\nkind = odd\n[class c]\nservice = gone\nhedge_at = 0.9\nmatch = get /x\n" +
				"[agency a]\nbusiness = none\nweight = 0\n[caller k]\nagency = a\nkey_sha256 = xyz\nrate_limit = 5\n"},
			{Name: "b.ini", Text: "[service s]\n[operator x]\nkey_sha256 = " + digest + "\n[operator y]\nkey_sha256 = " + digest + "\n[colour red]\n" +
				"[feed f]\nservice = s\nbusiness = b\nmodel = m\ntrainer_sha256 = 1\nlot_size = 4\n"},
		})
		var lines []string
		for _, f := range findings {
			lines = append(lines, f.String())
		}
		Expect(lines).To(ConsistOf(
			`a.ini: no [deployment] section`,
			`a.ini:2: [service s] kind: "odd" is none of model, plain`,
			`a.ini:4: [class c] service: no service "gone" is declared`,
			`a.ini:5: [class c] hedge_at: only an idempotent class can be hedged`,
			`a.ini:6: [class c] match: "get /x" is not METHOD /path`,
			`a.ini:8: [agency a] business: no business "none" is declared`,
			`a.ini:9: [agency a] weight: 0 is outside 1e-06..1000`,
			`a.ini:10: [caller k] burst: a rate limit wants a burst of at least 1`,
			`a.ini:12: [caller k] key_sha256: not the 64 lower-case hexadecimal digits of a SHA-256`,
			`b.ini:1: service s stands already in a.ini:1`,
			`b.ini:5: [operator y] key_sha256: is the key of operator x already`,
			`b.ini:6: unknown kind of section: [colour]`,
			`b.ini:7: [feed f] prompt: required`,
			`b.ini:8: [feed f] service: "s" is not of kind model`,
			`b.ini:9: [feed f] business: no business "b" is declared`,
			`b.ini:11: [feed f] trainer_sha256: not the 64 lower-case hexadecimal digits of a SHA-256`,
			`b.ini:12: [feed f] lot_size: 4 is more than a step of 1 samples`,
		))
	})
})

var _ = Describe("roles", func() {
	It("are parsed with their shares, and all findings have their line", func() {
		d, findings := decl.Parse([]decl.Source{{Name: "a.ini", Text: "[deployment]\nname = d\n[service s]\nkind = model\nroles = prefill:1, decode:3\n"}})
		Expect(findings).To(BeEmpty())
		Expect(d.Service("s").EngineRoles()).To(Equal([]decl.Role{{Name: "prefill", Share: 1}, {Name: "decode", Share: 3}}))
		_, findings = decl.Parse([]decl.Source{{Name: "a.ini", Text: "[deployment]\nname = d\n[service s]\nkind = plain\nroles = decode:3, decode:1, odd:0, Mixed\n"}})
		var lines []string
		for _, f := range findings {
			lines = append(lines, f.String())
		}
		Expect(lines).To(ConsistOf(
			`a.ini:5: [service s] roles: only engines of kind model have roles`,
			`a.ini:5: [service s] roles: role "decode" stands twice`,
			`a.ini:5: [service s] roles: "odd:0" is not a role with its share, such as decode:3`,
			`a.ini:5: [service s] roles: "Mixed" is not a role with its share, such as decode:3`,
		))
	})
})

var _ = Describe("Diff", func() {
	It("lists added, removed and changed objects and truncates digests", func() {
		before, _ := decl.Parse(readExample("ledgerwise"))
		after, _ := decl.Parse(readExample("ledgerwise"))
		Expect(decl.Diff(before, after)).To(BeEmpty())
		after.Classes[0].Deadline = time.Second
		after.Callers[0].KeySHA256 = "00112233445566"
		after.Services = after.Services[1:]
		after.Feeds[0].Name = "firm-drafts"
		after.DrainInstances = []string{"agent-3"}
		var lines []string
		for _, c := range decl.Diff(before, after) {
			lines = append(lines, c.String())
		}
		Expect(lines).To(Equal([]string{
			"set caller desk-nadiad key_sha256: " + before.Callers[0].KeySHA256[:8] + "... -> 00112233...",
			"set class lookup deadline: 300ms -> 1s",
			"set deployment drain_instances:  -> agent-3",
			"add feed firm-drafts",
			"remove feed polite-drafts",
			"remove service tone-model",
		}))
	})
	It("lists every object as added if there was no deployment", func() {
		after, _ := decl.Parse(readExample("batumi"))
		Expect(decl.Diff(nil, after)).To(HaveLen(1 + 3 + 5 + 2 + 4 + 7 + 1 + 1))
	})
})

var _ = Describe("Matches", func() {
	It("matches exact paths and path prefixes", func() {
		Expect(decl.Matches("GET /a/*", "GET", "/a/b")).To(BeTrue())
		Expect(decl.Matches("GET /a", "GET", "/a/b")).To(BeFalse())
		Expect(decl.Matches("POST /a", "GET", "/a")).To(BeFalse())
	})
})
