package node

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/rpc"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/gate"
	"siskinloom.example/siskinloom/internal/agentless/loadreport"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/fairshare"
	"siskinloom.example/siskinloom/internal/standin"
)

// heldEndpoints answer no request before its time is over.
type heldEndpoints struct{}

// Send implements dispatch.Sender.
func (heldEndpoints) Send(ctx context.Context, _ *deployment.Endpoint, _ *dispatch.Request) (*dispatch.Answer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// endedEndpoints refuse all connections.
type endedEndpoints struct{}

// RefusesConnections implements quarantine.Prober.
func (endedEndpoints) RefusesConnections(context.Context, string) bool { return true }

var _ = Describe("the report of the load of a process", func() {
	var n *Node
	var ctx context.Context
	var address string

	BeforeEach(func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		settings := Settings{ID: "edge-1", IP: "127.0.0.1", Worker: true, ValueBytes: 1 << 20, ResultTTL: time.Minute}
		n = New(settings, Adapter{Store: standin.NewTransactionalStore(), Sender: heldEndpoints{}, Prober: endedEndpoints{}}, nil, log, metrics.NewRegistry())
		var stop context.CancelFunc
		ctx, stop = context.WithCancel(context.Background())
		DeferCleanup(stop)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		go func() { _ = n.metricsServer().Serve(ctx, listener) }()
	})

	// declare puts a service "app" with two endpoints of 1 slot and two customers in force.
	declare := func() {
		for i := range 2 {
			n.directory.Put(deployment.Endpoint{ID: fmt.Sprint("i-", i), Service: "app", Address: "x:1", Slots: 1, StartedAtMillis: 1})
		}
		n.directory.Declare(&deployment.Declaration{
			Version: 7, RequireKeys: true, Customers: []deployment.Customer{{Name: "large"}, {Name: "small"}}, Routes: []deployment.Route{route()},
		})
	}
	read := func() *loadreport.Report {
		response, err := http.Get("http://" + address + loadreport.Path)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		raw, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		report, err := loadreport.Decode(raw)
		Expect(err).NotTo(HaveOccurred(), string(raw))
		return report
	}
	serve := func(customer string) {
		r := &gate.Request{ID: customer, Method: "POST", Target: "/look/x", Host: "h", Header: http.Header{}, Arrived: time.Now(), Timeout: time.Minute, Customer: customer}
		only := route()
		go n.gate.Serve(ctx, &only, r)
	}

	// An operator asks a process that has just started too.
	It("is readable before a declaration is known", func() {
		report := read()
		Expect(report.Process).To(Equal("edge-1"))
		Expect(report.Declaration).To(BeZero())
		Expect(report.Speeds.Services).To(BeEmpty())
		Expect(report.Queues.Services).To(BeEmpty())
	})

	It("has the speeds of the endpoints, and which were never measured", func() {
		declare()
		pick := n.directory.Pick("app", endpoints.Request{Now: time.Now(), Tried: []string{"i-1"}})
		Expect(pick).NotTo(BeNil())
		pick.ObserveSpeed(time.Now().Add(-3*time.Second), 0.05, 20, 0)
		report := read()
		Expect(report.Declaration).To(Equal(int64(7)))
		Expect(report.Speeds.Services).To(HaveLen(1))
		listed := report.Speeds.Services[0].Endpoints
		Expect(listed).To(HaveLen(2))
		Expect(listed[0].ID).To(Equal("i-0"))
		Expect(listed[0].Seconds).To(BeNumerically("~", 0.05, 1e-9))
		Expect(listed[0].Units).To(Equal(20))
		Expect(listed[0].InFlight).To(Equal(1))
		Expect(listed[0].AgeMillis).To(BeNumerically(">=", 3000))
		Expect(listed[1].ID).To(Equal("i-1"))
		Expect(listed[1].Units).To(BeZero())
		Expect(listed[1].AgeMillis).To(Equal(int64(-1)))
	})

	It("is bounded, and counts what it leaves out", func() {
		for i := range loadreport.MaxEndpoints + 3 {
			n.directory.Put(deployment.Endpoint{ID: fmt.Sprint("i-", i), Service: "app", Address: "x:1", Slots: 1, StartedAtMillis: 1})
		}
		service := read().Speeds.Services[0]
		Expect(service.Endpoints).To(HaveLen(loadreport.MaxEndpoints))
		Expect(service.Omitted).To(Equal(3))
	})

	It("has the requests of each customer in the queue of a service", func() {
		declare()
		for range 3 {
			serve("large")
		}
		Eventually(func() int { return len(read().Queues.Services) }, "5s").Should(Equal(1))
		Eventually(func() int { return read().Queues.Services[0].Waiting }, "5s").Should(Equal(1))
		serve("small")
		Eventually(func() int { return read().Queues.Services[0].Waiting }, "5s").Should(Equal(2))
		queue := read().Queues.Services[0]
		Expect(queue.Service).To(Equal("app"))
		Expect(queue.Limit).To(Equal(2))
		Expect(queue.Customers).To(Equal([]loadreport.Customer{{Customer: "large", InFlight: 2, Waiting: 1}, {Customer: "small", Waiting: 1}}))
	})

	It("has the slots that this process may use and those that it divides", func() {
		server := rpc.NewServer()
		Expect(n.shares.Register(server)).To(Succeed())
		near, far := net.Pipe()
		go server.ServeConn(far)
		client := rpc.NewClient(near)
		DeferCleanup(client.Close)
		for i, waiting := range []int{1, 20} {
			report := fairshare.Report{
				Process: fmt.Sprint("edge-", i+1), Service: "app", At: time.Now(), Slots: 18,
				Demands: []fairshare.Demand{{Customer: "large", Weight: 1, InFlight: 1, Waiting: waiting}},
			}
			Expect(client.Call("Shares.Exchange", report, &fairshare.Allotment{})).To(Succeed())
		}
		Expect(read().Shares.Divided).To(HaveLen(1))
		division := read().Shares.Divided[0]
		Expect(division.Service).To(Equal("app"))
		Expect(division.Capacity).To(Equal(18))
		Expect(division.Processes).To(HaveLen(2))
		Expect(division.Processes[0].Process).To(Equal("edge-2"))
		Expect(division.Processes[0].Demand).To(Equal(21))

		s := reportShare(&fairshare.ServiceStatus{Service: "app", Pressed: true, Worker: "w", Slots: 3, Valid: true, Level: 1.5, Processes: 2, Customers: map[string]int{"large": 1}})
		Expect(s).To(Equal(loadreport.ServiceShare{
			Service: "app", Pressed: true, Worker: "w", Slots: 3, Valid: true, Level: 1.5, Processes: 2, Customers: []loadreport.CustomerShare{{Customer: "large", Slots: 1}},
		}))
	})

	It("has the requests under which endpoints ended", func() {
		n.quarantine.ConnectionLost(quarantine.Request{ID: "r", Fingerprint: 0xff, Method: "GET", Host: "h", Path: "/look/x"}, &deployment.Endpoint{ID: "i-0", StartedAtMillis: 1})
		suspects := read().Suspects.Requests
		Expect(suspects).To(HaveLen(1))
		Expect(suspects[0].Fingerprint).To(Equal("00000000000000ff"))
		Expect(suspects[0].Endpoints).To(Equal(map[string]string{"i-0": "edge-1"}))
		Expect(suspects[0].BlockedUntil.IsZero()).To(BeTrue())
	})

	// A number that JSON can't represent would cost the operator the whole report.
	It("has 0 for numbers that JSON can't represent", func() {
		Expect(reportShare(&fairshare.ServiceStatus{Level: math.Inf(1)}).Level).To(BeZero())
		Expect(finite(math.NaN())).To(BeZero())
	})
})

// route returns a route to the service "app".
func route() deployment.Route {
	return deployment.Route{
		Name: "look", Host: "h", Prefix: "/look/", Kind: deployment.NonIdempotent, Timeout: time.Minute, Objective: time.Minute, MaxAttempts: 1,
		Backends: []deployment.Backend{{Service: "app", Weight: 1}},
	}
}
