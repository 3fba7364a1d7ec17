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

	It("list the disabled mechanisms; an empty list disables none", func() {
		disabled, err := load("[mechanisms]\nwithout = hedges, move-slow\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(disabled).To(Equal([]mechanism.Mechanism{mechanism.Hedges, mechanism.MoveSlow}))
		disabled, err = load("[mechanisms]\nwithout =\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(disabled).To(BeEmpty())
	})

	It("are rejected with the position of each fault and the valid names", func() {
		_, err := load("[mechanisms]\nwithout = hedges, fences\nwith = all\n")
		Expect(err).To(MatchError(And(ContainSubstring("mechanisms.ini:2"), ContainSubstring(`"fences" is none of`), ContainSubstring("move-crowded"))))
		Expect(err).To(MatchError(ContainSubstring("mechanisms.ini:3: [mechanisms] with: unknown key")))
	})

	It("are rejected if the file does not exist", func() {
		_, err := mechanism.Load(filepath.Join(GinkgoT().TempDir(), "none.ini"))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("the switches", func() {
	It("enable every mechanism at first, and each list replaces the one before", func() {
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
