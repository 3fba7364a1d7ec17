package poison_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("Decide", func() {
	var r *poison.Registry
	var now time.Time
	id := func(fingerprint uint64) poison.ID { return poison.ID{Fingerprint: fingerprint} }
	end := func(fingerprint uint64, endpoint string) {
		r.RecordCrash(now, wire.Suspicion{Fingerprint: fingerprint, Endpoint: endpoint, Crash: 1, UnixMilli: now.UnixMilli()})
	}
	service := func(size int, healthy ...string) func() poison.Service {
		return func() poison.Service { return poison.Service{Healthy: healthy, Size: size} }
	}
	never := func() poison.Service {
		Fail("the decision must not depend on the service's endpoints")
		return poison.Service{}
	}
	many := func(n int) []string {
		var all []string
		for i := range n {
			all = append(all, strconv.Itoa(i))
		}
		return all
	}

	BeforeEach(func() {
		r = poison.New(poison.SharedConfig(), "self")
		r.SetAttribution(true)
		now = time.Unix(1000, 0)
	})

	// Guards against a change for requests under which no endpoint ended.
	It("admits a request without ends anywhere, without a look at its service", func() {
		Expect(r.Decide(now, id(1), never, nil)).To(Equal(poison.Decision{Admitted: true}))
		r.RecordAnswer(now, id(1))
		Expect(r.Decide(now, id(1), never, poison.Copies{1: {"a", "b", "c"}})).To(Equal(poison.Decision{Admitted: true}))
		large := service(40, many(40)...)
		Expect(r.Decide(now, id(2), large, poison.Copies{2: {"1", "2", "3"}})).To(Equal(poison.Decision{Admitted: true}))
	})

	DescribeTable("keeps copies of a request that was never answered off one endpoint of a small service",
		func(size int, running, only []string, admitted bool) {
			d := r.Decide(now, id(1), service(size, many(size)...), poison.Copies{1: running})
			Expect(d.Admitted).To(Equal(admitted))
			Expect(d.Only).To(Equal(only))
		},
		Entry("the second of two", 2, []string{"1"}, []string{"1"}, true),
		Entry("the second of three", 3, []string{"1"}, nil, true),
		Entry("the third of three", 3, []string{"1", "0"}, []string{"1", "0"}, true),
		Entry("two whose endpoints are not chosen yet", 3, []string{"", ""}, nil, false),
	)

	It("sends a suspect to one endpoint, which processes with the same view choose alike, one copy at a time", func() {
		end(1, "gone")
		other := poison.New(poison.SharedConfig(), "other")
		other.SetAttribution(true)
		other.RecordCrash(now, wire.Suspicion{Fingerprint: 1, Endpoint: "gone", Crash: 1, UnixMilli: now.UnixMilli()})
		d := r.Decide(now, id(1), service(40, many(39)...), nil)
		Expect(d.Only).To(HaveLen(1))
		Expect(other.Decide(now, id(1), service(40, many(39)...), nil)).To(Equal(d))
		Expect(r.Decide(now, id(1), service(40, many(39)...), poison.Copies{1: d.Only}).Admitted).To(BeFalse())
	})

	It("says that waiting for the last healthy endpoint is of no use later than 150 ms after the end", func() {
		// A caller would be held back although its request cannot be served.
		end(1, "gone")
		ended := now
		now = now.Add(20 * time.Millisecond)
		d := r.Decide(now, id(1), service(3, "last"), nil)
		Expect(d.Admitted).To(BeFalse())
		Expect(d.Settled).To(Equal(ended.Add(150 * time.Millisecond)))
	})

	It("sends a suspect of engines to any of many, and never to the last healthy one", func() {
		end(1, "gone")
		engines := func(size int, healthy ...string) func() poison.Service {
			return func() poison.Service { return poison.Service{Healthy: healthy, Size: size, Engines: true} }
		}
		Expect(r.Decide(now, id(1), engines(40, many(39)...), nil)).To(Equal(poison.Decision{Admitted: true}))
		Expect(r.Decide(now, id(1), engines(40, "1"), nil).Admitted).To(BeFalse())
	})

	It("does not send a suspect to the last healthy endpoint of several, nor to one that did not run it", func() {
		end(1, "a")
		Expect(r.Decide(now, id(1), service(2, "b"), nil).Admitted).To(BeFalse())
		Expect(r.Decide(now, id(1), service(3), nil).Admitted).To(BeFalse())
		first := r.Decide(now, id(1), service(3, "b", "c"), nil).Only
		tried := func() poison.Service {
			return poison.Service{Healthy: []string{"b", "c"}, Size: 3, Tried: first}
		}
		Expect(r.Decide(now, id(1), tried, nil).Only).NotTo(Equal(first))
	})

	// Guards against a suspect that ends the last endpoint some seconds after the others, as the list
	// still names these while the store is away.
	It("sends a suspect to endpoints that may be down before the last one that is not", func() {
		end(1, "a")
		end(1, "b")
		unsure := func(tried ...string) func() poison.Service {
			return func() poison.Service {
				return poison.Service{Healthy: []string{"c"}, Unsure: []string{"a", "b"}, Size: 3, Tried: tried}
			}
		}
		first := r.Decide(now, id(1), unsure(), nil).Only
		Expect(first).To(HaveLen(1))
		second := r.Decide(now, id(1), unsure(first...), nil).Only
		Expect(append(first, second...)).To(ConsistOf("a", "b"))
		Expect(r.Decide(now, id(1), unsure("a", "b"), nil).Admitted).To(BeFalse())
	})

	It("quarantines at the second end of a service with one endpoint, and at the third of others", func() {
		end(1, "a")
		Expect(r.Decide(now, id(1), service(1, "a"), nil).Admitted).To(BeTrue())
		end(1, "b")
		Expect(r.Decide(now, id(1), service(3, "a", "c"), nil).Admitted).To(BeTrue())
		Expect(r.Decide(now, id(1), service(1, "a"), nil).Quarantined).To(BeTrue())
		Expect(r.BlockedUntil(now, id(1))).To(Equal(now.Add(poison.SharedConfig().QuarantineTTL)))
	})

	// Guards against a quarantine of a harmless request that ran beside the cause of all its ends.
	It("has requests that ran at the same ends take turns, until one ends an endpoint alone", func() {
		for _, endpoint := range []string{"a", "b", "c"} {
			end(1, endpoint)
			end(2, endpoint)
		}
		Expect(r.BlockedUntil(now, id(1))).To(BeZero())
		Expect(r.BlockedUntil(now, id(2))).To(BeZero())
		starts := map[bool]int{}
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			first, second := r.Decide(now, id(1), service(3, many(3)...), nil), r.Decide(now, id(2), service(3, many(3)...), nil)
			Expect(first.Admitted && second.Admitted).To(BeFalse())
			for _, d := range []poison.Decision{first, second} {
				if d.Admitted {
					continue
				}
				Expect(d.Until).To(And(BeTemporally(">", now), BeTemporally("<=", now.Add(2*time.Second))))
			}
			starts[first.Admitted]++
		}
		Expect(starts[true]).To(Equal(10), "half of every other second")
		end(1, "d")
		Expect(r.BlockedUntil(now, id(1))).NotTo(BeZero())
		Expect(r.Decide(now, id(2), never, nil).Admitted).To(BeTrue(), "the other one explains its ends")
	})

	// Guards against an unlimited number of ends while no turn tells the requests apart.
	It("quarantines one of two requests that always run together, and the other one after three ends more", func() {
		for i := range 6 {
			end(1, strconv.Itoa(i))
			end(2, strconv.Itoa(i))
		}
		Expect(r.BlockedUntil(now, id(1))).NotTo(BeZero())
		for _, endpoint := range []string{"a", "b", "c"} {
			end(2, endpoint)
		}
		Expect(r.BlockedUntil(now, id(2))).NotTo(BeZero())
	})

	It("admits a suspect to the last endpoint if another one ran at its ends and at more", func() {
		end(1, "a")
		end(2, "a")
		end(2, "b")
		Expect(r.Decide(now, id(1), service(3, "c"), nil)).To(Equal(poison.Decision{Admitted: true}))
		Expect(r.Decide(now, id(2), service(3, "c"), nil).Admitted).To(BeFalse())
	})

	It("does not run two suspects of one end at one endpoint at once in a process", func() {
		end(1, "a")
		end(2, "a")
		d := r.Decide(now, id(1), service(3, "b", "c"), nil)
		Expect(r.Decide(now, id(1), service(3, "b", "c"), poison.Copies{2: d.Only}).Admitted).To(BeFalse())
		Expect(r.Decide(now, id(1), service(3, "b", "c"), poison.Copies{3: d.Only}).Admitted).To(BeTrue())
	})

	It("clears a suspect that is answered", func() {
		end(1, "a")
		r.RecordAnswer(now, id(1))
		Expect(r.Decide(now, id(1), never, nil)).To(Equal(poison.Decision{Admitted: true}))
	})

	It("quarantines requests at the third end, whatever ran beside them, without attribution", func() {
		r.SetAttribution(false)
		for _, endpoint := range []string{"a", "b", "c"} {
			end(1, endpoint)
			end(2, endpoint)
		}
		Expect(r.BlockedUntil(now, id(1))).NotTo(BeZero())
		Expect(r.BlockedUntil(now, id(2))).NotTo(BeZero())
	})
})
