// Command siskinlab measures siskinloom. It checks deterministic figures against
// their bounds, runs wall-clock benchmarks and the capacity measurement, and
// generates the load of the demo.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/lab/callers"
	"siskinloom.example/siskinloom/internal/lab/changefeed"
	"siskinloom.example/siskinloom/internal/lab/config"
	"siskinloom.example/siskinloom/internal/lab/fanout"
	"siskinloom.example/siskinloom/internal/lab/quarantine"
	"siskinloom.example/siskinloom/internal/lab/rollout"
	"siskinloom.example/siskinloom/internal/lab/routing"
	"siskinloom.example/siskinloom/internal/lab/weights"
)

// measurements returns all deterministic runs.
func measurements() []bounds.Measurement {
	var all []bounds.Measurement
	all = append(all, rollout.Bounds()...)
	all = append(all, callers.Bounds()...)
	all = append(all, config.Bounds()...)
	all = append(all, routing.Bounds()...)
	all = append(all, weights.Bounds()...)
	all = append(all, changefeed.Bounds()...)
	all = append(all, fanout.Bounds()...)
	all = append(all, quarantine.Bounds()...)
	return all
}

func main() {
	root := &cobra.Command{
		Use:           "siskinlab",
		Short:         "measure siskinloom",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(boundsCommand(), benchCommand(), demoCommand(), plotCommand(), capacityCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "siskinlab:", err)
		os.Exit(1)
	}
}

func boundsCommand() *cobra.Command {
	var file, only string
	cmd := &cobra.Command{
		Use:   "bounds",
		Short: "run the deterministic measurements and check them against their bounds",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runBounds(cmd, file, only)
		},
	}
	cmd.Flags().StringVar(&file, "file", "bench/bounds.ini", "the bounds")
	cmd.Flags().StringVar(&only, "only", "", "run only measurements whose name starts with one of these comma-separated prefixes")
	return cmd
}

// hasAnyPrefix reports whether a name starts with one of the comma-separated prefixes.
func hasAnyPrefix(name, prefixes string) bool {
	return slices.ContainsFunc(strings.Split(prefixes, ","), func(p string) bool { return strings.HasPrefix(name, p) })
}

func runBounds(cmd *cobra.Command, file, only string) error {
	limits, err := bounds.Load(file)
	if err != nil {
		return err
	}
	selected := slices.DeleteFunc(measurements(), func(m bounds.Measurement) bool { return !hasAnyPrefix(m.Name, only) })
	figures, err := bounds.RunAll(selected)
	if err != nil {
		return err
	}
	figures = append(figures, platformFigures(figures)...)
	control, err := controlFigures(figures)
	if err != nil {
		return errors.Wrap(err, "control")
	}
	figures = append(figures, control...)
	if failed := bounds.Report(cmd.OutOrStdout(), figures, limits, only != ""); failed > 0 {
		return errors.Errorf("%d figures failed", failed)
	}
	return nil
}
