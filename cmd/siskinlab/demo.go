package main

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"siskinloom.example/siskinloom/internal/lab/demo"
)

// demoCommand returns the steps of the demo as subcommands, which scripts/demo.sh
// calls.
func demoCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "demo", Short: "the steps of the demo, which scripts/demo.sh runs"}
	cmd.PersistentFlags().String("dir", "demo-out", "the demo's folder")
	cmd.AddCommand(layoutCommand(), loadCommand(), faultsCommand(), judgeCommand())
	cmd.AddCommand(
		layoutStep("instances", "send the instance lists to the platforms", func(dir string, l demo.Layout) error {
			if err := demo.AwaitControls(l); err != nil {
				return err
			}
			return demo.PublishInstances(dir, l)
		}),
		layoutStep("ready", "wait until every process is ready", func(_ string, l demo.Layout) error { return demo.AwaitReady(l) }),
		layoutStep("outage", "start an outage of the key-value services", func(_ string, l demo.Layout) error { return demo.SetOutage(l, true) }),
		layoutStep("recover", "end the outage of the key-value services", func(_ string, l demo.Layout) error { return demo.SetOutage(l, false) }),
	)
	return cmd
}

// layoutStep returns a command that calls step with the demo's folder and layout.
func layoutStep(use, short string, step func(dir string, l demo.Layout) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir := demoDir(cmd)
			layout, err := demo.ReadLayout(filepath.Join(dir, "layout.json"))
			if err != nil {
				return err
			}
			return step(dir, layout)
		},
	}
}

func demoDir(cmd *cobra.Command) string {
	return cmd.Flag("dir").Value.String()
}

func layoutCommand() *cobra.Command {
	var basePort int
	cmd := &cobra.Command{
		Use:   "layout",
		Short: "write settings, instance lists and the list of processes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := demo.WriteLayout(demoDir(cmd), basePort)
			return err
		},
	}
	cmd.Flags().IntVar(&basePort, "base", 21000, "the fleet uses free ports above this one")
	return cmd
}

func loadCommand() *cobra.Command {
	var duration time.Duration
	cmd := &cobra.Command{
		Use:   "load",
		Short: "send the callers' traffic of both deployments",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return demo.RunLoad(cmd.Context(), demoDir(cmd), duration, cmd.OutOrStdout())
		},
	}
	cmd.Flags().DurationVar(&duration, "duration", 30*time.Second, "duration of the load")
	return cmd
}

func faultsCommand() *cobra.Command {
	var seed uint64
	var duration time.Duration
	cmd := layoutStep("faults", "draw a schedule of faults for scripts/demo.sh", func(_ string, l demo.Layout) error {
		for _, fault := range demo.DrawFaults(l, seed, duration) {
			fmt.Println(fault)
		}
		return nil
	})
	cmd.Flags().Uint64Var(&seed, "seed", 1, "the same seed gives the same schedule")
	cmd.Flags().DurationVar(&duration, "duration", time.Minute, "duration of the load")
	return cmd
}

func judgeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "judge",
		Short: "print the demo's tables; fails if an invariant was violated",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			violations, err := demo.Check(demoDir(cmd), cmd.OutOrStdout())
			if err != nil {
				return err
			}
			if violations > 0 {
				return errors.Errorf("%d invariants were violated", violations)
			}
			return nil
		},
	}
}
