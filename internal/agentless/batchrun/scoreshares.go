package batchrun

import (
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/fairshare"
)

// deniedTTL is how long the texts of a job count as waiting for a service after a scoring call
// could not be made: several times the interval at which that is tried again.
const deniedTTL = 200 * time.Millisecond

// Shares reports how much of a service this process may use now. It is implemented by
// sharerun.Runner.
type Shares interface {
	Slots(service string) (slots int, known bool)
	CustomerSlots(service, customer string) (slots int, limited bool)
}

// scoreCall says where a scoring call is made, and on whose behalf.
type scoreCall struct{ service, customer string }

// scoreDemand holds the demand for scoring calls. It is safe for concurrent use.
type scoreDemand struct {
	mu       sync.Mutex
	inFlight map[scoreCall]int
	total    map[string]int    // in flight, by service
	denied   map[string]denial // by job
}

// denial is the last scoring call of a job that could not be made.
type denial struct {
	scoreCall
	at time.Time
}

// pickScorer picks an endpoint for a scoring call, or returns nil if the call must wait. While the
// slots of the service are divided, the owner uses its slots of them, and otherwise a fixed part of
// each endpoint.
func (o *Owner) pickScorer(j *ownedJob, call scoreCall, request endpoints.Request) *directory.Pick {
	divided, allowed := o.scoreDemand.allows(o.Shares, call)
	request.Background = !divided
	var pick *directory.Pick
	if allowed {
		pick = o.Directory.Pick(call.service, request)
	}
	if pick == nil {
		o.scoreDemand.deny(j.id, call, request.Now)
		return nil
	}
	o.scoreDemand.began(call)
	return pick
}

// allows returns whether the slots of the call's service are divided between processes now, and
// whether the call may be made.
func (d *scoreDemand) allows(shares Shares, call scoreCall) (divided, allowed bool) {
	if shares == nil {
		return false, true
	}
	slots, known := shares.Slots(call.service)
	if !known {
		return false, true
	}
	customerSlots, limited := shares.CustomerSlots(call.service, call.customer)
	d.mu.Lock()
	defer d.mu.Unlock()
	return true, d.total[call.service] < slots && (!limited || d.inFlight[call] < customerSlots)
}

func (d *scoreDemand) began(call scoreCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight == nil {
		d.inFlight, d.total = map[scoreCall]int{}, map[string]int{}
	}
	d.inFlight[call]++
	d.total[call.service]++
}

func (d *scoreDemand) ended(call scoreCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.total[call.service]--
	if d.inFlight[call]--; d.inFlight[call] == 0 {
		delete(d.inFlight, call)
	}
}

// deny records that a job's call could not be made, and drops older denials.
func (d *scoreDemand) deny(job string, call scoreCall, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.denied == nil {
		d.denied = map[string]denial{}
	}
	for other, last := range d.denied {
		if now.Sub(last.at) > deniedTTL {
			delete(d.denied, other)
		}
	}
	d.denied[job] = denial{call, now}
}

// deniedAt returns the jobs whose calls to a service could not be made recently, with the customer
// of each.
func (d *scoreDemand) deniedAt(now time.Time, service string) map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var jobs map[string]string
	for job, last := range d.denied {
		if last.service != service || now.Sub(last.at) > deniedTTL {
			continue
		}
		if jobs == nil {
			jobs = map[string]string{}
		}
		jobs[job] = last.customer
	}
	return jobs
}

// Demands returns the scoring calls in flight at a service and the texts that wait for one, by the
// customer of their job.
func (o *Owner) Demands(service string) []fairshare.Demand {
	waiting := o.waitingScores(service)
	o.scoreDemand.mu.Lock()
	defer o.scoreDemand.mu.Unlock()
	var demands []fairshare.Demand
	for call, n := range o.scoreDemand.inFlight {
		if call.service == service {
			demands = append(demands, fairshare.Demand{Customer: call.customer, Weight: 1, InFlight: n, Waiting: waiting[call.customer]})
			delete(waiting, call.customer)
		}
	}
	for customer, n := range waiting {
		demands = append(demands, fairshare.Demand{Customer: customer, Weight: 1, Waiting: n})
	}
	return demands
}

// waitingScores returns the number of texts that wait for a scoring call at a service, by customer.
func (o *Owner) waitingScores(service string) map[string]int {
	denied := o.scoreDemand.deniedAt(time.Now(), service)
	if denied == nil {
		return nil
	}
	waiting := map[string]int{}
	for _, j := range append(o.openJobs(), o.Standby.running()...) {
		customer, found := denied[j.id]
		if !found {
			continue
		}
		j.mu.Lock()
		n := j.job.UnscoredTexts()
		j.mu.Unlock()
		if n > 0 {
			waiting[customer] += n
		}
	}
	return waiting
}
