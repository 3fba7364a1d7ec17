package inifile_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/inifile"
)

func TestInifile(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "inifile")
}

var _ = Describe("Parse", func() {
	It("reads typed keys, repeated keys and values that contain comment characters", func() {
		var findings inifile.Findings
		file := inifile.Parse("a.ini", []byte("; note\n[service ledger]\nslots = 4\nwait=250ms\nshare = 0.5\nfencing = true\n"+
			"match = GET /a, POST /b\nprompt = one; two # three\nprompt = four\naddress = 127.0.0.1:80\n"), &findings)
		s := file.Sections()[0]
		Expect(s.Kind).To(Equal("service"))
		Expect(s.Name).To(Equal("ledger"))
		Expect(s.Int("slots", 1, 1, 8)).To(Equal(4))
		Expect(s.Duration("wait", 0, 0, time.Second)).To(Equal(250 * time.Millisecond))
		Expect(s.Float("share", 0, 0, 1)).To(Equal(0.5))
		Expect(s.Bool("fencing", false)).To(BeTrue())
		Expect(s.List("match")).To(Equal([]string{"GET /a", "POST /b"}))
		Expect(s.Repeated("prompt")).To(Equal([]string{"one; two # three", "four"}))
		Expect(s.Addr("address")).To(Equal("127.0.0.1:80"))
		s.ReportUnread()
		Expect(findings.Err()).NotTo(HaveOccurred())
	})

	It("reports all errors together, each with its line", func() {
		var findings inifile.Findings
		file := inifile.Parse("a.ini", []byte("stray = 1\n[x]\nn = many\nn = 2\nhost = localhost:80\nodd = 1\njunk\n[y]\n[x]\n"), &findings)
		s := file.Section("x")
		s.Int("n", 1, 0, 9)
		s.Addr("host")
		file.ReportUnread("x")
		Expect(findings.Err()).To(MatchError(`a.ini:1: key "stray" stands before the first section
a.ini:3: [x] n: "many" is not a whole number
a.ini:4: [x] n: duplicate key
a.ini:5: [x] host: "localhost:80" is not ip:port with the IP as a number
a.ini:6: [x] odd: unknown key
a.ini:7: neither a section, a key nor a comment: "junk"
a.ini:8: unknown section [y]
a.ini:9: section [x] stands already on line 2`))
	})

	// Guards against errors of the parser without a place.
	It("reports a line at which the parser gives up", func() {
		for text, want := range map[string]string{
			"[x]\na = 1\n[y\nb = 2\n": "a.ini:3: unclosed section: [y",
			"[x]\ny\n[y\n":            "a.ini:3: unclosed section: [y",
			"[x]\na = 1\n\"b = 2\n":   `a.ini:3: missing closing key quote: "b = 2`,
		} {
			var findings inifile.Findings
			inifile.Parse("a.ini", []byte(text), &findings)
			Expect(findings.Err()).To(MatchError(ContainSubstring(want)))
		}
	})

	It("reports a file that cannot be read", func() {
		var findings inifile.Findings
		inifile.Read("absent.ini", &findings)
		Expect(findings.Err()).To(MatchError(ContainSubstring("absent.ini: ")))
	})
})
