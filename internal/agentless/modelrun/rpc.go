package modelrun

import (
	"context"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

// Names of the RPC service and its method.
const (
	serviceName = "Weights"
	callNeed    = serviceName + ".Need"
)

// callTimeout is the timeout of the call to one process. No single call matters, because each
// new step is broadcast again.
const callTimeout = 500 * time.Millisecond

// NeedArgs says what a step needs.
type NeedArgs struct {
	Model   string
	Version int64 // oldest weight version that the step accepts
	Items   int   // number of items of the step
}

// Service handles the calls of other processes.
type Service struct{ runner *Runner }

// Need records what a step needs.
func (s *Service) Need(args NeedArgs, _ *struct{}) error {
	s.runner.RecordStep(args)
	return nil
}

// Register registers the runner's service with an RPC server.
func (r *Runner) Register(server *rpc.Server) error {
	return errors.Wrap(server.RegisterName(serviceName, &Service{runner: r}), "modelrun")
}

// BroadcastStep sends every worker what a step needs; the one that holds the duty acts on it. It
// doesn't wait for the calls.
func BroadcastStep(ctx context.Context, members *cluster.Members, peers *rpcpool.Pool, step NeedArgs) {
	for _, m := range members.Live() {
		if !m.Worker {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// A process that doesn't answer gets the next step's call.
			_ = peers.Call(ctx, m.Address, callNeed, step, &struct{}{})
		}()
	}
}
