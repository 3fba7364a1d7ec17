package bounds_test

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/bounds"
)

func TestBounds(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bounds")
}

func load(text string) (map[string]bounds.Bound, error) {
	path := filepath.Join(GinkgoT().TempDir(), "bounds.ini")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return bounds.Load(path)
}

var _ = Describe("RunAll", func() {
	It("runs exclusive measurements one at a time and keeps the order of the figures", func() {
		var running, maxRunning atomic.Int32
		run := func(name string, exclusive bool) bounds.Measurement {
			return bounds.Measurement{Name: name, Exclusive: exclusive, Run: func() ([]bounds.Figure, error) {
				now := running.Add(1)
				defer running.Add(-1)
				if exclusive {
					maxRunning.Store(max(maxRunning.Load(), now))
				}
				return []bounds.Figure{{Name: name}}, nil
			}}
		}
		figures, err := bounds.RunAll([]bounds.Measurement{run("a", false), run("b", true), run("c", false), run("d", true)})
		Expect(err).NotTo(HaveOccurred())
		Expect(figures).To(Equal([]bounds.Figure{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}))
		Expect(maxRunning.Load()).To(Equal(int32(1)))
	})
	It("names the measurement that failed", func() {
		broken := bounds.Measurement{Name: "x", Run: func() ([]bounds.Figure, error) { return nil, errors.New("no figure") }}
		_, err := bounds.RunAll([]bounds.Measurement{broken})
		Expect(err).To(MatchError("x: no figure"))
	})
})

var _ = Describe("Report", func() {
	It("fails a figure outside its bound, a figure without a bound and a bound without a figure", func() {
		limits, err := load("[a.b]\nmax = 2\n[c]\nmin = 1\n[d]\n")
		Expect(err).NotTo(HaveOccurred())
		var out strings.Builder
		failed := bounds.Report(&out, []bounds.Figure{{Name: "a.b", Value: 3}, {Name: "c", Value: 1}, {Name: "x", Value: 0}}, limits, false)
		Expect(failed).To(Equal(3))
		Expect(out.String()).To(Equal("a.b 3 <=2 FAIL\nc 1 >=1 ok\nx 0 no-bound FAIL\nd not-measured stated FAIL\n"))
	})
	It("fails NaN", func() {
		Expect(bounds.Bound{}.Holds(math.NaN())).To(BeFalse())
	})
	It("names the section and key of an invalid bound", func() {
		_, err := load("[a]\nmost = 2\n")
		Expect(err).To(MatchError(ContainSubstring("[a] most")))
	})
})
