package main

import (
	"bufio"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/lab/capacity"
	"siskinloom.example/siskinloom/internal/lab/demo"
)

// capacityCommand returns the steps of the capacity measurement as subcommands,
// which scripts/capacity.sh calls.
func capacityCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "capacity", Short: "the steps of the capacity measurement, which scripts/capacity.sh runs"}
	var entries, agents, basePort int
	var dir, pids, out, limitsFile string
	var duration time.Duration
	layout := &cobra.Command{Use: "layout", Short: "write the settings of a fleet", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		_, err := demo.WriteFleetLayout(dir, basePort, entries, agents)
		return err
	}}
	measure := &cobra.Command{Use: "measure", Short: "measure a fleet's processes", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		processes, err := readProcesses(pids)
		if err != nil {
			return err
		}
		samples, err := capacity.Measure(entries, agents, processes, duration)
		if err != nil {
			return err
		}
		return capacity.Append(out, samples)
	}}
	report := &cobra.Command{Use: "report", Short: "print the figures and their extrapolation", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		samples, err := capacity.Load(out)
		if err != nil {
			return err
		}
		if err := capacity.Report(cmd.OutOrStdout(), samples); err != nil {
			return err
		}
		limits, err := bounds.Load(limitsFile)
		if err != nil {
			return err
		}
		if failed := bounds.Report(cmd.OutOrStdout(), capacity.Figures(samples), limits, false); failed > 0 {
			return errors.Errorf("%d figures failed", failed)
		}
		return nil
	}}
	report.Flags().StringVar(&limitsFile, "limits", "bench/capacity.ini", "the bounds of a node's cost")
	for _, c := range []*cobra.Command{layout, measure} {
		c.Flags().IntVar(&entries, "entries", 4, "entries of the fleet")
		c.Flags().IntVar(&agents, "agents", 14, "agents of the fleet")
	}
	layout.Flags().StringVar(&dir, "dir", "capacity-out", "folder for the settings")
	layout.Flags().IntVar(&basePort, "base", 25000, "the fleet uses free ports above this one")
	measure.Flags().StringVar(&pids, "pids", "", "file with a line per process: role, process id, address of its metrics")
	measure.Flags().DurationVar(&duration, "span", 10*time.Second, "how long to measure")
	for _, c := range []*cobra.Command{measure, report} {
		c.Flags().StringVar(&out, "out", "capacity.json", "file of the samples")
	}
	cmd.AddCommand(layout, measure, report)
	return cmd
}

// readProcesses reads a file with a line for each process: role, process ID and
// address of its metrics.
func readProcesses(path string) ([]capacity.Process, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "pids")
	}
	defer file.Close()
	var all []capacity.Process
	scanner := bufio.NewScanner(file)
	for line := 1; scanner.Scan(); line++ {
		var p capacity.Process
		if _, err := fmt.Sscan(scanner.Text(), &p.Role, &p.PID, &p.Metrics); err != nil {
			return nil, errors.Wrapf(err, "%s:%d", path, line)
		}
		all = append(all, p)
	}
	return all, errors.Wrap(scanner.Err(), "pids")
}
