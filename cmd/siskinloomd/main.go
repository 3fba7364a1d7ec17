// Command siskinloomd is the daemon of siskinloom. It runs as an entry or as an agent,
// or on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"siskinloom.example/siskinloom/internal/daemon"
	"siskinloom.example/siskinloom/internal/settings"
)

func main() {
	root := &cobra.Command{
		Use:           "siskinloomd",
		Short:         "the rollout service's daemon",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), checkCommand(), platformCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func runCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "run FILE",
		Short: "run the process that a settings file describes, until SIGTERM",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return daemon.Run(ctx, s)
		},
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "check a settings file and report every error with its line",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	}
}
