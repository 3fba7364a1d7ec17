package traffic_test

import (
	"context"
	"io"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/rpcconn"
	"siskinloom.example/siskinloom/internal/traffic"
)

func TestTraffic(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "traffic")
}

var _ = Describe("a meter", func() {
	It("counts the bytes and connections at both ends by use", func() {
		registry := metrics.NewRegistry()
		count := func(name string) int64 {
			return metrics.GetOrRegisterCounter(traffic.Prefix+name, registry).Count()
		}
		meter := traffic.NewMeter(registry)
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := meter.Listener(traffic.Inner, plain)
		defer listener.Close()
		done := make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			conn, err := listener.Accept()
			if err == nil {
				_, err = io.CopyN(conn, conn, 5)
			}
			done <- err
		}()
		conn, err := meter.Dial(traffic.Peers, rpcconn.Dial)(context.Background(), plain.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write([]byte("hello"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(conn, make([]byte, 5))
		Expect(err).NotTo(HaveOccurred())
		Expect(<-done).NotTo(HaveOccurred())

		for _, use := range []string{"peers.", "inner."} {
			Expect(count(use + "sent_bytes")).To(BeEquivalentTo(5))
			Expect(count(use + "received_bytes")).To(BeEquivalentTo(5))
			Expect(count(use + "connections")).To(BeEquivalentTo(1))
		}
	})
})
