// Package intake bounds what callers hold of a process: their connections, and the memory of the
// requests that arrive on them. All listeners of a process that callers reach share one Intake; the
// decisions are those of package policy/intake. A connection that has to yield is closed without an
// answer: its request is not known, and may be a repeat of one that ran. A body that can't be read is
// reported to the handler, which answers.
package intake

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"siskinloom.example/siskinloom/internal/events"
	policy "siskinloom.example/siskinloom/internal/policy/intake"
)

const (
	// memoryShare is the share of a process's memory for requests that arrive or are being served.
	// On the smallest machine, of 144 MB, it is enough for one body of 32 MB.
	memoryShare = 1.0 / 4
	// connectionShare is the share of a process's memory for connections, and connectionBytes what one
	// takes: its goroutine, its buffers and the parts of its request that are not counted.
	connectionShare = 1.0 / 6
	connectionBytes = 40 << 10
	// fileDescriptors is the number of descriptors kept for files. Of the others, callers get
	// descriptorShare, so that endpoints, the store and other processes can be reached.
	fileDescriptors = 200
	descriptorShare = 1.0 / 2
	// minConnections keeps a process with odd limits reachable.
	minConnections = 16

	// minRetryAfter and retryAfterJitter give the time after which a refused caller may come back.
	minRetryAfter    = 100 * time.Millisecond
	retryAfterJitter = 200 * time.Millisecond
	// logInterval is the least time between two log lines, which tell how many callers were refused.
	logInterval = time.Second
)

// Options are the limits of a process.
type Options struct {
	Memory      int64 // bytes; 0: not bounded
	Descriptors int   // 0: not bounded
	// HeaderBytes returns the longest head of a request that the operator allows; nil, or a result of
	// 0: not bounded, but its memory is.
	HeaderBytes func() int
}

// limits returns what callers may hold of a process.
func (o Options) limits() policy.Limits {
	l := policy.Limits{Connections: 1 << 30, Memory: 1 << 62}
	if o.Memory > 0 {
		l.Memory = int64(memoryShare * float64(o.Memory))
		l.Connections = int(connectionShare * float64(o.Memory) / connectionBytes)
	}
	if o.Descriptors > 0 {
		l.Connections = min(l.Connections, int(descriptorShare*float64(o.Descriptors-fileDescriptors)))
	}
	l.Connections = max(l.Connections, minConnections)
	return l
}

// Intake is the account of what callers hold of a process. It is safe for concurrent use.
type Intake struct {
	headerBytes func() int
	log         *logrus.Logger
	refusals    [reasonCount]metrics.Counter
	connections metrics.Gauge
	memory      metrics.Gauge

	work      *semaphore.Weighted
	workBytes int64 // size of work

	mu     sync.Mutex
	ledger *policy.Ledger
	conns  map[policy.ID]*Conn

	unlogged [reasonCount]atomic.Int64 // refusals since the last log line
	lastLog  atomic.Int64              // Unix nanoseconds
}

// reason says why a caller was refused.
type reason int

const (
	noConnection reason = iota // its connection was closed, as others needed one
	noMemory                   // its request was given up, as others needed the memory
	headTooLong                // its head is longer than the operator allows
	tooSlow                    // its request did not arrive before its time was over
	unread                     // it did not read its answer, and others needed the memory
	reasonCount
)

var reasonNames = [reasonCount]string{"connections", "memory", "head", "slow", "unread"}

// New returns the account of a process with the given limits.
func New(o Options, log *logrus.Logger, registry metrics.Registry) *Intake {
	work := int64(1 << 62)
	if o.Memory > 0 {
		work = int64(workShare * float64(o.Memory))
	}
	return newIntake(o.limits(), work, o.HeaderBytes, log, registry)
}

// NewInternal returns the account of an address for probes and operators, which needs few connections
// and little memory. It is apart from that of callers, so that these can't take what probes need.
func NewInternal(log *logrus.Logger, registry metrics.Registry) *Intake {
	const connections, memory = 32, 1 << 20
	return newIntake(policy.Limits{Connections: connections, Memory: memory}, memory, nil, log, registry)
}

