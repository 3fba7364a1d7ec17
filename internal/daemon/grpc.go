package daemon

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/api/trainerpb"
	"siskinloom.example/siskinloom/internal/feedrun"
	"siskinloom.example/siskinloom/internal/intake"
	"siskinloom.example/siskinloom/internal/operator"
)

// grpcStopTimeout limits how long calls of operators and trainers may continue
// during a graceful stop. Without it a watch would never end.
const grpcStopTimeout = 2 * time.Second

// serveGRPC serves operators and trainers until ctx ends.
func (e *entryProcess) serveGRPC(ctx context.Context, listener net.Listener) error {
	server := grpc.NewServer(grpc.StatsHandler(e.calls), grpc.MaxConcurrentStreams(intake.MaxCallsPerConn), grpc.MaxHeaderListSize(intake.MaxCallHeaderBytes))
	operatorpb.RegisterOperatorServer(server, operator.New(e.settings.Deployment, operator.Sources{
		Config:    e.configState,
		Instances: e.instances,
		Holders:   e.keeper.Holders,
		Platform:  e.store.State,

		Quarantine: e.poison,
	}, e.log))
	trainerpb.RegisterTrainerServer(server, feedrun.NewTrainer(e.feeds))
	stop := context.AfterFunc(ctx, func() {
		forceStop := time.AfterFunc(grpcStopTimeout, server.Stop)
		defer forceStop.Stop()
		server.GracefulStop()
	})
	defer stop()
	return errors.Wrap(server.Serve(listener), "daemon: gRPC")
}
