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

// methodQueryClaims is the agents' net/rpc method that tells the answers of claims.
const methodQueryClaims = wire.AgentService + ".Claims"

const (
	drainPollInterval = 5 * time.Millisecond
	// handoverTimeout is how long a successor is looked for: a lease with its margins
	// and the spread of take-overs pass in that time.
	handoverTimeout = 10 * time.Second
	sendTimeout     = time.Second
	sendRetryDelay  = 20 * time.Millisecond
	// queryMargin is what an agent's answer may take beside its own waiting.
	queryMargin = time.Second
	// maxResultsPerCall bounds the results told in one call.
	maxResultsPerCall = 256
	// runningReportInterval keeps a successor waiting for what still runs here; well
	// under claims.DefaultSettleWait.
	runningReportInterval = claims.DefaultResultTimeout / 4
)

// Close begins the graceful stop: calls go to the next owner from now on. It
// returns once no call waits for its claim to be written, so that the duties
// can be handed over; requests in flight go on. See Drain.
func (c *Claims) Close(ctx context.Context) error {
	for _, p := range c.partitions {
		p.closing.Store(true)
	}
	return c.waitFor(ctx, func(p *claimPartition) bool { return !p.committing() })
}

// Drain closes and returns once every call taken before is answered, and
// recorded here or told to the next owner, or when ctx ends.
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
				return errors.New("claims: not every call was answered and recorded in time")
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

// drained tells whether nothing is left to answer, record or tell.
func (p *claimPartition) drained() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.machine.Owned() && len(p.machine.Running()) > 0 {
		p.startSending()
	}
	return p.machine.Idle() && !p.sendingResults
}

// tell notes a result for the next owner; p.mu is held.
func (p *claimPartition) queueResult(t claims.SendResult) {
	p.results = append(p.results, t)
	p.startSending()
}

// startSending has the next owner told of results and, in a graceful stop, of
// what still runs here; p.mu is held.
func (p *claimPartition) startSending() {
	if !p.sendingResults {
		p.sendingResults = true
		go p.sendResults()
	}
}

// sendResults tells results until none is left or no owner takes any for handoverTimeout.
// What is dropped then stays "unknown" to the next owner.
func (p *claimPartition) sendResults() {
	end := time.Now().Add(handoverTimeout)
	for {
		p.mu.Lock()
		batch := p.results[:min(len(p.results), maxResultsPerCall)]
		stays := p.closing.Load() && len(p.machine.Running()) > 0
		if len(batch) == 0 && !stays || time.Now().After(end) {
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

// waitForResult waits until there is a result to tell or nothing runs any more,
// and not so long that the next owner gives up on what does.
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

// sendToOwner makes one call and tells whether the owner took it.
func (p *claimPartition) sendToOwner(batch []claims.SendResult) bool {
	told := wire.ClaimsTold{Duty: p.duty}
	for _, t := range batch {
		r := t.Result
		r.Hold = max(0, time.Until(t.Hold))
		told.Results = append(told.Results, r)
	}
	p.mu.Lock()
	if !p.machine.Owned() {
		told.Running = p.machine.Running()
	}
	p.mu.Unlock()
	address, _, mine := p.options.Duties.KnownHolder(p.duty)
	if mine {
		return p.receiveResults(told)
	}
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	var reply wire.ClaimsToldReply
	if err := p.options.Peers.CallPeer(ctx, address, false, methodTell, told, &reply); err != nil {
		return false
	}
	if !reply.Taken && reply.Holder.Address != "" {
		p.options.Duties.Heard([]wire.Holder{reply.Holder})
	}
	return reply.Taken
}

// take takes in what an earlier owner tells; false if this entry is no owner.
func (p *claimPartition) receiveResults(told wire.ClaimsTold) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.machine.Owned() {
		return false
	}
	p.stepLocked(claims.ResultsReceived{Results: told.Results, Running: told.Running})
	return true
}

// Tell takes in results of an earlier owner of a partition.
func (s *ClaimServer) Tell(told wire.ClaimsTold, reply *wire.ClaimsToldReply) error {
	for _, p := range s.claims.partitions {
		if p.duty == told.Duty {
			reply.Taken = p.receiveResults(told)
			reply.Holder = s.claims.holder(p)
		}
	}
	return nil
}

// ask puts one question to each agent. What comes late is still taken in; an
// agent that does not answer changes nothing.
func (p *claimPartition) queryAgents(a claims.QueryAgents) {
	if p.options.Agents == nil {
		return
	}
	question := wire.ClaimsAsked{Duty: p.duty, Refs: a.Refs, Wait: a.Wait, MaxBody: a.MaxBody}
	go p.options.Agents(func(agent Endpoint) {
		p.count("claims.asked")
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), a.Wait+queryMargin)
			defer cancel()
			var told wire.ClaimsTold
			if err := agent.Call(ctx, methodQueryClaims, question, &told); err != nil {
				return
			}
			metrics.GetOrRegisterCounter("claims.adopted", p.options.Metrics).Inc(int64(len(told.Results)))
			p.receiveResults(wire.ClaimsTold{Results: told.Results})
		}()
	})
}
