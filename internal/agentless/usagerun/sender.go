package usagerun

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/usage"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// callTimeout bounds a call. Processes are milliseconds away from each other.
	callTimeout = 500 * time.Millisecond
	// sendRetryDelay is the delay after a failed call.
	sendRetryDelay = 200 * time.Millisecond
	// sendIntervalPerMember times the number of members is the least time between two
	// calls to the same receiver, so that the rate of calls that a receiver gets does
	// not depend on the size of the fleet.
	sendIntervalPerMember = 2 * time.Millisecond
	// windowMargin is the delay from the end of a window until a check whether its counts are
	// final.
	windowMargin = 10 * time.Millisecond
)

// Sender sends a process's counts to the processes that may have to report them.
// Requests that were counted but not sent are lost if this process dies, so counts are
// sent as soon as possible.
type Sender struct {
	Config  usage.Config
	Counter *Counter
	Self    cluster.Member
	Members *cluster.Members
	Duty    string // key of the duty whose holder reports
	Peers   *rpcpool.Pool
	Log     *logrus.Logger

	receivers map[string]*receiver
	ended     chan string // names of receivers whose call has ended
}

// receiver is the state of sending to one process.
type receiver struct {
	boot       int64 // start of the receiving process in Unix nanoseconds; 0: not known yet
	version    int64 // version of the counts that the process has
	calling    bool
	nextCallAt time.Time // earliest time of the next call
	failing    bool
}

// Run sends counts until ctx is done.
func (s *Sender) Run(ctx context.Context) error {
	s.receivers = map[string]*receiver{}
	s.ended = make(chan string)
	for ctx.Err() == nil {
		now := time.Now()
		wait := s.untilWindowFinal(now)
		for _, member := range s.destinations() {
			wait = min(wait, s.send(ctx, member, now))
		}
		s.await(ctx, wait)
	}
	return nil
}

// untilWindowFinal returns the time until the counts of the current window may be
// final.
func (s *Sender) untilWindowFinal(now time.Time) time.Duration {
	return s.Config.WindowEnd(s.Config.WindowAt(now)).Add(windowMargin).Sub(now)
}

// await waits until counts change, a call ends or the given time has passed.
func (s *Sender) await(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(max(wait, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.Counter.wake:
	case name := <-s.ended:
		s.receivers[name].calling = false
	}
}

// destinations returns the roots, one of which will be the next holder of the duty,
// and the current holder.
func (s *Sender) destinations() []cluster.Member {
	destinations := s.Members.Tree().Roots
	holder, found := s.Members.Get(s.Members.Holder(s.Duty))
	if !found {
		return destinations
	}
	for _, m := range destinations {
		if m.Name == holder.Name {
			return destinations
		}
	}
	return append(slices.Clone(destinations), holder)
}

// send starts a call if the receiver lacks counts, and returns the time after which to
// check again.
func (s *Sender) send(ctx context.Context, to cluster.Member, now time.Time) time.Duration {
	r := s.receivers[to.Name]
	if r == nil {
		r = &receiver{}
		s.receivers[to.Name] = r
	}
	if r.calling {
		return callTimeout
	}
	if wait := r.nextCallAt.Sub(now); wait > 0 {
		return wait
	}
	update, version := s.Counter.Update(r.version, now)
	if version == r.version {
		return callTimeout
	}
	update.Process, update.Boot = s.Self.Name, s.Self.Boot
	r.calling = true
	go func() {
		s.call(ctx, to, r, update, version)
		select {
		case s.ended <- to.Name:
		case <-ctx.Done():
		}
	}()
	return callTimeout
}

// call sends an update to one process. Until it returns, only it accesses the
// receiver's state, apart from calling.
func (s *Sender) call(ctx context.Context, to cluster.Member, r *receiver, update usage.Update, version int64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply TellReply
	err := s.Peers.Call(ctx, to.Address, callTell, update, &reply)
	now := time.Now()
	switch {
	case err != nil:
		r.nextCallAt = now.Add(sendRetryDelay)
		if !r.failing {
			events.UsageNotSent.Log(s.Log, logrus.Fields{"to": to.Name, "error": err.Error()})
		}
	case r.boot != 0 && reply.Boot != r.boot:
		r.boot, r.version = reply.Boot, 0 // the process has restarted and lacks all earlier updates
	default:
		r.boot, r.version = reply.Boot, version
		r.nextCallAt = now.Add(time.Duration(s.Members.Count()) * sendIntervalPerMember)
	}
	r.failing = err != nil
}

// Flush sends all counts once more before this process ends.
func (s *Sender) Flush(ctx context.Context) {
	update, _ := s.Counter.Update(0, time.Now())
	update.Process, update.Boot = s.Self.Name, s.Self.Boot
	for _, to := range s.destinations() {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		if err := s.Peers.Call(limited, to.Address, callTell, update, &TellReply{}); err != nil {
			events.UsageNotSent.Log(s.Log, logrus.Fields{"to": to.Name, "error": err.Error()})
		}
		cancel()
	}
}
