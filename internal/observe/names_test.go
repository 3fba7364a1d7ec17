package observe_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// metricNames matches the names of metrics in the sources. For a name that is
// concatenated it matches the constant prefix.
var metricNames = regexp.MustCompile(`GetOrRegister(?:Counter|Timer|Gauge|Histogram|Meter)\("([^"]+)"`)

var _ = Describe("the list of metrics", func() {
	It("in docs/METRICS.md contains every metric that the sources register", func() {
		page, err := os.ReadFile("../../docs/METRICS.md")
		Expect(err).NotTo(HaveOccurred())
		found := 0
		for _, root := range []string{"../../internal", "../../platform"} {
			Expect(filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
				if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
					return err
				}
				source, err := os.ReadFile(path)
				if err != nil {
					return err
				}
				for _, match := range metricNames.FindAllStringSubmatch(string(source), -1) {
					found++
					Expect(string(page)).To(ContainSubstring("`"+match[1]), path)
				}
				return nil
			})).To(Succeed())
		}
		Expect(found).To(BeNumerically(">", 20), "the expression still finds names")
	})
})
