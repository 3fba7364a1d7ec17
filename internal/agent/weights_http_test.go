package agent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("weights from an agent's memory", func() {
	const chunkBytes = 1000
	var h *OrderHandler
	var ctx context.Context

	start := func(dir string, memory int) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		h = NewOrderHandler(OrderHandlerOptions{Incarnation: "a", Endpoint: "127.0.0.1:1", DataDir: dir, MemoryBytes: memory, Log: log})
		done := make(chan error, 1)
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		go func() { done <- h.ServeWeights(ctx) }()
		DeferCleanup(func() {
			cancel()
			Eventually(done).WithTimeout(time.Minute).Should(Receive(BeNil()))
		})
		if dir == "" {
			Eventually(func() bool {
				h.mu.Lock()
				defer h.mu.Unlock()
				return h.weightsServer != nil
			}).WithTimeout(time.Minute).Should(BeTrue())
		}
	}
	chunk := func(version int64, index int) []byte {
		data := make([]byte, chunkBytes)
		data[0], data[1] = byte(version), byte(index)
		return data
	}
	// hold puts a version of three chunks into the table, the last one
	// corrupted if wrong is set, and verifies its digest.
	hold := func(version int64, wrong bool) error {
		digest := sha256.New()
		for i := range 3 {
			digest.Write(chunk(version, i))
			data := chunk(version, i)
			if wrong && i == 2 {
				data[2]++
			}
			if err := h.table.put(wire.ChunkRequest{Model: "m", Version: version, Index: i}, data); err != nil {
				return err
			}
		}
		return h.fetcher.verify("m", version, 3, digest.Sum(nil))
	}
	order := func(version int64) engineapi.Order {
		return h.engineOrder(wire.Order{Kind: wire.OrderSwap, Model: "m", Version: version}, time.Now().Add(time.Minute))
	}
	get := func(url string) (int, []byte) {
		status, body, err := fasthttp.GetTimeout(nil, url, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		return status, body
	}

	It("are served chunk by chunk on loopback, with the digest to verify them", func() {
		start("", 10*chunkBytes)
		Expect(hold(2, false)).To(Succeed())
		o := order(2)
		Expect(o.WeightsURL).To(HavePrefix("http://127.0.0.1:"))
		Expect(o.WeightsDir).To(BeEmpty())
		digest := sha256.New()
		for i := range o.WeightsChunks {
			status, body := get(o.WeightsURL + strconv.Itoa(i))
			Expect(status).To(Equal(fasthttp.StatusOK))
			digest.Write(body)
		}
		Expect(hex.EncodeToString(digest.Sum(nil))).To(Equal(o.WeightsSHA256))
		for _, beyond := range []string{"3", "-1", "x", "0/..", ""} {
			status, _ := get(o.WeightsURL + beyond)
			Expect(status).To(Equal(fasthttp.StatusNotFound), beyond)
		}
	})

	// One version has a chunk that was corrupted on its way between agents, and
	// another version is incomplete. An engine that read either would serve
	// wrong weights.
	It("are served only if the version is complete and matches its digest", func() {
		start("", 10*chunkBytes)
		Expect(hold(2, false)).To(Succeed())
		url := order(2).WeightsURL
		Expect(hold(3, true)).NotTo(Succeed())
		Expect(h.table.put(wire.ChunkRequest{Model: "m", Version: 4, Index: 0}, chunk(4, 0))).To(Succeed())
		for _, version := range []int64{3, 4} {
			Expect(order(version).WeightsURL).To(BeEmpty())
			status, _ := get(h.weightsServer.url("m", version) + "0")
			Expect(status).To(Equal(fasthttp.StatusNotFound))
		}
		status, _ := get(url + "0")
		Expect(status).To(Equal(fasthttp.StatusOK))
	})

	// The engine reads version 2 while the agent prepares version 3, and the
	// memory holds only one of them. Without the pin, version 2 would be
	// evicted during the engine's load.
	It("stay in memory while the engine loads them and are evictable afterwards", func() {
		start("", 4*chunkBytes)
		Expect(hold(2, false)).To(Succeed())
		h.table.pin("m", 2)
		Expect(h.table.fits("m", 3, 3*chunkBytes)).To(BeFalse())
		Expect(h.table.fits("m", 2, 3*chunkBytes)).To(BeTrue())
		Expect(hold(3, false)).To(MatchError(errNoRoom))
		status, _ := get(order(2).WeightsURL + "0")
		Expect(status).To(Equal(fasthttp.StatusOK))
		h.table.unpin()
		Expect(h.table.fits("m", 3, 3*chunkBytes)).To(BeTrue())
		Expect(hold(3, false)).To(Succeed())
		Expect(order(2).WeightsURL).To(BeEmpty())
		Expect(order(3).WeightsURL).NotTo(BeEmpty())
	})

	It("are passed as a directory if the agent has a data directory", func() {
		start(GinkgoT().TempDir(), 0)
		Expect(hold(2, false)).To(Succeed())
		o := order(2)
		Expect(o.WeightsURL).To(BeEmpty())
		Expect(o.WeightsDir).NotTo(BeEmpty())
		Expect(o.WeightsChunks).To(Equal(3))
		Expect(o.WeightsSHA256).To(HaveLen(64))
	})
})
