// Package sharerun exchanges demands and allotments of services between processes, so that the
// customers of a service that is under pressure get fair parts of its slots. Package
// policy/fairshare makes the decisions. Nothing is sent while no service is under pressure.
package sharerun

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/periodic"
	"siskinloom.example/siskinloom/internal/policy/fairshare"
	"siskinloom.example/siskinloom/internal/policy/routes"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// checkInterval is how often the services are checked: four times per report, so that a
	// service that comes under pressure is reported soon.
	checkInterval = 25 * time.Millisecond
	// callTimeout is the time-out of a call. After two of them the next worker is asked, within
	// a second.
	callTimeout = 300 * time.Millisecond
)

// DemandSource is a component that sends requests to services on behalf of customers.
type DemandSource interface {
	// Demands returns the requests in flight and waiting by customer; only customers with any.
	Demands(service string) []fairshare.Demand
}

// Directory provides what a process knows of the services.
type Directory interface {
	Table() *routes.Table
	Usage(service string) directory.Usage
}

// Config holds the components that a Runner uses.
type Config struct {
	Self      cluster.Member
	Directory Directory
	Members   *cluster.Members
	Peers     *rpcpool.Pool
	Switches  *mechanism.Switches // may be nil
	Log       *logrus.Logger
	Registry  metrics.Registry
}

// Runner reports this process's demand for services under pressure and holds its allotments. On a
// worker it also divides the slots of services. It is safe for concurrent use.
type Runner struct {
	Config
	// Changed is called after the slots of a service changed; it may be nil. It must not block.
	Changed func(service string)

	sources []DemandSource // set before Run
	calls   errgroup.Group
	lines   lineLimit
	stats   stats

	active atomic.Bool // the client has services; keeps requests from locking while there are none
	mu     sync.Mutex
	client *fairshare.Client
	tables *tables
}

type stats struct {
	pressed  metrics.Gauge
	reports  metrics.Counter
	failed   metrics.Counter
	received metrics.Counter
	unused   metrics.Counter
}

// New returns a Runner.
func New(c Config) *Runner {
	r := &Runner{
		Config: c, client: fairshare.NewClient(c.Self.Name),
		stats: stats{
			pressed:  metrics.GetOrRegisterGauge("shares.services", c.Registry),
			reports:  metrics.GetOrRegisterCounter("shares.reports.sent", c.Registry),
			failed:   metrics.GetOrRegisterCounter("shares.reports.failed", c.Registry),
			received: metrics.GetOrRegisterCounter("shares.reports.received", c.Registry),
			unused:   metrics.GetOrRegisterCounter("shares.values.unused", c.Registry),
		},
	}
	r.tables = &tables{runner: r, table: fairshare.NewTable()}
	return r
}

// AddSource adds a component whose demand is reported. It must be called before Run.
func (r *Runner) AddSource(s DemandSource) { r.sources = append(r.sources, s) }

// Run reports demand until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	periodic.Run(ctx, checkInterval, func(now time.Time) { r.check(ctx, now) })
	return r.calls.Wait()
}

// check checks all services and sends the reports that are due.
func (r *Runner) check(ctx context.Context, now time.Time) {
	table := r.Directory.Table()
	if table == nil || len(table.Declaration.Customers) == 0 || !r.Switches.On(mechanism.ShareSlots) {
		r.reset()
		return
	}
	r.retain(table.Declaration.Services)
	fleet := fairshare.Fleet{}
	for name, service := range table.Declaration.Services {
		// The endpoints of models are divided by the owners of jobs, see batchrun.LoadArgs.
		if len(service.Models) > 0 {
			continue
		}
		view := r.view(name)
		if fleet.Workers == nil && !r.idle(now, &view) {
			fleet = r.fleet()
		}
		r.mu.Lock()
		calls, change := r.client.Check(now, view, fleet)
		r.publish()
		r.mu.Unlock()
		r.logChange(name, change)
		for _, call := range calls {
			r.calls.Go(func() error { r.send(ctx, call); return nil })
		}
	}
}

