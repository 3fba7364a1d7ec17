package usagerun

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/usage"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// tellLimit bounds a call; processes are milliseconds away.
	tellLimit = 500 * time.Millisecond
	// tellAgain is the pause after a call that failed.
	tellAgain = 200 * time.Millisecond
	// tellShare times as many processes as there are is the least pause between two
	// calls to one of those told, so that they are called as often in any fleet.
	tellShare = 2 * time.Millisecond
	// windowSlack passes after a window's end before its counts are told as final.
	windowSlack = 10 * time.Millisecond
)

// Sender tells a process's counts to those who may have to report them. What began and
// was not told yet is lost if this process dies, so that counts are told at once.
type Sender struct {
	Config  usage.Config
	Counter *Counter
	Self    cluster.Member
	Members *cluster.Members
	Duty    string // key of the duty whose holder reports
	Peers   *rpcpool.Pool
	Log     *logrus.Logger

	listeners map[string]*listener
	ended     chan string // listeners whose call is over
}

// listener is a process that is told.
type listener struct {
	boot     int64 // start of the process that was told, Unix nanoseconds; 0: none was
	version  int64 // told up to here
	calling  bool
	earliest time.Time // of the next call
	failing  bool
}

// Run tells counts until ctx ends.
func (t *Sender) Run(ctx context.Context) error {
	t.listeners = map[string]*listener{}
	t.ended = make(chan string)
	for ctx.Err() == nil {
		now := time.Now()
		wait := t.untilFinal(now)
		for _, member := range t.targets() {
			wait = min(wait, t.tell(ctx, member, now))
		}
		t.await(ctx, wait)
	}
	return nil
}

// untilFinal returns how long it is until a window's counts may be final.
func (t *Sender) untilFinal(now time.Time) time.Duration {
	return t.Config.WindowEnd(t.Config.WindowAt(now)).Add(windowSlack).Sub(now)
}

func (t *Sender) await(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(max(wait, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.Counter.wake:
	case name := <-t.ended:
		t.listeners[name].calling = false
	}
}

// targets returns the holder of the duty and the scouts, one of which is the next.
func (t *Sender) targets() []cluster.Member {
	targets := cluster.Relays(t.Members)
	holder, found := t.Members.Get(t.Members.Holder(t.Duty))
	if !found {
		return targets
	}
	for _, m := range targets {
		if m.Name == holder.Name {
			return targets
		}
	}
	return append(targets, holder)
}

// tell begins a call if there is something to tell, and returns when to look again.
func (t *Sender) tell(ctx context.Context, to cluster.Member, now time.Time) time.Duration {
	l := t.listeners[to.Name]
	if l == nil {
		l = &listener{}
		t.listeners[to.Name] = l
	}
	if l.calling {
		return tellLimit
	}
	if wait := l.earliest.Sub(now); wait > 0 {
		return wait
	}
	telling, version := t.Counter.Update(l.version, now)
	if version == l.version {
		return tellLimit
	}
	telling.Process, telling.Boot = t.Self.Name, t.Self.Boot
	l.calling = true
	go func() {
		t.call(ctx, to, l, telling, version)
		select {
		case t.ended <- to.Name:
		case <-ctx.Done():
		}
	}()
	return tellLimit
}

// call tells one process. The listener is this call's until it is over.
func (t *Sender) call(ctx context.Context, to cluster.Member, l *listener, telling usage.Update, version int64) {
	ctx, cancel := context.WithTimeout(ctx, tellLimit)
	defer cancel()
	var reply TellReply
	err := t.Peers.Call(ctx, to.Address, callTell, telling, &reply)
	now := time.Now()
	switch {
	case err != nil:
		l.earliest = now.Add(tellAgain)
		if !l.failing {
			events.UsageNotTold.Log(t.Log, logrus.Fields{"to": to.Name, "error": err.Error()})
		}
	case l.boot != 0 && reply.Boot != l.boot:
		l.boot, l.version = reply.Boot, 0 // it began anew and lacks what it was told before
	default:
		l.boot, l.version = reply.Boot, version
		l.earliest = now.Add(time.Duration(t.Members.Count()) * tellShare)
	}
	l.failing = err != nil
}

// Flush tells everything once more before this process ends.
func (t *Sender) Flush(ctx context.Context) {
	telling, _ := t.Counter.Update(0, time.Now())
	telling.Process, telling.Boot = t.Self.Name, t.Self.Boot
	for _, to := range t.targets() {
		limited, cancel := context.WithTimeout(ctx, tellLimit)
		if err := t.Peers.Call(limited, to.Address, callTell, telling, &TellReply{}); err != nil {
			events.UsageNotTold.Log(t.Log, logrus.Fields{"to": to.Name, "error": err.Error()})
		}
		cancel()
	}
}
