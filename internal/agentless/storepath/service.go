package storepath

import (
	"context"
	"net/rpc"

	"github.com/pkg/errors"
)

// Names of the net/rpc service and its method.
const (
	serviceName = "Store"
	callDo      = serviceName + ".Do"
)

// maxRelayedCalls bounds the calls that this process relays at a time. One cut-off
// process has about ten. If the bound is reached, the caller asks another peer.
const maxRelayedCalls = 128

// Reply is the answer to a relayed call.
type Reply struct {
	Code   Code
	Text   string // text of the error
	Tried  bool   // whether the store was called
	Result Result
}

// Service relays other processes' calls to the store.
type Service struct{ store *Store }

// Register registers the net/rpc service that relays calls of other processes.
func (s *Store) Register(server *rpc.Server) error {
	return errors.Wrap(server.RegisterName(serviceName, &Service{store: s}), "storepath")
}

// Do makes another process's call to the store. It uses only this process's direct
// path, so that a call is never relayed twice.
func (s *Service) Do(q Query, reply *Reply) error {
	select {
	case s.store.relaySlots <- struct{}{}:
		defer func() { <-s.store.relaySlots }()
	default:
		*reply = Reply{Code: Unavailable, Text: "too many calls under way"}
		return nil
	}
	if s.store.relaying() {
		*reply = Reply{Code: Unavailable, Text: "this process does not reach the store either"}
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.Wait+relayTimeout)
	defer cancel()
	s.store.relayedIn.Inc(1)
	result, err := execute(ctx, s.store.direct, &q)
	*reply = Reply{Code: codeOf(err), Result: result, Tried: true}
	if err != nil {
		reply.Text = err.Error()
	}
	return nil
}
