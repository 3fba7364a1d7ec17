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

// exitInvalidSettings is the exit code for invalid settings.
const exitInvalidSettings = 2

var errNoBootFile = errors.New(platform.BootVariable + " names no boot file")

// platformCommand returns the command that runs a process on the users' platform.
// The environment names the platform's boot file.
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
				return &settingsError{errNoBootFile}
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

// settingsError is an error in the settings, for which the exit code is
// exitInvalidSettings.
type settingsError struct{ error }

func exitCode(err error) int {
	var invalid *settingsError
	if errors.As(err, &invalid) {
		return exitInvalidSettings
	}
	return 1
}
