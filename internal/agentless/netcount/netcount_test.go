package netcount_test

import (
	"io"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/agentless/netcount"
)

var _ = Describe("the bytes of connections", func() {
	exchange := func(m *netcount.Meter, address string) net.Conn {
		local, remote := net.Pipe()
		DeferCleanup(local.Close)
		counted := m.Wrap(netcount.Inner, local, address)
		go func() {
			_, _ = io.CopyN(io.Discard, remote, 3)
			_, _ = remote.Write([]byte("12345"))
		}()
		_, err := counted.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(counted, make([]byte, 5))
		Expect(err).NotTo(HaveOccurred())
		Expect(netcount.Unwrap(counted)).To(BeIdenticalTo(local))
		return counted
	}

	It("are counted by use, direction and locality", func() {
		registry := metrics.NewRegistry()
		m := netcount.NewMeter("hall-a", registry)
		exchange(m, "10.0.0.1:1")
		m.SetDomainLookup(func(address string) (string, bool) {
			return map[string]string{"10.0.0.1:1": "hall-a", "10.0.0.2:1": "hall-b"}[address], address != "10.0.0.3:1"
		})
		exchange(m, "10.0.0.1:1")
		exchange(m, "10.0.0.2:1")
		exchange(m, "10.0.0.3:1")
		count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
		Expect(count("bytes.inner.out.near")).To(Equal(int64(3)))
		Expect(count("bytes.inner.in.far")).To(Equal(int64(5)))
		Expect(count("bytes.inner.in.elsewhere")).To(Equal(int64(10)), "before the lookup is set, and for an unknown address")
	})

	It("are not counted without a meter", func() {
		var none *netcount.Meter
		local, _ := net.Pipe()
		Expect(none.Wrap(netcount.Inner, local, "x:1")).To(BeIdenticalTo(local))
		Expect(netcount.Unwrap(local)).To(BeIdenticalTo(local))
	})
})
