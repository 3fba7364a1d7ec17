package main

import (
	"fmt"
	"image/color"
	"io"
	"strconv"

	"github.com/olekukonko/tablewriter"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"siskinloom.example/siskinloom/internal/lab/rollout"
)

func plotCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "plot", Short: "plot measured figures"}
	var out string
	tradeoff := &cobra.Command{
		Use:   "tradeoff",
		Short: "plot a trainer's idle time against staleness over the feed's weights",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return plotTradeoff(cmd.OutOrStdout(), out)
		},
	}
	tradeoff.Flags().StringVar(&out, "out", "tradeoff.png", "image file; its extension selects the format")
	cmd.AddCommand(tradeoff)
	return cmd
}

// curveColors are the colors of the curves in the order of the deployments.
var curveColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x4e, B: 0x79, A: 0xff},
	color.RGBA{R: 0xb4, G: 0x53, B: 0x09, A: 0xff},
}

// plotTradeoff writes the plot to path and prints its points as a table.
func plotTradeoff(out io.Writer, path string) error {
	p := plot.New()
	p.Title.Text = "Idle time against staleness"
	p.X.Label.Text = "mean staleness at hand-over (versions)"
	p.Y.Label.Text = "waiting per second of training (s)"
	p.X.Min, p.Y.Min = 0, 0
	table := tablewriter.NewWriter(out)
	table.Header("deployment", "weight_staleness / weight_idle", "waited s per s", "versions behind", "own")
	for i, curve := range rollout.Tradeoff() {
		if err := addCurve(p, curve, curveColors[i%len(curveColors)]); err != nil {
			return err
		}
		for _, point := range curve.Points {
			own := ""
			if point.Declared {
				own = "own"
			}
			row := []string{
				curve.Deployment, strconv.FormatFloat(point.StalenessWeight, 'g', 3, 64),
				fmt.Sprintf("%.3f", point.IdlePerTraining), fmt.Sprintf("%.3f", point.MeanStaleness), own,
			}
			if err := table.Append(row); err != nil {
				return errors.Wrap(err, "plot")
			}
		}
	}
	if err := table.Render(); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(14*vg.Centimeter, 9*vg.Centimeter, path), "plot")
}

// addCurve adds a curve to the plot and marks the deployment's own weights with a
// ring.
func addCurve(p *plot.Plot, curve rollout.Curve, c color.Color) error {
	var all, own plotter.XYs
	for _, point := range curve.Points {
		xy := plotter.XY{X: point.MeanStaleness, Y: point.IdlePerTraining}
		all = append(all, xy)
		if point.Declared {
			own = append(own, xy)
		}
	}
	line, points, err := plotter.NewLinePoints(all)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	line.Color = c
	points.Color = c
	points.Shape = draw.CircleGlyph{}
	mark, err := plotter.NewScatter(own)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	mark.Color = c
	mark.Shape = draw.RingGlyph{}
	mark.Radius = 2.5 * points.Radius
	p.Add(line, points, mark)
	p.Legend.Add(curve.Deployment+" (ring: its own weights)", line)
	p.Legend.Top = true
	return nil
}