// retain forgets the shares of services that are no longer declared or that now serve models.
func (r *Runner) retain(declared map[string]deployment.Service) {
	if !r.active.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.client.Retain(func(name string) bool {
		service, found := declared[name]
		return found && len(service.Models) == 0
	})
	r.publish()
}

// idle returns whether a check of the service needs no knowledge of the fleet.
func (r *Runner) idle(now time.Time, v *fairshare.View) bool {
	return !r.active.Load() && !fairshare.UnderPressure(now, v)
}

// reset forgets all allotments.
func (r *Runner) reset() {
	if !r.active.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.client.Reset()
	r.publish()
}

// publish updates what is read without the lock. mu must be held.
func (r *Runner) publish() {
	services := r.client.Services()
	r.active.Store(services > 0)
	r.stats.pressed.Update(int64(services))
}

// view returns what this process knows of a service. An owner of jobs leaves one slot of each
// endpoint to callers: lookups that come while no entry reports find it free.
func (r *Runner) view(service string) fairshare.View {
	usage := r.Directory.Usage(service)
	v := fairshare.View{Service: service, Slots: usage.Slots, InFlight: usage.InFlight, FullAt: usage.FullAt}
	if r.Self.Worker {
		v.Slots = max(min(1, usage.Slots), usage.Slots-usage.Endpoints)
	}
	for _, s := range r.sources {
		v.Demands = append(v.Demands, s.Demands(service)...)
	}
	return v
}

// fleet returns what this process knows of the others.
func (r *Runner) fleet() fairshare.Fleet {
	f := fairshare.Fleet{}
	for _, m := range r.Members.Tree().Roots {
		f.Workers = append(f.Workers, m.Name)
	}
	for _, m := range r.Members.Live() {
		if !m.Worker {
			f.Entries++
		}
	}
	return f
}

// Slots returns how many requests this process may have in flight at a service, and whether this
// is limited now.
func (r *Runner) Slots(service string) (slots int, known bool) {
	if !r.active.Load() {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.client.Slots(time.Now(), service)
}

// CustomerSlots returns how many requests of a customer this process may have in flight at a
// service, if the customer is limited there. The number may be 0 until the next allotment.
func (r *Runner) CustomerSlots(service, customer string) (slots int, limited bool) {
	if !r.active.Load() {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.client.CustomerSlots(time.Now(), service, customer)
}

// Status describes the shares of services in this process.
type Status struct {
	Services []fairshare.ServiceStatus  // that this process reports, sorted
	Divided  []fairshare.DivisionStatus // whose slots this process divides, sorted
}

// Status returns the shares for operators.
func (r *Runner) Status() Status {
	now := time.Now()
	r.mu.Lock()
	s := Status{Services: r.client.Status(now)}
	r.mu.Unlock()
	s.Divided = r.tables.status(now)
	sort.Slice(s.Services, func(i, j int) bool { return s.Services[i].Service < s.Services[j].Service })
	sort.Slice(s.Divided, func(i, j int) bool { return s.Divided[i].Service < s.Divided[j].Service })
	return s
}

// logChange logs what a step of the client changed.
func (r *Runner) logChange(service string, c fairshare.Change) {
	fields := logrus.Fields{"service": service}
	switch {
	case c.Began:
		r.lines.log(r.Log, events.SharesBegan, service, fields)
	case c.Ended:
		r.lines.log(r.Log, events.SharesEnded, service, fields)
	}
	if c.NoAllotment {
		slots, _ := r.Slots(service)
		r.lines.log(r.Log, events.SharesExpired, service, logrus.Fields{"service": service, "slots": slots})
	}
	if c.Worker != "" {
		r.lines.log(r.Log, events.SharesWorker, service, logrus.Fields{"service": service, "worker": c.Worker})
	}
}
