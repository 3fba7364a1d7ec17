package kv_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"

	"siskinloom.example/siskinloom/api/platformpb"
	"siskinloom.example/siskinloom/internal/kv"
)

func TestKV(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kv")
}

// service is an in-memory key-value service. The hooks before and after run at
// each write, before and after it takes effect; an error that one of them returns
// is the response to the call.
type service struct {
	platformpb.UnimplementedKeyValueServer
	mu            sync.Mutex
	revision      int64
	records       map[string]*platformpb.Record
	before, after func(*platformpb.CompareAndSwapRequest) error
	onGet         func() error
	gets          int
}

func (s *service) Get(_ context.Context, r *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	if s.onGet != nil {
		if err := s.onGet(); err != nil {
			return nil, err
		}
	}
	return &platformpb.GetResponse{Record: s.current(r.Key)}, nil
}

func (s *service) current(key string) *platformpb.Record {
	if r, found := s.records[key]; found {
		return r
	}
	return &platformpb.Record{Key: key}
}

func (s *service) CompareAndSwap(_ context.Context, r *platformpb.CompareAndSwapRequest) (*platformpb.CompareAndSwapResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.before != nil {
		if err := s.before(r); err != nil {
			return nil, err
		}
	}
	swapped := s.apply(r)
	if s.after != nil {
		if err := s.after(r); err != nil {
			return nil, err
		}
	}
	return &platformpb.CompareAndSwapResponse{Swapped: swapped, Current: s.current(r.Key)}, nil
}

func (s *service) apply(r *platformpb.CompareAndSwapRequest) bool {
	if s.current(r.Key).Revision != r.ExpectedRevision {
		return false
	}
	s.revision++
	if r.Delete {
		delete(s.records, r.Key)
		return true
	}
	s.records[r.Key] = &platformpb.Record{Key: r.Key, Value: r.Value, Revision: s.revision}
	return true
}

func (s *service) Watch(_ *platformpb.WatchRequest, stream grpc.ServerStreamingServer[platformpb.WatchResponse]) error {
	_ = stream.Send(&platformpb.WatchResponse{Records: []*platformpb.Record{{Key: "w", Value: []byte("plain"), Revision: 1}}})
	<-stream.Context().Done()
	return stream.Context().Err()
}

// failFirst returns a hook that returns err for the first n calls.
func failFirst(n int, err error) func(*platformpb.CompareAndSwapRequest) error {
	return func(*platformpb.CompareAndSwapRequest) error {
		if n--; n >= 0 {
			return err
		}
		return nil
	}
}

var errResponseLost = status.Error(codes.Unavailable, "response lost")

