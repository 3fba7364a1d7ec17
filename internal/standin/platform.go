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

// PlatformOptions sets the platform's limits. Zero values lift them.
type PlatformOptions struct {
	CallsPerSecond  float64       // key-value calls; more get ResourceExhausted
	InstanceListLag time.Duration // age of the instance list that callers see
	WeightStoreRate int           // bytes per second of the whole weight store
	VersionBytes    int           // size of each version's weights; 0: 1 MiB
	ChunkBytes      int           // 0: 256 KiB
	TLS             *tls.Config   // nil: plain
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

// NewPlatform returns a platform that does not listen yet.
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

// Start listens on address, such as "127.0.0.1:0", and returns the one bound.
func (p *Platform) Start(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "standin: platform")
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.keys.sweep(ctx)
	go func() { _ = p.server.Serve(l) }()
	return l.Addr().String(), nil
}

// Close stops serving at once.
func (p *Platform) Close() {
	if p.stop != nil {
		p.stop()
	}
	p.server.Stop()
}

// SetDown makes every key-value call fail, and breaks watches, while on.
func (p *Platform) SetDown(on bool) { p.faults.setOutage(on) }

// SetCallDelay delays each key-value call.
func (p *Platform) SetCallDelay(d time.Duration) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.slow = d
}

// LoseAnswers loses the answers of the next n writes after they took effect.
func (p *Platform) LoseAnswers(n int) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.lose = n
}

// Calls returns the number of calls by method name, refused ones included.
func (p *Platform) Calls() map[string]int {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	return maps.Clone(p.faults.calls)
}

// SetInstances replaces the instance list; callers see it after the lag.
func (p *Platform) SetInstances(all []*platformpb.Instance) { p.instances.set(all) }

type listing struct {
	at        time.Time
	instances []*platformpb.Instance
}

type instanceList struct {
	platformpb.UnimplementedInstancesServer
	lag time.Duration

	mu   sync.Mutex
	past []listing // oldest first
}

func (l *instanceList) set(all []*platformpb.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.past = append(l.past, listing{at: time.Now(), instances: all})
}

// ListInstances returns the list as it was the lag ago. The deployment is not
// looked at: one stand-in serves one deployment.
func (l *instanceList) ListInstances(context.Context, *platformpb.ListInstancesRequest) (*platformpb.ListInstancesResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := time.Now().Add(-l.lag)
	answer := &platformpb.ListInstancesResponse{}
	for _, entry := range l.past {
		if !entry.at.After(seen) {
			answer.Instances = entry.instances
		}
	}
	return answer, nil
}
