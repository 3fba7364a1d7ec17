package loadreport_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/loadreport"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadreport")
}

func empty() *loadreport.Report {
	return &loadreport.Report{
		Format: loadreport.Format, Process: "edge-1", At: time.UnixMilli(1), Speeds: &loadreport.Speeds{}, Queues: &loadreport.Queues{},
		Shares: &loadreport.Shares{}, Suspects: &loadreport.Suspects{},
	}
}

// name returns a name of 40 bytes.
func name(i int) string { return fmt.Sprintf("%s%08d", strings.Repeat("n", 32), i) }

// large returns a report of a process that knows more of everything than is reported.
func large() *loadreport.Report {
	random := rand.New(rand.NewPCG(1, 2))
	r := empty()
	refused := map[string]int64{"deadline": 123456, "queue-full": 123456, "full": 123456}
	for i := range 60 {
		speeds := loadreport.ServiceSpeeds{Service: name(i)}
		for j := range 50 {
			speeds.Endpoints = append(speeds.Endpoints, loadreport.EndpointSpeed{
				ID: name(100*i + j), Seconds: random.Float64(), Lasting: random.Float64(), Units: 100000, AgeMillis: 100000, InFlight: random.IntN(100),
			})
		}
		r.Speeds.Services = append(r.Speeds.Services, speeds)
		queue := loadreport.Queue{Service: name(i), Refused: refused, InFlight: i}
		share := loadreport.ServiceShare{Service: name(i), Worker: name(i), Level: random.Float64()}
		division := loadreport.Division{Service: name(i), Level: random.Float64()}
		for j := range 1000 {
			queue.Customers = append(queue.Customers, loadreport.Customer{Customer: name(j), InFlight: random.IntN(1000), Waiting: random.IntN(1000), Refused: refused})
			share.Customers = append(share.Customers, loadreport.CustomerShare{Customer: name(j), Slots: random.IntN(1000)})
			division.Processes = append(division.Processes, loadreport.ProcessShare{Process: name(j), Demand: random.IntN(1000), Slots: 1000})
		}
		r.Queues.Services = append(r.Queues.Services, queue)
		r.Shares.Services = append(r.Shares.Services, share)
		r.Shares.Divided = append(r.Shares.Divided, division)
	}
	for i := range 1000 {
		s := loadreport.Suspect{Fingerprint: name(i), BlockedUntil: time.UnixMilli(1), Endpoints: map[string]string{}}
		for j := range 30 {
			s.Endpoints[name(j)] = name(j)
			s.Running = append(s.Running, name(j))
		}
		r.Suspects.Requests = append(r.Suspects.Requests, s)
	}
	return r
}

