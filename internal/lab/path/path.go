// Package path measures what entry and agent add to a request: the latency and
// processor time of a lookup and of streamed tokens through them, compared with the
// same request sent directly to its endpoint, and the cost of the samples of a feed.
// Everything runs on loopback in one process.
package path

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agent"
	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/entry"
	"siskinloom.example/siskinloom/internal/entry/pool"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	service           = "ledger"
	callerKey         = "bench-key"
	lookupPath        = "/status/42"
	warmUpLookups     = 500
	sequentialLookups = 4000 // lookups sent one after the other, to measure latency
	clients           = 32   // concurrent clients, to measure throughput
	lookupsPerClient  = 1000 // lookups sent by each of them
	maxLatencyMicros  = 10e6 // largest latency that is recorded
	startTimeout      = 10 * time.Second
)

// site is the system under test: endpoints with their agents and an entry.
type site struct {
	endpoint   string // address of the first endpoint
	entry      string
	server     *entry.Server
	pool       *pool.Pool
	deployment *decl.Deployment
	log        *logrus.Logger
	stop       func()
}

// measurement holds the results of one way of sending lookups.
type measurement struct {
	latency   *hdrhistogram.Histogram // in microseconds, with one client
	perSecond float64                 // lookups per second with many clients
	cpu       float64                 // processor seconds per lookup with many clients
}

// LookupBenchmark returns the figures of lookups through entry and agent and of
// direct ones, and the latency that entry and agent add.
func LookupBenchmark() ([]bounds.Figure, error) {
	s, err := start()
	if err != nil {
		return nil, err
	}
	defer s.stop()
	direct, err := measure("http://" + s.endpoint + lookupPath)
	if err != nil {
		return nil, err
	}
	through, err := measure("http://" + s.entry + "/svc/" + service + lookupPath)
	if err != nil {
		return nil, err
	}
	added := func(quantile float64) float64 {
		return float64(through.latency.ValueAtQuantile(quantile) - direct.latency.ValueAtQuantile(quantile))
	}
	return []bounds.Figure{
		{Name: "bench.lookup_p50_us", Value: float64(through.latency.ValueAtQuantile(50))},
		{Name: "bench.lookup_p50_us.baseline", Value: float64(direct.latency.ValueAtQuantile(50))},
		{Name: "bench.lookup_p99_us", Value: float64(through.latency.ValueAtQuantile(99))},
		{Name: "bench.lookup_p99_us.baseline", Value: float64(direct.latency.ValueAtQuantile(99))},
		{Name: "bench.lookup_added_p50_us", Value: added(50)},
		{Name: "bench.lookup_added_p99_us", Value: added(99)},
		{Name: "bench.lookups_per_s", Value: through.perSecond},
		{Name: "bench.lookups_per_s.baseline", Value: direct.perSecond},
		{Name: "bench.lookups_per_core", Value: 1 / (through.cpu - direct.cpu)},
	}, nil
}

// measure sends lookups one after the other, then by many clients concurrently.
func measure(url string) (measurement, error) {
	client := &fasthttp.Client{MaxConnsPerHost: 2 * clients}
	s := measurement{latency: hdrhistogram.New(1, maxLatencyMicros, 3)}
	for i := range warmUpLookups + sequentialLookups {
		startedAt := time.Now()
		if err := lookup(client, url); err != nil {
			return s, err
		}
		if i >= warmUpLookups {
			_ = s.latency.RecordValue(time.Since(startedAt).Microseconds())
		}
	}
	cpu, startedAt := processorTime(), time.Now()
	var group errgroup.Group
	for range clients {
		group.Go(func() error {
			for range lookupsPerClient {
				if err := lookup(client, url); err != nil {
					return err
				}
			}
			return nil
		})
	}
	err := group.Wait()
	s.perSecond = clients * lookupsPerClient / time.Since(startedAt).Seconds()
	s.cpu = (processorTime() - cpu) / (clients * lookupsPerClient)
	return s, err
}

func lookup(client *fasthttp.Client, url string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+callerKey)
	if err := client.Do(req, resp); err != nil {
		return errors.Wrap(err, "lookup")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("lookup: status %d: %s", resp.StatusCode(), resp.Body())
	}
	return nil
}

