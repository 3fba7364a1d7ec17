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
		own, theirs := net.Pipe()
		DeferCleanup(own.Close)
		counted := m.Wrap(netcount.Inner, own, address)
		go func() {
			_, _ = io.CopyN(io.Discard, theirs, 3)
			_, _ = theirs.Write([]byte("12345"))
		}()
		_, err := counted.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(counted, make([]byte, 5))
		Expect(err).NotTo(HaveOccurred())
		Expect(netcount.Unwrap(counted)).To(BeIdenticalTo(own))
		return counted
	}

	It("are counted by use, direction and where they go", func() {
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
		Expect(count("bytes.inner.in.elsewhere")).To(Equal(int64(10)), "before places are known, and at an unknown one")
	})

	It("are not counted without a meter", func() {
		var none *netcount.Meter
		own, _ := net.Pipe()
		Expect(none.Wrap(netcount.Inner, own, "x:1")).To(BeIdenticalTo(own))
		Expect(netcount.Unwrap(own)).To(BeIdenticalTo(own))
	})
})
