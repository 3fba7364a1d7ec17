package events_test

import (
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/events"
)

func TestEvents(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "events")
}

var _ = Describe("the catalogue", func() {
	It("is listed in docs/EVENTS.md line by line", func() {
		page, err := os.ReadFile("../../docs/EVENTS.md")
		Expect(err).NotTo(HaveOccurred())
		for _, e := range events.All() {
			row := fmt.Sprintf("| %d | %s | %s |", e.Number, e.Level, e.Text)
			Expect(string(page)).To(ContainSubstring(row))
		}
	})
})
