package main

import (
	"fmt"
	"runtime"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/lab/path"
	"siskinloom.example/siskinloom/internal/lab/rollout"
	"siskinloom.example/siskinloom/internal/lab/routing"
)

// benchmarks returns all wall-clock benchmarks. Their figures depend on the machine
// and have no bounds; each benchmark measures its own baseline in the same run.
func benchmarks() []bounds.Measurement {
	return []bounds.Measurement{
		{Name: "path", Run: path.LookupBenchmark},
		{Name: "tokens", Run: path.TokenBenchmark},
		{Name: "samples", Run: path.SampleBenchmark},
		{Name: "flight", Run: path.InFlightBenchmark},
		{Name: "routing", Run: routing.WallClock},
		{Name: "rollout", Run: rollout.WallClock},
	}
}

func benchCommand() *cobra.Command {
	var only string
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "run the wall-clock benchmarks and print their figures",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "cores %d %s %s/%s\n", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
			for _, m := range benchmarks() {
				if !strings.HasPrefix(m.Name, only) {
					continue
				}
				figures, err := m.Run()
				if err != nil {
					return errors.Wrap(err, m.Name)
				}
				for _, f := range figures {
					fmt.Fprintf(out, "%s %.6g\n", f.Name, f.Value)
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&only, "only", "", "run only benchmarks whose name starts with this")
	return cmd
}
