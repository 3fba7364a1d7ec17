// Package path times a lookup through an entry and an agent against the same
// lookup straight to its endpoint, all on loopback in one process.
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
	service    = "ledger"
	callerKey  = "bench-key"
	lookupPath = "/status/42"
	warmUp     = 500
	alone      = 4000 // lookups one after the other, for latency
	crowd      = 32   // clients at once, for throughput
	perClient  = 1000 // lookups of each
	maxMicros  = 10e6 // longest latency recorded
	startLimit = 10 * time.Second
)

// site is the process under test.
type site struct {
	endpoint   string // of the first service
	entry      string
	server     *entry.Server
	pool       *pool.Pool
	deployment *decl.Deployment
	log        *logrus.Logger
	stop       func()
}

// sample is what one way of sending lookups gave.
type sample struct {
	latency   *hdrhistogram.Histogram // microseconds, one client
	perSecond float64                 // many clients
	cpu       float64                 // processor seconds a lookup, many clients
}

// LookupBenchmark returns the figures of both ways and what the way through entry
// and agent adds.
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

// measure sends lookups one after the other, then by many clients at once.
func measure(url string) (sample, error) {
	client := &fasthttp.Client{MaxConnsPerHost: 2 * crowd}
	s := sample{latency: hdrhistogram.New(1, maxMicros, 3)}
	for i := range warmUp + alone {
		begun := time.Now()
		if err := lookup(client, url); err != nil {
			return s, err
		}
		if i >= warmUp {
			_ = s.latency.RecordValue(time.Since(begun).Microseconds())
		}
	}
	cpu, begun := processorTime(), time.Now()
	var group errgroup.Group
	for range crowd {
		group.Go(func() error {
			for range perClient {
				if err := lookup(client, url); err != nil {
					return err
				}
			}
			return nil
		})
	}
	err := group.Wait()
	s.perSecond = crowd * perClient / time.Since(begun).Seconds()
	s.cpu = (processorTime() - cpu) / (crowd * perClient)
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
	return startBefore(backend{service: service, kind: decl.KindPlain, endpoint: endpoint, crash: plain.Crash})
}

// backend is an endpoint to put an agent before.
type backend struct {
	service  string
	kind     decl.ServiceKind
	endpoint string
	crash    func() // ends it
}

// startBefore runs an agent for each endpoint and an entry before them.
func startBefore(all ...backend) (*site, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "path")
	}
	d := deployment(all)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	var agents lister
	for _, b := range all {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cancel()
			return nil, errors.Wrap(err, "path")
		}
		id := "agent-" + b.service
		a := agent.New(settings.Settings{ID: id, Service: b.service, EndpointAddress: b.endpoint}, log, metrics.NewRegistry())
		a.Configure(*d)
		group.Go(func() error { return a.Serve(ctx, inner) })
		agents = append(agents, kv.Instance{ID: id, Address: inner.Addr().String(), Role: "agent", Service: b.service})
	}
	p := pool.New(pool.Options{ID: "entry", Lister: agents, Log: log})
	group.Go(func() error { return p.Run(ctx) })
	retries := entry.NewRetryPolicy()
	e := entry.New(settings.Settings{}, log, metrics.NewRegistry(), entry.Dependencies{
		Config: config{d}, Picker: p, Quarantine: clean{}, RetryBudget: retries, Hedger: retries,
	})
	group.Go(func() error { return e.ServeHTTP(ctx, front) })
	s := &site{endpoint: all[0].endpoint, entry: front.Addr().String(), server: e, pool: p, deployment: d, log: log, stop: func() {
		cancel()
		_ = group.Wait()
		for _, b := range all {
			b.crash()
		}
	}}
	return s, waitUsable(p, len(all))
}

// waitUsable waits until the agents of so many endpoints are heard.
func waitUsable(p *pool.Pool, agents int) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		heard := 0
		p.EachAgent(func(string, entry.Endpoint) { heard++ })
		if heard == agents {
			return nil
		}
	}
	return errors.New("path: the entry did not reach every agent")
}

func deployment(all []backend) *decl.Deployment {
	digest := sha256.Sum256([]byte(callerKey))
	var services []decl.Service
	for _, b := range all {
		services = append(services, decl.Service{Name: b.service, Kind: b.kind, Slots: crowd, QueueLimit: 1000, MaxBodyBytes: 1 << 10})
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

// lister is a list that never changes.
type lister []kv.Instance

func (l lister) Instances(context.Context, string) ([]kv.Instance, error) { return l, nil }

type config struct{ d *decl.Deployment }

func (c config) Current() *decl.Deployment { return c.d }

// clean is a quarantine that knows no request.
type clean struct{}

func (clean) Blocked(string, uint64) bool             { return false }
func (clean) ReportCrash(wire.Suspicion)              {}
func (clean) EndCopy(entry.RequestCopy, string, bool) {}
func (clean) StartCopy(_ context.Context, v entry.RequestCopy) (entry.Admission, wire.Answer, bool) {
	return entry.Admission{Endpoint: v.Endpoint}, wire.Answer{}, true
}