var _ = Describe("a report", func() {
	// A report without a bound grows with the deployment until readers refuse it.
	It("has no more elements than its limits, is accepted by a reader, and counts the others", func() {
		r := large()
		r.Bound()
		listed, omitted := 0, 0
		for _, s := range r.Speeds.Services {
			listed += len(s.Endpoints)
			omitted += s.Omitted
		}
		Expect(listed).To(Equal(loadreport.MaxEndpoints))
		Expect(omitted).To(Equal(60*50 - loadreport.MaxEndpoints))
		Expect(r.Queues.Services).To(HaveLen(loadreport.MaxServices))
		Expect(r.Queues.Omitted).To(Equal(10))
		Expect(r.Queues.Services[0].Customers).To(HaveLen(loadreport.MaxCustomers))
		Expect(r.Queues.Services[0].Omitted).To(Equal(900))
		Expect(r.Shares.Omitted).To(Equal(10))
		Expect(r.Shares.Services[0].Customers).To(HaveLen(loadreport.MaxCustomers))
		Expect(r.Shares.OmittedDivisions).To(Equal(10))
		Expect(r.Shares.Divided[0].Processes).To(HaveLen(loadreport.MaxProcesses))
		Expect(r.Shares.Divided[0].Omitted).To(Equal(800))
		Expect(r.Suspects.Requests).To(HaveLen(loadreport.MaxSuspects))
		Expect(r.Suspects.Omitted).To(Equal(900))
		Expect(r.Suspects.Requests[0].Endpoints).To(HaveLen(loadreport.MaxSuspectEndpoints))
		Expect(r.Suspects.Requests[0].Omitted).To(Equal(10))

		raw, err := json.Marshal(r)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("largest report: %d bytes\n", len(raw))
		Expect(len(raw)).To(BeNumerically("<", loadreport.MaxBytes))
		decoded, err := loadreport.Decode(raw)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Queues).To(Equal(r.Queues))
	})

	// The customers that an operator looks for must not be among the omitted ones.
	It("lists the busiest first, and of idle customers those that were refused most", func() {
		r := empty()
		r.Queues.Services = []loadreport.Queue{
			{Service: "idle"},
			{Service: "busy", InFlight: 1, Customers: []loadreport.Customer{
				{Customer: "quiet"}, {Customer: "starved", Refused: map[string]int64{"deadline": 9}}, {Customer: "small", InFlight: 1}, {Customer: "large", Waiting: 7},
			}},
		}
		r.Speeds.Services = []loadreport.ServiceSpeeds{{Service: "app", Endpoints: []loadreport.EndpointSpeed{{ID: "a"}, {ID: "c", InFlight: 2}, {ID: "b", InFlight: 2}}}}
		r.Shares.Services = []loadreport.ServiceShare{{Service: "calm", Slots: 9}, {Service: "pressed", Pressed: true, Slots: 1}}
		r.Bound()
		Expect(r.Shares.Services[0].Service).To(Equal("pressed"))
		Expect(r.Queues.Services[0].Service).To(Equal("busy"))
		var order []string
		for _, c := range r.Queues.Services[0].Customers {
			order = append(order, c.Customer)
		}
		for _, e := range r.Speeds.Services[0].Endpoints {
			order = append(order, e.ID)
		}
		Expect(order).To(Equal([]string{"large", "small", "starved", "quiet", "b", "c", "a"}))
	})

	It("has arrays and not null for empty lists", func() {
		r := empty()
		r.Queues.Services = []loadreport.Queue{{Service: "app", Refused: map[string]int64{}}}
		r.Bound()
		raw, err := json.Marshal(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(raw)).NotTo(ContainSubstring("null"))
	})
})

var _ = DescribeTable("bytes that are not a report are refused with the place of the fault",
	func(raw, text string) {
		_, err := loadreport.Decode([]byte(raw))
		Expect(err).To(MatchError(ContainSubstring(text)))
	},
	Entry("a page", "<html>", "is not JSON"),
	Entry("cut off", `{"format":1,"process":"edge`, "is not JSON: unexpected end"),
	Entry("another document", `{"uptime.value":3}`, `field "format": is 0, not 1`),
	Entry("another format", `{"format":2,"process":"a","at":"2026-01-01T00:00:00Z"}`, `field "format": is 2, not 1`),
	Entry("no process", `{"format":1}`, `field "process": is missing`),
	Entry("no time", `{"format":1,"process":"a"}`, `field "at": is missing`),
	Entry("no section", `{"format":1,"process":"a","at":"2026-01-01T00:00:00Z","speeds":{}}`, `field "queues": is missing`),
	Entry("a value of another type", `{"format":1,"queues":{"services":[{"limit":"six"}]}}`, `field "queues.services.limit": is a string, not int`),
	Entry("a negative time", `{"format":1,"process":"a","at":"2026-01-01T00:00:00Z","queues":{},"shares":{},"suspects":{},"speeds":{"services":[{"endpoints":[{"seconds":-1}]}]}}`,
		`field "speeds.services[0].endpoints[0].seconds": is negative`),
)

// FuzzDecode guards against bytes of a process at which siskinctl would panic.
func FuzzDecode(f *testing.F) {
	r := empty()
	r.Bound()
	raw, err := json.Marshal(r)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"format":1,"speeds":{"services":[null]},"suspects":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		report, err := loadreport.Decode(raw)
		if err != nil {
			return
		}
		report.Bound() // all sections are there
	})
}