func newIntake(l policy.Limits, work int64, headerBytes func() int, log *logrus.Logger, registry metrics.Registry) *Intake {
	in := &Intake{
		headerBytes: headerBytes, log: log, work: semaphore.NewWeighted(work), workBytes: work, ledger: policy.NewLedger(l), conns: map[policy.ID]*Conn{},
		connections: metrics.GetOrRegisterGauge("callers.connections", registry),
		memory:      metrics.GetOrRegisterGauge("callers.memory", registry),
	}
	for r, name := range reasonNames {
		in.refusals[r] = metrics.GetOrRegisterCounter("callers.refused."+name, registry)
	}
	return in
}

// Listen returns a listener whose connections are counted.
func (in *Intake) Listen(l net.Listener) net.Listener { return &listener{Listener: l, intake: in} }

type listener struct {
	net.Listener
	intake *Intake
	calls  *Calls // nil unless its connections carry several calls at a time
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, intake: l.intake}
		if l.calls != nil {
			l.calls.add(c)
		}
		if l.intake.admit(c) {
			return c, nil
		}
	}
}

// admit adds a connection to the account. It returns false and closes the connection if no other can
// yield.
func (in *Intake) admit(c *Conn) bool {
	in.mu.Lock()
	id, victim, ok := in.ledger.Open(time.Now())
	closing := in.conns[victim]
	delete(in.conns, victim)
	c.id = id
	if ok {
		in.conns[id] = c
	}
	in.updateGauges()
	in.mu.Unlock()
	if closing != nil {
		in.count(noConnection)
		_ = closing.Close()
	}
	if !ok {
		in.count(noConnection)
		_ = c.Close()
	}
	return ok
}

// CloseStalled closes the connection whose answer has not been read for the longest time. It returns
// false if none has stalled.
func (in *Intake) CloseStalled() bool {
	in.mu.Lock()
	victim := in.ledger.CloseStalled(time.Now())
	c := in.conns[victim]
	delete(in.conns, victim)
	in.updateGauges()
	in.mu.Unlock()
	if c == nil {
		return false
	}
	in.count(unread)
	_ = c.Close()
	return true
}

// forget removes a closed connection from the account.
func (in *Intake) forget(c *Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ledger.Close(c.id)
	delete(in.conns, c.id)
	in.updateGauges()
}

// updateGauges sets the gauges to the usage; in.mu must be held.
func (in *Intake) updateGauges() {
	connections, memory := in.ledger.Usage()
	in.connections.Update(int64(connections))
	in.memory.Update(memory)
}

// reserve takes memory for the request on a connection. Requests that yield to it are interrupted.
func (in *Intake) reserve(c *Conn, n int64) bool {
	in.mu.Lock()
	victims, ok := in.ledger.Reserve(c.id, n, time.Now())
	var interrupted []*Conn
	for _, victim := range victims {
		interrupted = append(interrupted, in.conns[victim])
	}
	in.updateGauges()
	in.mu.Unlock()
	for _, victim := range interrupted {
		victim.interrupt()
	}
	return ok
}

// record reports what happens on a connection to the ledger.
func (in *Intake) record(what func(l *policy.Ledger, now time.Time)) {
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	what(in.ledger, now)
	in.updateGauges()
}

// count counts a refusal and logs those of the last second in one line.
func (in *Intake) count(r reason) {
	in.refusals[r].Inc(1)
	in.unlogged[r].Add(1)
	now, last := time.Now().UnixNano(), in.lastLog.Load()
	if now-last < int64(logInterval) || !in.lastLog.CompareAndSwap(last, now) {
		return
	}
	in.mu.Lock()
	connections, memory := in.ledger.Usage()
	in.mu.Unlock()
	fields := logrus.Fields{"held_connections": connections, "held_bytes": memory}
	for r, name := range reasonNames {
		fields[name] = in.unlogged[r].Swap(0)
	}
	events.CallersRefused.Log(in.log, fields)
}

// RetryAfter returns the time after which a refused caller may come back.
func RetryAfter() time.Duration { return minRetryAfter + rand.N(retryAfterJitter) }
