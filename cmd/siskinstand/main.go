// Command siskinstand runs a stand-in for an external system as a process. It prints
// "ready" once it is listening and stops on SIGTERM or SIGINT.
package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"siskinloom.example/siskinloom/internal/standin"
)

// exitCrashed is the exit code after a request that crashes the stand-in.
const exitCrashed = 3

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "siskinstand",
		Short:         "stand in for the platform, an engine, a plain service or a trainer",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand(), trainerCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "siskinstand:", err)
		os.Exit(1)
	}
}

// starter is a stand-in that can be started.
type starter interface {
	Start(address string) (string, error)
}

// serve starts a stand-in, prints its address and blocks until the command's context
// ends.
func serve(cmd *cobra.Command, s starter, address string) error {
	boundAddress, err := s.Start(address)
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), "ready", boundAddress)
	<-cmd.Context().Done()
	return nil
}

// crash ends the process as a crash of the stand-in would.
func crash() { os.Exit(exitCrashed) }

func platformCommand() *cobra.Command {
	var address, control, cert, key, clientCA string
	var o standin.PlatformOptions
	cmd := &cobra.Command{Use: "platform", Short: "key-value service, instance list and weight store", Args: cobra.NoArgs}
	f := cmd.Flags()
	f.StringVar(&address, "address", "127.0.0.1:0", "gRPC address")
	f.StringVar(&control, "control", "", "HTTP address of the fault switches; empty: none")
	f.StringVar(&cert, "tls-cert", "", "certificate file; empty: no TLS")
	f.StringVar(&key, "tls-key", "", "file of its key")
	f.StringVar(&clientCA, "tls-client-ca", "", "certificate authority of the clients")
	f.Float64Var(&o.CallsPerSecond, "calls", 0, "key-value calls per second; 0: no limit")
	f.DurationVar(&o.InstanceListLag, "list-lag", 0, "age of the instance list")
	f.IntVar(&o.WeightStoreRate, "store-rate", 0, "weight store's bytes per second; 0: no limit")
	f.IntVar(&o.VersionBytes, "version-bytes", 0, "size of a version's weights; 0: 1 MiB")
	f.IntVar(&o.ChunkBytes, "chunk-bytes", 0, "size of a chunk; 0: 256 KiB")
	cmd.RunE = func(cmd *cobra.Command, _ []string) (err error) {
		if o.TLS, err = platformTLS(cert, key, clientCA); err != nil {
			return err
		}
		p := standin.NewPlatform(o)
		defer p.Close()
		if control != "" {
			if _, err := p.StartControl(control); err != nil {
				return err
			}
		}
		return serve(cmd, p, address)
	}
	return cmd
}

// platformTLS returns the TLS configuration of the files in the flags, or nil if
// there is no certificate.
func platformTLS(cert, key, clientCA string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(clientCA)
	if err != nil {
		return nil, err
	}
	clients := x509.NewCertPool()
	clients.AppendCertsFromPEM(authority)
	return &tls.Config{Certificates: []tls.Certificate{pair}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: clients}, nil
}

func engineCommand() *cobra.Command {
	var address string
	o := standin.EngineOptions{OnCrash: crash}
	cmd := &cobra.Command{Use: "engine", Short: "batching engine", Args: cobra.NoArgs}
	f := cmd.Flags()
	f.StringVar(&address, "address", "127.0.0.1:0", "HTTP address")
	f.StringVar(&o.Model, "model", "", "model served")
	f.Int64Var(&o.Version, "version", 1, "weight version at start")
	f.IntVar(&o.Slots, "slots", 8, "requests in the batch")
	f.DurationVar(&o.StepTime, "step", 0, "time of a step with an empty batch; 0: 1ms")
	f.DurationVar(&o.StepTimePerRequest, "step-per-request", 0, "time that each request adds to a step")
	f.DurationVar(&o.LoadReportLag, "load-lag", 0, "age of the load report")
	f.DurationVar(&o.CacheEventLag, "cache-lag", 0, "age of the cache events")
	f.IntVar(&o.CacheEventDropInterval, "cache-gap", 0, "lose every n-th cache event; 0: none")
	f.IntVar(&o.CachePrefixes, "cache-prefixes", 0, "prompt prefixes kept; 0: 64")
	f.BoolVar(&o.Fencing, "fencing", false, "refuse orders with an old fencing number")
	f.DurationVar(&o.LoadTime, "load-version", 0, "time that loading a version takes")
	f.IntVar(&o.FailLoads, "fail-loads", 0, "loads that fail before one succeeds")
	f.StringVar(&o.PoisonText, "poison", "POISON", "text in a prompt that crashes the engine; empty: none")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return serve(cmd, standin.NewEngine(o), address)
	}
	return cmd
}

func serviceCommand() *cobra.Command {
	var address, effects string
	o := standin.ServiceOptions{OnCrash: crash}
	cmd := &cobra.Command{Use: "service", Short: "plain service or scorer", Args: cobra.NoArgs}
	f := cmd.Flags()
	f.StringVar(&address, "address", "127.0.0.1:0", "HTTP address")
	f.StringVar(&o.Name, "name", "service", "name in the answers")
	f.DurationVar(&o.Latency, "latency", 0, "time of each call")
	f.BoolVar(&o.Scorer, "scorer", false, "answer with a score")
	f.StringVar(&o.PoisonText, "poison", "POISON", "text in a body that crashes the service; empty: none")
	f.StringVar(&effects, "effects", "", "file that gets a line per effect; empty: none")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if effects != "" {
			file, err := os.OpenFile(effects, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
			if err != nil {
				return err
			}
			defer file.Close()
			o.EffectLog = file
		}
		return serve(cmd, standin.NewService(o), address)
	}
	return cmd
}

func trainerCommand() *cobra.Command {
	var o standin.TrainerOptions
	cmd := &cobra.Command{Use: "trainer", Short: "trainer of one feed; prints its report as JSON at the end", Args: cobra.NoArgs}
	f := cmd.Flags()
	f.StringSliceVar(&o.Entries, "entries", nil, "gRPC addresses of entries")
	f.StringVar(&o.Key, "key", "", "the trainer's key")
	f.StringVar(&o.Deployment, "deployment", "", "deployment")
	f.StringVar(&o.Feed, "feed", "", "feed")
	f.StringVar(&o.Model, "model", "", "model trained")
	f.Int64Var(&o.Version, "version", 1, "weight version at start")
	f.Int64Var(&o.StalenessBound, "bound", 0, "staleness bound in versions")
	f.DurationVar(&o.TrainTime, "train-time", 0, "time of a training step")
	f.IntVar(&o.AnnounceInterval, "announce-every", 1, "steps between announced versions")
	_ = cmd.MarkFlagRequired("entries")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		t, err := standin.NewTrainer(o)
		if err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), "ready")
		t.Run(cmd.Context())
		return json.NewEncoder(cmd.OutOrStdout()).Encode(t.Report())
	}
	return cmd
}
