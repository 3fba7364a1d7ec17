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
	callFast    = serviceName + ".Fast"
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

// FastArgs names the engines of a model that are faster than typical.
type FastArgs struct {
	From    string // process that sends it
	Model   string
	Engines []string // endpoint IDs
}

// maxFastEngines bounds the engines in one message. A service of 1,300 engines of which a quarter
// is fast has 325.
const maxFastEngines = 4096

// Service handles the calls of other processes.
type Service struct{ runner *Runner }

// Need records what a step needs.
func (s *Service) Need(args NeedArgs, _ *struct{}) error {
	s.runner.RecordStep(args)
	return nil
}

// Fast records which engines are fast.
func (s *Service) Fast(args FastArgs, _ *struct{}) error {
	s.runner.RecordFast(args)
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

// SendFast tells the holder of the duty which engines are fast. It usually owns no jobs, so it
// gets no load messages. SendFast doesn't wait for the call; the next step's repeats it.
func SendFast(ctx context.Context, members *cluster.Members, peers *rpcpool.Pool, duty string, fast FastArgs) {
	holder, found := members.Get(members.Holder(duty))
	if !found || len(fast.Engines) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = peers.Call(ctx, holder.Address, callFast, fast, &struct{}{})
	}()
}
