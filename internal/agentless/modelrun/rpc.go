package modelrun

import (
	"context"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

// Names of the calls between processes.
const (
	serviceName = "Weights"
	callNeed    = serviceName + ".Need"
)

// tellLimit bounds telling one process. Nothing depends on one call: each new
// step says it again.
const tellLimit = 500 * time.Millisecond

// NeedArgs tells what a step needs.
type NeedArgs struct {
	Model   string
	Version int64 // oldest that it accepts
	Items   int
}

// Service takes other processes' calls.
type Service struct{ runner *Runner }

// Need implements the call of that name.
func (s *Service) Need(args NeedArgs, _ *struct{}) error {
	s.runner.RecordStep(args)
	return nil
}

// Register offers the runner's calls to other processes.
func (r *Runner) Register(server *rpc.Server) error {
	return errors.Wrap(server.RegisterName(serviceName, &Service{runner: r}), "modelrun")
}

// BroadcastStep tells every worker what a step needs; whichever leads acts on it.
func BroadcastStep(ctx context.Context, members *cluster.Members, peers *rpcpool.Pool, step NeedArgs) {
	for _, m := range members.Live() {
		if !m.Worker {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, tellLimit)
			defer cancel()
			// A process that does not answer learns it with the next step.
			_ = peers.Call(ctx, m.Address, callNeed, step, &struct{}{})
		}()
	}
}
