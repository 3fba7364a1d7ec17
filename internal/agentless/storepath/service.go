package storepath

import (
	"context"
	"net/rpc"

	"github.com/pkg/errors"
)

// Names of the calls between processes.
const (
	serviceName = "Store"
	callDo      = serviceName + ".Do"
)

// mostRelayed bounds the relayed calls under way at this process. Those of
// one cut-off process are some ten; a process beyond it asks another one.
const mostRelayed = 128

// Reply is a relayed call's answer.
type Reply struct {
	Code   Code
	Text   string // of the error
	Tried  bool   // the store was called
	Result Result
}

// Service relays other processes' calls to the store.
type Service struct{ store *Store }

// Register offers the service to other processes.
func (s *Store) Register(server *rpc.Server) error {
	return errors.Wrap(server.RegisterName(serviceName, &Service{store: s}), "storepath")
}

// Do implements the call of that name. It uses this process's direct path only, so
// that a call is never relayed twice.
func (s *Service) Do(q Query, reply *Reply) error {
	select {
	case s.store.carrying <- struct{}{}:
		defer func() { <-s.store.carrying }()
	default:
		*reply = Reply{Code: Unavailable, Text: "too many calls under way"}
		return nil
	}
	if s.store.relaying() {
		*reply = Reply{Code: Unavailable, Text: "this process does not reach the store either"}
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.Wait+relayLimit)
	defer cancel()
	s.store.relayedIn.Inc(1)
	result, err := execute(ctx, s.store.direct, &q)
	*reply = Reply{Code: codeOf(err), Result: result, Tried: true}
	if err != nil {
		reply.Text = err.Error()
	}
	return nil
}
