package batchrun

import (
	"context"
	"io"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("what a process remembers of a job", func() {
	It("may be looked at while it changes", func() {
		// A trainer ends its step again and again while other calls read the step's
		// record anew at the same process, which takes it in. The race detector shows
		// whether an end looks at a record that is being written.
		log := logrus.New()
		log.SetOutput(io.Discard)
		d := &Frontend{Store: standin.NewShared(), Log: log}
		d.remember("j", jobRecord{Owner: "w", Ended: true})
		var calls sync.WaitGroup
		for range 100 {
			calls.Go(func() { d.remember("j", jobRecord{Owner: "w", Ended: true}) })
			calls.Go(func() {
				defer GinkgoRecover()
				Expect(d.End(context.Background(), "j")).To(Succeed())
			})
		}
		calls.Wait()
	})
})
