package usagerun

import (
	"net/rpc"
	"sync"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/policy/usage"
)

// Names of the net/rpc service and its method.
const (
	serviceName = "Usage"
	callTell    = serviceName + ".Tell"
)

// TellReply is the answer to an update.
type TellReply struct {
	Boot int64 // start of the receiving process in Unix nanoseconds
}

// Ledger is a usage.Ledger with the counts that other processes sent to this one. It is
// safe for concurrent use.
type Ledger struct {
	boot int64

	mu     sync.Mutex
	ledger *usage.Ledger
}

// NewLedger returns the ledger of a process that started at boot, in Unix nanoseconds.
func NewLedger(config usage.Config, boot int64) *Ledger {
	return &Ledger{boot: boot, ledger: usage.NewLedger(config)}
}

// Register registers the net/rpc service that receives updates.
func (l *Ledger) Register(server *rpc.Server) error {
	return errors.Wrap(server.RegisterName(serviceName, &Service{ledger: l}), "usagerun")
}

// withLock calls a function with the ledger while it is locked.
func (l *Ledger) withLock(work func(*usage.Ledger)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	work(l.ledger)
}

// Service is the net/rpc service that receives updates of other processes.
type Service struct{ ledger *Ledger }

// Tell applies an update of another process.
func (s *Service) Tell(update usage.Update, reply *TellReply) error {
	s.ledger.withLock(func(l *usage.Ledger) { l.Apply(update) })
	reply.Boot = s.ledger.boot
	return nil
}
