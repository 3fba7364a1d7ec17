package fairshare_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/fairshare"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// firstWorker returns the worker that is asked first, and the other one.
func firstWorker() (first, other string) {
	nodes := []uint64{rendezvous.Key("w0"), rendezvous.Key("w1")}
	if rendezvous.Ranked(rendezvous.Key(service), nodes, 1)[0] == 0 {
		return "w0", "w1"
	}
	return "w1", "w0"
}

var _ = Describe("the shares of a service under pressure", func() {
	var s *simulation
	first, other := firstWorker()

	// slots returns what a process may use.
	slots := func(i int) int {
		n, known := s.processes[i].client.Slots(s.now, service)
		Expect(known).To(BeTrue())
		return n
	}

	// Four processes with the same demand, all with requests waiting.
	BeforeEach(func() {
		s = newSimulation(4, 24)
		for i, name := range []string{"a", "b", "c", "d"} {
			s.add(i, name, 400)
		}
		s.run(2 * time.Second)
		Expect(slots(0)).To(Equal(6))
	})

	It("are divided anew when a process joins", func() {
		p := &process{name: "new", client: fairshare.NewClient("new"), cutOff: map[string]bool{}}
		s.processes = append(s.processes, p)
		s.add(4, "e", 400)
		s.add(4, "f", 400)
		s.run(500 * time.Millisecond)
		Expect(slots(4)).To(Equal(8), "two of six customers")
		Expect(s.allotted()).To(Equal(24))
	})

	It("of a process that is killed go to the others once its report has expired", func() {
		s.processes[3].stopped = true
		s.run(1300 * time.Millisecond)
		Expect(slots(0)).To(Equal(8))
	})

	It("of a process whose pressure ends are lent at once, not after its report has expired", func() {
		s.processes[3].customers[0].rate = 0
		s.processes[3].customers[0].waiting = nil
		s.run(300 * time.Millisecond)
		Expect(slots(0)).To(Equal(8))
	})

	It("are divided anew within a second when a third of the endpoints is lost", func() {
		s.slots = 16
		s.run(time.Second)
		Expect(slots(0)).To(Equal(4))
	})

	// A worker that is lost must not leave the processes without a division for longer than a
	// second, and the next one must not hand out the slots twice.
	It("are divided by the next worker when the first one is lost, and by the first one when it is back", func() {
		s.workers[first] = nil
		for range 20 {
			s.run(100 * time.Millisecond)
			Expect(s.allotted()).To(BeNumerically("<=", 24))
		}
		Expect(s.processes[0].changes).To(ContainElement(fairshare.Change{Worker: other}))
		Expect(slots(0)).To(Equal(6))
		s.workers[first] = fairshare.NewTable()
		s.run(1500 * time.Millisecond)
		Expect(s.processes[0].changes).To(ContainElement(fairshare.Change{Worker: first}))
		Expect(slots(0)).To(Equal(6))
	})

	It("are an equal part each while no worker answers", func() {
		s.workers[first], s.workers[other] = nil, nil
		s.run(2 * time.Second)
		Expect(slots(0)).To(Equal(6))
		Expect(s.processes[0].changes).To(ContainElement(HaveField("NoAllotment", true)))
	})

	// The second worker knows only the process that cannot reach the first one, and would give it
	// the whole service.
	It("do not grow for a process that is cut off from the first worker", func() {
		s.processes[0].cutOff[first] = true
		for range 30 {
			s.run(100 * time.Millisecond)
			Expect(slots(0)).To(BeNumerically("<=", 6))
		}
	})

	It("are not known before the first answer, and an equal part of the entries' if none comes", func() {
		client := fairshare.NewClient("x")
		v := fairshare.View{Service: service, Slots: 18, FullAt: start}
		fleet := fairshare.Fleet{Workers: []string{"w0", "w1"}, Entries: 6}
		now := start
		for ; now.Before(start.Add(2 * time.Second)); now = now.Add(checkEvery) {
			v.FullAt = now
			calls, _ := client.Check(now, v, fleet)
			for _, call := range calls {
				client.Failed(now, call)
			}
			n, known := client.Slots(now, service)
			if now.Sub(start) < time.Second {
				Expect(known).To(BeFalse())
			} else {
				Expect(n).To(Equal(3))
			}
		}
	})
})
