package usagerun

import (
	"net/rpc"
	"sync"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/policy/usage"
)

// Names of the calls between processes.
const (
	serviceName = "Usage"
	callTell    = serviceName + ".Tell"
)

// TellReply is the answer to counts that were told.
type TellReply struct {
	Boot int64 // Unix nanoseconds of the start of the process that was told
}

// Ledger holds what other processes told. It is safe for concurrent use.
type Ledger struct {
	boot int64

	mu     sync.Mutex
	ledger *usage.Ledger
}

// NewLedger returns the books of a process that started at boot, in Unix nanoseconds.
func NewLedger(rules usage.Config, boot int64) *Ledger {
	return &Ledger{boot: boot, ledger: usage.NewLedger(rules)}
}

// Register offers the call by which counts are told.
func (b *Ledger) Register(server *rpc.Server) error {
	return errors.Wrap(server.RegisterName(serviceName, &Service{books: b}), "usagerun")
}

// with has a function work on the ledger under its lock.
func (b *Ledger) with(work func(*usage.Ledger)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	work(b.ledger)
}

// Service takes in what other processes tell.
type Service struct{ books *Ledger }

// Tell implements the call of that name.
func (s *Service) Tell(telling usage.Update, reply *TellReply) error {
	s.books.with(func(l *usage.Ledger) { l.Apply(telling) })
	reply.Boot = s.books.boot
	return nil
}