// processorTime returns the processor seconds that this process has used.
func processorTime() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// start runs a plain service, its agent and an entry.
func start() (*site, error) {
	plain := standin.NewService(standin.ServiceOptions{Name: service})
	endpoint, err := plain.Start("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "path")
	}
	return startAgents(backend{service: service, kind: decl.KindPlain, endpoint: endpoint, crash: plain.Crash})
}

// backend is an endpoint that gets an agent.
type backend struct {
	service  string
	kind     decl.ServiceKind
	endpoint string
	crash    func() // stops the endpoint
}

// startAgents runs an agent for each endpoint and an entry in front of the agents.
func startAgents(all ...backend) (*site, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	entryListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "path")
	}
	d := deployment(all)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	var agents fixedLister
	for _, b := range all {
		agentListener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cancel()
			return nil, errors.Wrap(err, "path")
		}
		id := "agent-" + b.service
		a := agent.New(settings.Settings{ID: id, Service: b.service, EndpointAddress: b.endpoint}, log, metrics.NewRegistry())
		a.Configure(*d)
		group.Go(func() error { return a.Serve(ctx, agentListener) })
		agents = append(agents, kv.Instance{ID: id, Address: agentListener.Addr().String(), Role: "agent", Service: b.service})
	}
	p := pool.New(pool.Options{ID: "entry", Lister: agents, Log: log})
	group.Go(func() error { return p.Run(ctx) })
	retries := entry.NewRetryPolicy()
	e := entry.New(settings.Settings{}, log, metrics.NewRegistry(), entry.Dependencies{
		Config: fixedConfig{d}, Picker: p, Quarantine: emptyQuarantine{}, RetryBudget: retries, Hedger: retries,
	})
	group.Go(func() error { return e.ServeHTTP(ctx, entryListener) })
	s := &site{endpoint: all[0].endpoint, entry: entryListener.Addr().String(), server: e, pool: p, deployment: d, log: log, stop: func() {
		cancel()
		_ = group.Wait()
		for _, b := range all {
			b.crash()
		}
	}}
	return s, waitForAgents(p, len(all))
}

// waitForAgents blocks until the entry has contact with the number of agents.
func waitForAgents(p *pool.Pool, agents int) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		connected := 0
		p.EachAgent(func(string, entry.Endpoint) { connected++ })
		if connected == agents {
			return nil
		}
	}
	return errors.New("path: the entry did not reach every agent")
}

func deployment(all []backend) *decl.Deployment {
	digest := sha256.Sum256([]byte(callerKey))
	var services []decl.Service
	for _, b := range all {
		services = append(services, decl.Service{Name: b.service, Kind: b.kind, Slots: clients, QueueLimit: 1000, MaxBodyBytes: 1 << 10})
	}
	return &decl.Deployment{
		Name:     "bench",
		Services: services,
		Classes: []decl.Class{
			{Name: "lookup", Service: service, Match: []string{"GET /status/*"}, Idempotent: true, Deadline: 10 * time.Second},
			{Name: "draft", Service: service, Match: []string{"POST /v1/completions"}, Idempotent: true, Deadline: time.Minute},
		},
		Businesses: []decl.Business{{Name: "b", Weight: 1, RetryBudget: 0.1}},
		Agencies:   []decl.Agency{{Name: "a", Business: "b", Weight: 1}},
		Callers:    []decl.Caller{{Name: "c", Agency: "a", Weight: 1, KeySHA256: hex.EncodeToString(digest[:])}},
	}
}

// fixedLister is an instance list that never changes.
type fixedLister []kv.Instance

func (l fixedLister) Instances(context.Context, string) ([]kv.Instance, error) { return l, nil }

// fixedConfig is a configuration that never changes.
type fixedConfig struct{ d *decl.Deployment }

func (c fixedConfig) Current() *decl.Deployment { return c.d }

// emptyQuarantine is a quarantine without entries: it admits every request.
type emptyQuarantine struct{}

func (emptyQuarantine) Blocked(string, uint64) bool             { return false }
func (emptyQuarantine) ReportCrash(wire.Suspicion)              {}
func (emptyQuarantine) EndCopy(entry.RequestCopy, string, bool) {}
func (emptyQuarantine) StartCopy(_ context.Context, v entry.RequestCopy) (entry.Admission, wire.Answer, bool) {
	return entry.Admission{Endpoint: v.Endpoint}, wire.Answer{}, true
}
