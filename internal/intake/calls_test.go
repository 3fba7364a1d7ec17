package intake_test

import (
	"context"
	"net"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/internal/intake"
)

// blockingOperator answers calls once released is closed.
type blockingOperator struct {
	operatorpb.UnimplementedOperatorServer
	entered, released chan struct{}
}

// Status implements operatorpb.OperatorServer.
func (o *blockingOperator) Status(context.Context, *operatorpb.StatusRequest) (*operatorpb.StatusResponse, error) {
	o.entered <- struct{}{}
	<-o.released
	return &operatorpb.StatusResponse{}, nil
}

var _ = Describe("a gRPC server whose callers are bounded", func() {
	const memory = 8 << 20 // a quarter of it is for requests
	var registry metrics.Registry
	var operator *blockingOperator
	var client operatorpb.OperatorClient

	BeforeEach(func() {
		registry = metrics.NewRegistry()
		calls := intake.NewCalls(intake.New(intake.Options{Memory: memory}, discardLog(), registry))
		operator = &blockingOperator{entered: make(chan struct{}, 100), released: make(chan struct{})}
		server := grpc.NewServer(grpc.StatsHandler(calls), grpc.MaxConcurrentStreams(intake.MaxCallsPerConn), grpc.MaxHeaderListSize(intake.MaxCallHeaderBytes))
		operatorpb.RegisterOperatorServer(server, operator)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(calls.Listen(listener)) }()
		DeferCleanup(server.Stop)
		conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		client = operatorpb.NewOperatorClient(conn)
	})

	held := func() int64 { return metrics.GetOrRegisterGauge("callers.memory", registry).Value() }
	ask := func(length int) error {
		_, err := client.Status(context.Background(), &operatorpb.StatusRequest{Deployment: strings.Repeat("a", length)})
		return err
	}

	It("holds no memory of messages that have arrived, and none at all between calls", func() {
		const concurrent, length = 8, 100 << 10
		var askers sync.WaitGroup
		for range concurrent {
			askers.Go(func() {
				defer GinkgoRecover()
				Expect(ask(length)).To(Succeed())
			})
		}
		for range concurrent {
			Eventually(operator.entered).Should(Receive())
		}
		Expect(held()).To(BeNumerically("<", concurrent*length), "messages")
		Expect(held()).To(BeNumerically(">", 0), "calls")
		close(operator.released)
		askers.Wait()
		Eventually(held).Should(BeZero())
		Expect(metrics.GetOrRegisterGauge("callers.connections", registry).Value()).To(Equal(int64(1)))
	})

	// Guards against messages that are held for as long as their senders like.
	It("ends the connection of a message for which there is no memory, and serves the next call", func() {
		close(operator.released)
		err := ask(3 << 20)
		Expect(status.Code(err)).To(Equal(codes.Unavailable))
		Expect(metrics.GetOrRegisterCounter("callers.refused.memory", registry).Count()).To(BeNumerically(">=", 1))
		Eventually(func() error { return ask(10) }).Should(Succeed())
		Eventually(held).Should(BeZero())
	})
})
