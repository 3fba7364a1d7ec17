package intake

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc/stats"

	policy "siskinloom.example/siskinloom/internal/policy/intake"
)

const (
	// MaxCallsPerConn is the limit of concurrent calls on one gRPC connection. Trainers and operators
	// have a few at a time.
	MaxCallsPerConn = 100
	// MaxCallHeaderBytes is the limit of the headers of a gRPC call.
	MaxCallHeaderBytes = 16 << 10
	// callBytes is what a gRPC call takes beside its message.
	callBytes = 16 << 10
	// callStepBytes is the least memory that is reserved for messages at a time.
	callStepBytes = 64 << 10
)

// Calls counts what gRPC calls hold of a process. It is a stats.Handler for the server of the
// listener that Calls.Listen returns.
type Calls struct {
	intake *Intake

	mu    sync.Mutex
	conns map[string]*Conn // by the caller's address
}

// NewCalls returns the account of the gRPC calls among what callers hold of a process.
func NewCalls(in *Intake) *Calls { return &Calls{intake: in, conns: map[string]*Conn{}} }

// Listen returns a listener whose connections are counted.
func (k *Calls) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, intake: k.intake, calls: k}
}

// add prepares a connection for its calls.
func (k *Calls) add(c *Conn) {
	c.calls = &connCalls{conn: c}
	c.onClose = func() { k.forget(c) }
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns[c.RemoteAddr().String()] = c
}

func (k *Calls) forget(c *Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if address := c.RemoteAddr().String(); k.conns[address] == c {
		delete(k.conns, address)
	}
}

// TagConn implements stats.Handler.
func (k *Calls) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	k.mu.Lock()
	defer k.mu.Unlock()
	return context.WithValue(ctx, connKey{}, k.conns[info.RemoteAddr.String()])
}

// HandleConn implements stats.Handler.
func (k *Calls) HandleConn(context.Context, stats.ConnStats) {}

// callKey is the key of a call in the context of its events.
type callKey struct{}

// call is one gRPC call. All calls of this system have a single message from the caller.
type call struct {
	conn    *connCalls
	arrived bool // the message has arrived
}

// TagRPC implements stats.Handler.
func (k *Calls) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	c := connFrom(ctx)
	if c == nil {
		return ctx
	}
	return context.WithValue(ctx, callKey{}, &call{conn: c.calls})
}

// HandleRPC implements stats.Handler.
func (k *Calls) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, found := ctx.Value(callKey{}).(*call)
	if !found {
		return
	}
	switch event.(type) {
	case *stats.Begin:
		c.conn.begin()
	case *stats.InPayload:
		c.conn.messageArrived(c)
	case *stats.End:
		c.conn.end(c)
	}
}

// connCalls are the calls on one connection. Bytes that arrive are counted until no message is
// arriving any more: it is not known to which call they belong.
type connCalls struct {
	conn *Conn

	mu       sync.Mutex
	open     int // calls
	arriving int // those of them whose message has not arrived
	begun    bool
	received int64 // bytes since no message was arriving
	reserved int64 // for them
}

// receive counts n bytes, and reports whether there is memory for them.
func (k *connCalls) receive(n int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.begun || k.arriving > 0 {
		k.conn.intake.record(func(l *policy.Ledger, now time.Time) { l.Received(k.conn.id, now) })
	}
	k.received += n
	needed := k.received / callStepBytes * callStepBytes
	if needed <= k.reserved {
		return true
	}
	if !k.conn.intake.reserve(k.conn, needed-k.reserved) {
		return false
	}
	k.reserved = needed
	return true
}

func (k *connCalls) begin() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open++
	k.arriving++
	k.begun = true
	k.conn.intake.record(func(l *policy.Ledger, now time.Time) { l.Receiving(k.conn.id, now) })
	if !k.conn.intake.reserve(k.conn, callBytes) {
		k.conn.intake.count(noMemory)
		go func() { _ = k.conn.Close() }() // ends the calls, which take the lock
	}
}

func (k *connCalls) messageArrived(c *call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.arrived {
		return
	}
	c.arrived = true
	k.arriving--
	if k.arriving == 0 {
		k.releaseMessages()
		k.conn.intake.record(func(l *policy.Ledger, _ time.Time) { l.Arrived(k.conn.id) })
	}
}

func (k *connCalls) end(c *call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open--
	if !c.arrived {
		c.arrived = true
		k.arriving--
	}
	k.conn.intake.record(func(l *policy.Ledger, now time.Time) { l.Release(k.conn.id, callBytes) })
	if k.arriving == 0 {
		k.releaseMessages()
	}
	if k.open == 0 {
		k.conn.intake.record(func(l *policy.Ledger, now time.Time) { l.Answered(k.conn.id, now) })
	}
}

// releaseMessages releases the memory of the messages, all of which have arrived; k.mu must be held.
func (k *connCalls) releaseMessages() {
	reserved := k.reserved
	k.received, k.reserved = 0, 0
	k.conn.intake.record(func(l *policy.Ledger, _ time.Time) { l.Release(k.conn.id, reserved) })
}
