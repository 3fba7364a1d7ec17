package node

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agentless/gate"
	"siskinloom.example/siskinloom/internal/agentless/loadreport"
	"siskinloom.example/siskinloom/internal/netdial"
	"siskinloom.example/siskinloom/internal/observe"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/fairshare"
)

// serveMetrics serves the metrics and the report of the load until ctx ends, if there is an
// address for them.
func (n *Node) serveMetrics(ctx context.Context, group *errgroup.Group) error {
	if n.settings.MetricsAddress == "" {
		return nil
	}
	listener, err := netdial.ListenCallers(n.settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "node: metrics address")
	}
	server := n.metricsServer()
	group.Go(func() error { return server.Serve(ctx, listener) })
	return nil
}

func (n *Node) metricsServer() observe.Server {
	return observe.Server{Registry: n.registry, Ready: n.Ready, Load: n.loadReport, Log: n.log}
}

// loadReport returns what this process knows of its load. Each part is a snapshot of its own.
func (n *Node) loadReport() any {
	now := time.Now()
	r := &loadreport.Report{
		Format: loadreport.Format, Process: n.settings.ID, At: now.UTC(),
		Speeds: n.reportSpeeds(now), Queues: reportQueues(n.gate.QueueStatus()), Shares: n.reportShares(), Suspects: n.reportSuspects(),
	}
	if table := n.directory.Table(); table != nil {
		r.Declaration = table.Declaration.Version
	}
	r.Bound()
	return r
}

func (n *Node) reportSpeeds(now time.Time) *loadreport.Speeds {
	all := &loadreport.Speeds{}
	for _, service := range slices.Sorted(maps.Keys(n.directory.Counts())) {
		s := n.directory.Speeds(service)
		one := loadreport.ServiceSpeeds{Service: service, Uneven: s.Uneven, Median: finite(s.Median), Slope: finite(s.Slope)}
		for i := range s.Endpoints {
			one.Endpoints = append(one.Endpoints, reportSpeed(now, &s.Endpoints[i]))
		}
		all.Services = append(all.Services, one)
	}
	return all
}

func reportSpeed(now time.Time, e *endpoints.EndpointSpeed) loadreport.EndpointSpeed {
	one := loadreport.EndpointSpeed{
		ID: e.ID, Seconds: finite(e.Seconds), Lasting: finite(e.Lasting), Units: e.Units, AgeMillis: -1, InFlight: e.InFlight,
	}
	if e.Units > 0 {
		one.AgeMillis = max(0, now.Sub(e.At).Milliseconds())
	}
	return one
}

func reportQueues(queues []gate.QueueStatus) *loadreport.Queues {
	all := &loadreport.Queues{}
	for _, q := range queues {
		one := loadreport.Queue{
			Service: q.Service, Limit: q.Limit, Learned: q.Learned, Assigned: q.Assigned, InFlight: q.InFlight, Waiting: q.Waiting,
			QueueLimit: q.QueueLimit, Refused: q.Refused,
		}
		for _, c := range q.Customers {
			one.Customers = append(one.Customers, loadreport.Customer(c))
		}
		all.Services = append(all.Services, one)
	}
	return all
}

func (n *Node) reportShares() *loadreport.Shares {
	status := n.shares.Status()
	all := &loadreport.Shares{}
	for i := range status.Services {
		all.Services = append(all.Services, reportShare(&status.Services[i]))
	}
	for _, d := range status.Divided {
		one := loadreport.Division{Service: d.Service, Capacity: d.Capacity, Level: finite(d.Level)}
		for _, s := range d.Shares {
			one.Processes = append(one.Processes, loadreport.ProcessShare(s))
		}
		all.Divided = append(all.Divided, one)
	}
	return all
}

func reportShare(s *fairshare.ServiceStatus) loadreport.ServiceShare {
	one := loadreport.ServiceShare{
		Service: s.Service, Pressed: s.Pressed, Worker: s.Worker, Slots: s.Slots, Valid: s.Valid, Level: finite(s.Level), Processes: s.Processes,
	}
	for customer, slots := range s.Customers {
		one.Customers = append(one.Customers, loadreport.CustomerShare{Customer: customer, Slots: slots})
	}
	return one
}

func (n *Node) reportSuspects() *loadreport.Suspects {
	all := &loadreport.Suspects{}
	for _, s := range n.quarantine.Status() {
		all.Requests = append(all.Requests, loadreport.Suspect{
			Fingerprint: s.Fingerprint, Endpoints: s.Endpoints, BlockedUntil: s.BlockedUntil.UTC(), Contested: s.Contested, Running: s.Running,
		})
	}
	return all
}

// finite returns a number that JSON can represent: 0 for one that is infinite or not a number.
func finite(x float64) float64 {
	if math.IsInf(x, 0) || math.IsNaN(x) {
		return 0
	}
	return x
}
