package sharerun

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/fairshare"
)

// Names of the net/rpc service and its method.
const (
	serviceName  = "Shares"
	callExchange = serviceName + ".Exchange"
)

// errUnknownWorker is the error of a call to a worker that is no longer listed.
var errUnknownWorker = errors.New("sharerun: the worker is not listed")

// send sends a report and records its answer.
func (r *Runner) send(ctx context.Context, call fairshare.Call) {
	r.stats.reports.Inc(1)
	allotment, err := r.exchange(ctx, &call)
	now := time.Now()
	var change fairshare.Change
	var faults []error
	r.mu.Lock()
	if err != nil {
		change = r.client.Failed(now, call)
	} else {
		change, faults = r.client.Answered(now, call, allotment)
	}
	r.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		r.stats.failed.Inc(1)
		if change.Unanswered || change.Worker != "" {
			r.lines.log(r.Log, events.SharesNotSent, call.Worker, logrus.Fields{"to": call.Worker, "service": call.Report.Service, "error": err.Error()})
		}
	}
	r.logUnused(call.Worker, faults)
	r.logChange(call.Report.Service, change)
	if err == nil && r.Changed != nil {
		r.Changed(call.Report.Service)
	}
}

// exchange calls a worker. The first call that is not answered in time leaves the connection open
// for the other calls on it; a second one closes it, as it may be silent forever.
func (r *Runner) exchange(ctx context.Context, call *fairshare.Call) (reply fairshare.Allotment, err error) {
	if call.Worker == r.Self.Name {
		return r.tables.exchange(call.Report)
	}
	worker, listed := r.Members.Get(call.Worker)
	if !listed {
		return reply, errUnknownWorker
	}
	var cancel context.CancelFunc
	if call.Again {
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
	} else {
		ctx, cancel = context.WithCancel(ctx)
		defer time.AfterFunc(callTimeout, cancel).Stop()
	}
	defer cancel()
	answered := &fairshare.Allotment{} // a late answer must not be written to reply
	if err := r.Peers.Call(ctx, worker.Address, callExchange, call.Report, answered); err != nil {
		return reply, err
	}
	return *answered, nil
}

// Register registers the net/rpc service that divides slots, on a worker.
func (r *Runner) Register(server *rpc.Server) error {
	return errors.Wrap(server.RegisterName(serviceName, &Service{tables: r.tables}), "sharerun")
}

// Service is the net/rpc service that receives reports of other processes.
type Service struct{ tables *tables }

// Exchange records a process's report and returns its allotment.
func (s *Service) Exchange(report fairshare.Report, reply *fairshare.Allotment) (err error) {
	*reply, err = s.tables.exchange(report)
	return err
}

// tables holds the reports that this process received. It has a lock of its own: a division for a
// large fleet takes milliseconds, in which no request may wait.
type tables struct {
	runner *Runner
	mu     sync.Mutex
	table  *fairshare.Table
}

// exchange records a report and returns the allotment of its process. Reports are recorded in the
// order of their times.
func (t *tables) exchange(report fairshare.Report) (fairshare.Allotment, error) {
	t.runner.stats.received.Inc(1)
	usable, faults, err := report.Check(time.Now())
	if err != nil {
		return fairshare.Allotment{}, err
	}
	t.runner.logUnused(usable.Process, faults)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Exchange(time.Now(), usable)
}

func (t *tables) status(now time.Time) []fairshare.DivisionStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Status(now)
}

// logUnused logs and counts the values of a message that were not used.
func (r *Runner) logUnused(from string, faults []error) {
	if len(faults) == 0 {
		return
	}
	r.stats.unused.Inc(int64(len(faults)))
	for _, fault := range faults {
		var field *fairshare.FieldError
		if errors.As(fault, &field) {
			r.lines.log(r.Log, events.SharesValueUnused, from+" "+field.Field, logrus.Fields{"from": from, "field": field.Field, "value": field.Value})
		}
	}
}
