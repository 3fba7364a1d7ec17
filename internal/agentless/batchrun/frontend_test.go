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

var _ = Describe("the cached record of a job", func() {
	It("can be read while it changes", func() {
		// A trainer retries the end of its step while other calls update the cached record
		// at the same process. The race detector shows whether an end reads a record that
		// is being written.
		log := logrus.New()
		log.SetOutput(io.Discard)
		f := &Frontend{Store: standin.NewTransactionalStore(), Log: log}
		f.remember("j", jobRecord{Owner: "w", Ended: true})
		var calls sync.WaitGroup
		for range 100 {
			calls.Go(func() { f.remember("j", jobRecord{Owner: "w", Ended: true}) })
			calls.Go(func() {
				defer GinkgoRecover()
				Expect(f.End(context.Background(), "j")).To(Succeed())
			})
		}
		calls.Wait()
	})
})
