// Package daemon runs a siskinloomd process. It creates the components of the
// process's role, serves until its context ends and stops gracefully.
package daemon

import (
	"context"
	"math"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc/credentials"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/intake"
	"siskinloom.example/siskinloom/internal/memlimit"
	"siskinloom.example/siskinloom/internal/netdial"
	"siskinloom.example/siskinloom/internal/observe"
	"siskinloom.example/siskinloom/internal/policy/platform"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/tlsconf"
	"siskinloom.example/siskinloom/internal/traffic"
)

// readyPollInterval is the interval at which readiness is checked.
const readyPollInterval = 20 * time.Millisecond

// process holds the components that both roles have.
type process struct {
	settings      settings.Settings
	log           *logrus.Logger
	metrics       metrics.Registry
	inner         *tlsconf.Inner                   // makes connections among entries and agents
	platformCreds credentials.TransportCredentials // for connections to the platform
	traffic       *traffic.Meter
	intake        *intake.Intake // what callers hold; entries only
	calls         *intake.Calls  // what trainers and operators hold of it
}

// Run runs the process that the settings describe until ctx ends and the process
// has stopped gracefully.
func Run(ctx context.Context, s settings.Settings) error {
	log, err := newLogger(s)
	if err != nil {
		return err
	}
	inner, err := tlsconf.NewInner(s.TLS)
	if err != nil {
		return err
	}
	platformCreds, err := tlsconf.PlatformCredentials(s.PlatformTLS, s.PlatformAddress)
	if err != nil {
		return err
	}
	registry := metrics.NewRegistry()
	p := &process{settings: s, log: log, metrics: registry, inner: inner, platformCreds: platformCreds, traffic: traffic.NewMeter(registry)}
	fields := logrus.Fields{"role": s.Role, "id": s.ID, "deployment": s.Deployment, "domain": s.FailureDomain}
	events.ProcessStarted.Log(log, fields)
	stopLogging := context.AfterFunc(ctx, func() { events.ProcessStopping.Log(log, fields) })
	defer stopLogging()
	switch s.Role {
	case settings.RoleEntry:
		memlimit.Set(s.MemoryBytes)
		p.intake = intake.New(intake.Options{Memory: s.MemoryBytes, Descriptors: descriptors(s)}, log, registry)
		p.calls = intake.NewCalls(p.intake)
		err = p.runEntry(ctx)
	case settings.RoleAgent:
		err = p.runAgent(ctx)
	default:
		err = errors.Errorf("daemon: unknown role %q", s.Role)
	}
	if err != nil {
		events.ProcessFailed.Log(log, logrus.Fields{"error": err.Error()})
		return err
	}
	events.ProcessStopped.Log(log, fields)
	return nil
}

// descriptors returns the most descriptors that the process may have open.
func descriptors(s settings.Settings) int {
	if s.Descriptors > 0 {
		return s.Descriptors
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0 // not known, or practically none
	}
	return int(limit.Cur)
}

func newLogger(s settings.Settings) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.JSONFormatter{})
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, errors.Wrap(err, "daemon")
	}
	log.SetLevel(level)
	return log, nil
}

// logPlatformState logs a change of the key-value service's state as its client
// observes it.
func (p *process) logPlatformState(state string) {
	event := events.PlatformUp
	switch state {
	case platform.Down.String():
		event = events.PlatformDown
	case platform.Slow.String():
		event = events.PlatformSlow
	}
	event.Log(p.log, logrus.Fields{"platform": p.settings.PlatformAddress})
}

// serveMetrics serves metrics and probes if their address is set.
func (p *process) serveMetrics(ctx context.Context, group *errgroup.Group, ready func() bool) error {
	if p.settings.MetricsAddress == "" {
		return nil
	}
	listener, err := netdial.ListenCallers(p.settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "daemon: metrics")
	}
	server := observe.Server{Registry: p.metrics, Ready: ready, Log: p.log}
	group.Go(func() error { return server.Serve(ctx, listener) })
	group.Go(func() error { return p.logReadiness(ctx, ready) })
	return nil
}

// logReadiness logs when the process becomes ready or stops being ready, until ctx
// ends.
func (p *process) logReadiness(ctx context.Context, ready func() bool) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	wasReady := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		isReady := ready()
		if isReady == wasReady {
			continue
		}
		wasReady = isReady
		event := events.ProcessNotReady
		if isReady {
			event = events.ProcessReady
		}
		event.Log(p.log, logrus.Fields{"id": p.settings.ID})
	}
}
