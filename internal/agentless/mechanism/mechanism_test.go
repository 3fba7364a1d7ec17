package mechanism_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/mechanism"
)

var _ = Describe("the settings of mechanisms", func() {
	load := func(text string) ([]mechanism.Mechanism, error) {
		path := filepath.Join(GinkgoT().TempDir(), "mechanisms.ini")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return mechanism.Load(path)
	}

	It("name what is taken out; none without a list", func() {
		out, err := load("[mechanisms]\nwithout = hedges, move-slow\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(Equal([]mechanism.Mechanism{mechanism.Hedges, mechanism.MoveSlow}))
		out, err = load("[mechanisms]\nwithout =\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(BeEmpty())
	})

	It("are refused with the place of each fault and the names there are", func() {
		_, err := load("[mechanisms]\nwithout = hedges, fences\nwith = all\n")
		Expect(err).To(MatchError(And(ContainSubstring("mechanisms.ini:2"), ContainSubstring(`"fences" is none of`), ContainSubstring("move-crowded"))))
		Expect(err).To(MatchError(ContainSubstring("mechanisms.ini:3: [mechanisms] with: unknown key")))
	})

	It("are refused if the file is not there", func() {
		_, err := mechanism.Load(filepath.Join(GinkgoT().TempDir(), "none.ini"))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("the switches", func() {
	It("have everything in at first, and what is taken out is put back by the next list", func() {
		var none *mechanism.Switches
		Expect(none.On(mechanism.Hedges)).To(BeTrue())
		switches := &mechanism.Switches{}
		Expect(switches.On(mechanism.Hedges)).To(BeTrue())
		switches.SetDisabled([]mechanism.Mechanism{mechanism.Relay, mechanism.Hedges, mechanism.Relay})
		Expect(switches.Disabled()).To(Equal([]mechanism.Mechanism{mechanism.Hedges, mechanism.Relay}))
		Expect(switches.On(mechanism.Hedges)).To(BeFalse())
		switches.SetDisabled(nil)
		Expect(switches.On(mechanism.Hedges)).To(BeTrue())
	})
})

var _ = Describe("the operators' page", func() {
	It("names every mechanism", func() {
		page, err := os.ReadFile("../../../docs/operators/mechanisms.md")
		Expect(err).NotTo(HaveOccurred())
		for _, m := range mechanism.All() {
			Expect(string(page)).To(ContainSubstring("| `" + string(m) + "` |"))
		}
	})
})
