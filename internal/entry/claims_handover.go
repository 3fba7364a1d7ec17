package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

// methodTell is the net/rpc method of ClaimServer.Tell.
const methodTell = wire.ClaimService + ".Tell"

// methodQueryClaims is the agents' net/rpc method that returns the results of
// claimed requests.
const methodQueryClaims = wire.AgentService + ".Claims"

const (
	// drainPollInterval is how often a graceful stop checks whether it is done.
	drainPollInterval = 5 * time.Millisecond
	// handoverTimeout is how long a former owner tries to send its results to a
	// successor. It covers a lease with its margins and the jitter of takeovers.
	handoverTimeout = 10 * time.Second
	// sendTimeout bounds one call that sends results.
	sendTimeout = time.Second
	// sendRetryDelay is the delay after a call that the next owner did not accept.
	sendRetryDelay = 20 * time.Millisecond
	// queryMargin is added to the time that an agent holds a query to get the
	// timeout of the call.
	queryMargin = time.Second
	// maxResultsPerCall limits the results sent in one call.
	maxResultsPerCall = 256
	// runningReportInterval is the longest time between two reports of the
	// requests that still run here. It is well under claims.DefaultResultTimeout,
	// after which the successor stops waiting for their results.
	runningReportInterval = claims.DefaultResultTimeout / 4
)

// Close starts the graceful stop: from now on calls go to the next owner. It
// returns once no call waits for its claim to be written, so that the duties
// can be handed over. Requests in flight keep running; see Drain.
func (c *Claims) Close(ctx context.Context) error {
	for _, p := range c.partitions {
		p.closing.Store(true)
	}
	return c.waitFor(ctx, func(p *claimPartition) bool { return !p.committing() })
}

// Drain calls Close and returns once every call accepted before is answered and
// its result is either recorded here or sent to the next owner, or when ctx ends.
func (c *Claims) Drain(ctx context.Context) error {
	if err := c.Close(ctx); err != nil {
		return err
	}
	return c.waitFor(ctx, (*claimPartition).drained)
}

func (c *Claims) waitFor(ctx context.Context, done func(*claimPartition) bool) error {
	for _, p := range c.partitions {
		for !done(p) {
			if ctx.Err() != nil {
				return errors.New("claims: drain ended before every call was answered and recorded")
			}
			sleep(ctx, drainPollInterval)
		}
	}
	return nil
}

func (p *claimPartition) committing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Committing()
}

// drained reports whether nothing is left to answer, to record or to send. It
// starts sending if requests still run for a partition that this entry lost.
func (p *claimPartition) drained() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.machine.Owned() && len(p.machine.Running()) > 0 {
		p.startSending()
	}
	return p.machine.Idle() && !p.sendingResults
}

// queueResult queues a result for the next owner. p.mu must be held.
func (p *claimPartition) queueResult(t claims.SendResult) {
	p.results = append(p.results, t)
	p.startSending()
}

// startSending starts sending the next owner the results and, in a graceful
// stop, the list of requests that still run here. p.mu must be held.
func (p *claimPartition) startSending() {
	if !p.sendingResults {
		p.sendingResults = true
		go p.sendResults()
	}
}

// sendResults sends results until none is left and, in a graceful stop, no request
// runs any more, or until no owner has accepted a call for handoverTimeout. Results
// that are dropped then stay "unknown" at the next owner.
func (p *claimPartition) sendResults() {
	end := time.Now().Add(handoverTimeout)
	for {
		p.mu.Lock()
		batch := p.results[:min(len(p.results), maxResultsPerCall)]
		stillRunning := p.closing.Load() && len(p.machine.Running()) > 0
		if len(batch) == 0 && !stillRunning || time.Now().After(end) {
			p.results = nil
			p.sendingResults = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		if !p.sendToOwner(batch) {
			time.Sleep(sendRetryDelay)
			continue
		}
		end = time.Now().Add(handoverTimeout)
		p.mu.Lock()
		p.results = p.results[len(batch):]
		p.mu.Unlock()
		p.waitForResult()
	}
}

// waitForResult blocks until there is a result to send or no request runs any
// more, and for runningReportInterval at most, so that the next owner keeps
// waiting for the requests that still run.
func (p *claimPartition) waitForResult() {
	for end := time.Now().Add(runningReportInterval); time.Now().Before(end); time.Sleep(drainPollInterval) {
		p.mu.Lock()
		due := len(p.results) > 0 || len(p.machine.Running()) == 0
		p.mu.Unlock()
		if due {
			return
		}
	}
}

// sendToOwner sends one batch of results and reports whether the owner accepted
// it.
func (p *claimPartition) sendToOwner(batch []claims.SendResult) bool {
	report := wire.ClaimsTold{Duty: p.duty}
	for _, t := range batch {
		r := t.Result
		r.Hold = max(0, time.Until(t.NotBefore))
		report.Results = append(report.Results, r)
	}
	p.mu.Lock()
	if !p.machine.Owned() {
		report.Running = p.machine.Running()
	}
	p.mu.Unlock()
	address, _, mine := p.options.Duties.KnownHolder(p.duty)
	if mine {
		return p.receiveResults(report)
	}
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	var reply wire.ClaimsToldReply
	if err := p.options.Peers.CallPeer(ctx, address, false, methodTell, report, &reply); err != nil {
		return false
	}
	if !reply.Taken && reply.Holder.Address != "" {
		p.options.Duties.HoldersReported([]wire.Holder{reply.Holder})
	}
	return reply.Taken
}

// receiveResults passes the results and the running requests that a former owner or
// an agent reported to the state machine. It returns false if this entry is not the
// owner.
func (p *claimPartition) receiveResults(report wire.ClaimsTold) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.machine.Owned() {
		return false
	}
	p.stepLocked(claims.ResultsReceived{Results: report.Results, Running: report.Running})
	return true
}

// Tell receives results from a former owner of a partition.
func (s *ClaimServer) Tell(report wire.ClaimsTold, reply *wire.ClaimsToldReply) error {
	for _, p := range s.claims.partitions {
		if p.duty == report.Duty {
			reply.Taken = p.receiveResults(report)
			reply.Holder = s.claims.holder(p)
		}
	}
	return nil
}

// queryAgents queries every agent once for the results of claimed requests. Late
// answers are still accepted; an agent that does not answer changes nothing.
func (p *claimPartition) queryAgents(a claims.QueryAgents) {
	if p.options.Agents == nil {
		return
	}
	query := wire.ClaimsAsked{Duty: p.duty, Refs: a.Refs, Wait: a.Wait, MaxBody: a.MaxBody}
	go p.options.Agents(func(agent Endpoint) {
		p.count("claims.asked")
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), a.Wait+queryMargin)
			defer cancel()
			var report wire.ClaimsTold
			if err := agent.Call(ctx, methodQueryClaims, query, &report); err != nil {
				return
			}
			metrics.GetOrRegisterCounter("claims.adopted", p.options.Metrics).Inc(int64(len(report.Results)))
			p.receiveResults(wire.ClaimsTold{Results: report.Results})
		}()
	})
}