var _ = Describe("Client", func() {
	var s *service
	var client *kv.Client
	var registry metrics.Registry
	var ctx context.Context
	var conns *connections

	BeforeEach(func() {
		s = &service{records: map[string]*platformpb.Record{}}
		listener := bufconn.Listen(1 << 20)
		server := grpc.NewServer()
		platformpb.RegisterKeyValueServer(server, s)
		go func() { _ = server.Serve(listener) }()
		registry = metrics.NewRegistry()
		conns = &connections{listener: listener}
		var err error
		client, err = kv.NewClient(kv.Options{
			Address:          "passthrough:platform",
			Writer:           "entry-1",
			CallsPerSec:      1000,
			CallTimeout:      300 * time.Millisecond,
			MaxWatchDuration: 300 * time.Millisecond,
			Metrics:          registry,
			Dial:             []grpc.DialOption{grpc.WithContextDialer(conns.dial)},
		})
		Expect(err).NotTo(HaveOccurred())
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
		DeferCleanup(func() {
			cancel()
			_ = client.Close()
			server.Stop()
		})
	})

	count := func(name string) int64 {
		return metrics.GetOrRegisterCounter(name, registry).Count()
	}

	It("writes, reads back and returns the stored record on a conflict", func() {
		swapped, current, err := client.CompareAndSwap(ctx, kv.UseClaim, kv.Write{Key: "a", Value: []byte("1")})
		Expect(err).NotTo(HaveOccurred())
		Expect(swapped).To(BeTrue())
		Expect(current.Value).To(Equal([]byte("1")))
		swapped, current, err = client.CompareAndSwap(ctx, kv.UseClaim, kv.Write{Key: "a", Value: []byte("2")})
		Expect(err).NotTo(HaveOccurred())
		Expect(swapped).To(BeFalse())
		Expect(current.Revision).To(Equal(int64(1)))
		Expect(client.Get(ctx, kv.UseClaim, "a")).To(Equal(kv.Record{Key: "a", Value: []byte("1"), Revision: 1}))
		Expect(count("kv.calls.claim")).To(Equal(int64(3)))
	})

	// The write takes effect and its response is lost. A writer that treats this
	// as a failure would write again and get a conflict with its own write.
	It("determines the outcome of a write whose response was lost", func() {
		s.after = failFirst(1, errResponseLost)
		swapped, current, err := client.CompareAndSwap(ctx, kv.UseClaim, kv.Write{Key: "a", Value: []byte("1")})
		Expect(err).NotTo(HaveOccurred())
		Expect(swapped).To(BeTrue())
		Expect(current.Value).To(Equal([]byte("1")))
		Expect(s.revision).To(Equal(int64(1)))
	})

	// The request is delayed in the network and reaches the service only after the
	// read that should determine its outcome. If the client concluded from the old
	// revision that the write had no effect, the write would take effect later
	// although its writer was told that it failed.
	It("does not conclude from an unchanged revision that the write had no effect", func() {
		var late *platformpb.CompareAndSwapRequest
		s.before = func(r *platformpb.CompareAndSwapRequest) error {
			if late == nil {
				late = r
				return errResponseLost
			}
			s.apply(late)
			return nil
		}
		swapped, _, err := client.CompareAndSwap(ctx, kv.UseClaim, kv.Write{Key: "a", Value: []byte("1")})
		Expect(err).NotTo(HaveOccurred())
		Expect(swapped).To(BeTrue())
		Expect(s.revision).To(Equal(int64(1)), "it took effect once")
	})

	// Another writer wrote the same bytes afterwards. Only the nonce tells which
	// write is stored, and whether the first one took effect cannot be determined.
	It("returns ErrUnknown when the key holds another write after a lost response", func() {
		s.after = func(r *platformpb.CompareAndSwapRequest) error {
			s.after = nil
			s.revision++
			s.records["a"] = &platformpb.Record{Key: "a", Value: []byte("1"), Revision: s.revision}
			return errResponseLost
		}
		_, current, err := client.CompareAndSwap(ctx, kv.UseClaim, kv.Write{Key: "a", Value: []byte("1")})
		Expect(err).To(MatchError(kv.ErrUnknown))
		Expect(current.Revision).To(Equal(int64(2)))
		Expect(count("kv.unknown.claim")).To(Equal(int64(1)))
	})

	It("returns ErrUnknown while the service is unavailable, and then fails fast without sending", func() {
		s.before = failFirst(100, errResponseLost)
		s.onGet = func() error { return errResponseLost }
		_, _, err := client.CompareAndSwap(ctx, kv.UseClaim, kv.Write{Key: "a", Value: []byte("1")})
		Expect(err).To(MatchError(kv.ErrUnknown))
		Expect(client.State()).To(Equal("down"))
		_, _, err = client.CompareAndSwap(ctx, kv.UseClaim, kv.Write{Key: "a", Value: []byte("1")})
		Expect(err).To(MatchError(kv.ErrUnavailable))
		s.mu.Lock()
		s.before, s.onGet = nil, nil
		s.mu.Unlock()
		Eventually(func() error {
			_, err := client.Get(ctx, kv.UseConfig, "a")
			return err
		}).WithTimeout(10 * time.Second).Should(Succeed())
		Expect(client.State()).To(Equal("up"))
	})

	// A device between the two ends has lost the connection's state: every call on
	// it times out although the service works.
	It("dials a new connection when calls time out on a silent one", func() {
		Expect(client.Get(ctx, kv.UseConfig, "a")).To(HaveField("Revision", int64(0)))
		conns.silence()
		Eventually(func() error {
			_, err := client.Get(ctx, kv.UseConfig, "a")
			return err
		}).WithTimeout(10 * time.Second).Should(Succeed())
	})

	It("ends a watch after MaxWatchDuration", func() {
		var got []kv.Record
		Expect(client.Watch(ctx, kv.UseConfig, "w", 0, func(r []kv.Record) { got = append(got, r...) })).To(Succeed())
		Expect(got).To(Equal([]kv.Record{{Key: "w", Value: []byte("plain"), Revision: 1}}))
	})

	It("rejects a value that is too large for the service", func() {
		_, _, err := client.CompareAndSwap(ctx, kv.UseClaim, kv.Write{Key: "a", Value: make([]byte, kv.MaxValueBytes)})
		Expect(err).To(MatchError(ContainSubstring("more than")))
	})
})

// connections dials the listener and can make the currently open connections
// drop everything that is written to them.
type connections struct {
	listener *bufconn.Listener
	mu       sync.Mutex
	open     []*silenceable
}

// silenceable is a connection that drops what is written to it once silent is set.
type silenceable struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

func (c *silenceable) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *connections) dial(ctx context.Context, _ string) (net.Conn, error) {
	conn, err := c.listener.DialContext(ctx)
	if err != nil {
		return nil, err
	}
	wrapped := &silenceable{Conn: conn}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = append(c.open, wrapped)
	return wrapped, nil
}

// silence makes the open connections drop what is written to them.
func (c *connections) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		conn.mu.Lock()
		conn.silent = true
		conn.mu.Unlock()
	}
}
