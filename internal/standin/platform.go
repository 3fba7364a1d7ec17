package standin

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"siskinloom.example/siskinloom/api/platformpb"
)

// PlatformOptions sets the limits of the platform. A zero value means no limit or
// the default.
type PlatformOptions struct {
	CallsPerSecond  float64       // key-value calls; calls above it fail with ResourceExhausted
	InstanceListLag time.Duration // age of the instance list that callers get
	WeightStoreRate int           // bytes per second, for all readers of the weight store together
	VersionBytes    int           // size of the weights of each version; 0 means 1 MiB
	ChunkBytes      int           // 0 means 256 KiB
	TLS             *tls.Config   // nil means no TLS
}

// Platform serves the key-value service, the instance list and the weight
// store on one address. It is safe for concurrent use.
type Platform struct {
	faults    *faults
	keys      *keyValue
	instances *instanceList
	server    *grpc.Server
	stop      context.CancelFunc
}

// NewPlatform returns a platform that doesn't listen yet.
func NewPlatform(o PlatformOptions) *Platform {
	f := newFaults(o.CallsPerSecond)
	p := &Platform{faults: f, keys: newKeyValue(f), instances: &instanceList{lag: o.InstanceListLag}}
	options := []grpc.ServerOption{grpc.UnaryInterceptor(f.unary), grpc.StreamInterceptor(f.stream)}
	if o.TLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(o.TLS)))
	}
	p.server = grpc.NewServer(options...)
	platformpb.RegisterKeyValueServer(p.server, p.keys)
	platformpb.RegisterInstancesServer(p.server, p.instances)
	platformpb.RegisterWeightStoreServer(p.server, newWeightStore(o))
	return p
}

// Start listens on address, such as "127.0.0.1:0", and returns the bound address.
func (p *Platform) Start(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "standin: platform")
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.keys.expireLeasesUntil(ctx)
	go func() { _ = p.server.Serve(l) }()
	return l.Addr().String(), nil
}

// Close stops the servers at once, without waiting for running calls.
func (p *Platform) Close() {
	if p.stop != nil {
		p.stop()
	}
	p.server.Stop()
}

// SetDown makes every key-value call fail and breaks the open watches, or ends the
// outage.
func (p *Platform) SetDown(on bool) { p.faults.setOutage(on) }

// SetCallDelay sets the delay of each key-value call.
func (p *Platform) SetCallDelay(d time.Duration) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.callDelay = d
}

// LoseAnswers makes the next n writes take effect without an answer.
func (p *Platform) LoseAnswers(n int) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.answersToLose = n
}

// Calls returns the number of calls by method name, including refused ones.
func (p *Platform) Calls() map[string]int {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	return maps.Clone(p.faults.calls)
}

// SetInstances replaces the instance list. Callers see the new list after
// InstanceListLag.
func (p *Platform) SetInstances(all []*platformpb.Instance) { p.instances.set(all) }

type listing struct {
	at        time.Time
	instances []*platformpb.Instance
}

type instanceList struct {
	platformpb.UnimplementedInstancesServer
	lag time.Duration

	mu      sync.Mutex
	history []listing // oldest first
}

func (l *instanceList) set(all []*platformpb.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, listing{at: time.Now(), instances: all})
}

// ListInstances returns the list as of lag ago. It ignores the deployment of the
// request, as one platform serves one deployment.
func (l *instanceList) ListInstances(context.Context, *platformpb.ListInstancesRequest) (*platformpb.ListInstancesResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := time.Now().Add(-l.lag)
	answer := &platformpb.ListInstancesResponse{}
	for _, entry := range l.history {
		if !entry.at.After(seen) {
			answer.Instances = entry.instances
		}
	}
	return answer, nil
}
