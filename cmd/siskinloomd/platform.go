package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"siskinloom.example/siskinloom/platform"
)

// exitBadSettings is the exit code for settings that cannot be used.
const exitBadSettings = 2

var errNoBoot = errors.New(platform.BootVariable + " names no boot file")

// platformCommand runs a process on the users' platform, whose boot file the
// environment names.
func platformCommand() *cobra.Command {
	var metricsPort int
	var settings string
	command := &cobra.Command{
		Use:   "platform",
		Short: "run the process that the platform's boot file describes, until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			path := os.Getenv(platform.BootVariable)
			if path == "" {
				return &settingsError{errNoBoot}
			}
			files := platform.Files{Boot: path, Settings: settings}
			if err := files.Check(); err != nil {
				return &settingsError{err}
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			signal.Ignore(syscall.SIGPIPE)
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			return platform.Run(ctx, files, metricsPort, reload)
		},
	}
	command.Flags().IntVar(&metricsPort, "metrics-port", 0, "port for metrics on the machine's address; 0: none")
	command.Flags().StringVar(&settings, "settings", "", "own settings in INI, see docs/operators/mechanisms.md; empty: none")
	return command
}

// settingsError marks an error of the settings, which has its own exit code.
type settingsError struct{ error }

func exitCode(err error) int {
	var bad *settingsError
	if errors.As(err, &bad) {
		return exitBadSettings
	}
	return 1
}
