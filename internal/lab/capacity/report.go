package capacity

import (
	"fmt"
	"io"
	"sort"

	"github.com/olekukonko/tablewriter"
	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"

	"siskinloom.example/siskinloom/internal/bounds"
)

var roles = []string{"entry", "agent"}

// Report prints a table of the samples with, for each role, the extrapolation to
// TargetEntries and TargetAgents, and then tables of the bytes by use.
func Report(out io.Writer, samples []Sample) error {
	table := tablewriter.NewWriter(out)
	table.Header("role", "entries", "agents", "CPU % of a core", "kB/s", "busiest kB/s", "MB")
	for _, role := range roles {
		roleSamples := samplesOf(samples, role)
		if len(roleSamples) == 0 {
			continue
		}
		for _, s := range roleSamples {
			if err := table.Append(row(s, "")...); err != nil {
				return errors.Wrap(err, "capacity")
			}
		}
		if err := table.Append(row(extrapolate(roleSamples), " (line)")...); err != nil {
			return errors.Wrap(err, "capacity")
		}
	}
	if err := table.Render(); err != nil {
		return errors.Wrap(err, "capacity")
	}
	for _, role := range roles {
		roleSamples := samplesOf(samples, role)
		if len(roleSamples) == 0 {
			continue
		}
		if err := reportUses(out, role, append(roleSamples, extrapolate(roleSamples))); err != nil {
			return err
		}
	}
	return nil
}

// samplesOf returns the samples of a role.
func samplesOf(samples []Sample, role string) []Sample {
	var roleSamples []Sample
	for _, s := range samples {
		if s.Role == role {
			roleSamples = append(roleSamples, s)
		}
	}
	return roleSamples
}

// reportUses prints the traffic and the new connections of a role by use, with one
// column per sample.
func reportUses(out io.Writer, role string, columns []Sample) error {
	table := tablewriter.NewWriter(out)
	header := []any{role + ", bytes/s"}
	for _, s := range columns {
		header = append(header, fmt.Sprintf("%d : %d", s.Entries, s.Agents))
	}
	table.Header(header...)
	rows := func(get func(Sample) map[string]float64, suffix, format string) error {
		for _, use := range useNames(columns, get) {
			line := []any{use + suffix}
			for _, s := range columns {
				line = append(line, fmt.Sprintf(format, get(s)[use]))
			}
			if err := table.Append(line...); err != nil {
				return err
			}
		}
		return nil
	}
	if err := rows(usesOf, "", "%.0f"); err != nil {
		return errors.Wrap(err, "capacity")
	}
	if err := rows(busiestOf, ", busiest", "%.0f"); err != nil {
		return errors.Wrap(err, "capacity")
	}
	if err := rows(connectionsOf, ", connections/s", "%.3f"); err != nil {
		return errors.Wrap(err, "capacity")
	}
	return errors.Wrap(table.Render(), "capacity")
}

func usesOf(s Sample) map[string]float64        { return s.Uses }
func busiestOf(s Sample) map[string]float64     { return s.BusiestUses }
func connectionsOf(s Sample) map[string]float64 { return s.Connections }

// useNames returns the names of all uses in the samples, sorted.
func useNames(samples []Sample, get func(Sample) map[string]float64) []string {
	seen := map[string]bool{}
	var all []string
	for _, s := range samples {
		for name := range get(s) {
			if !seen[name] {
				seen[name] = true
				all = append(all, name)
			}
		}
	}
	sort.Strings(all)
	return all
}

func row(s Sample, suffix string) []any {
	return []any{
		s.Role + suffix, s.Entries, s.Agents, fmt.Sprintf("%.2f", s.CPUPercent),
		fmt.Sprintf("%.1f", s.Kilobytes), fmt.Sprintf("%.1f", s.Busiest), fmt.Sprintf("%.1f", s.Megabytes),
	}
}

// Figures returns the extrapolated cost of a process of the reference fleet, each for
// the role with the higher cost. The bytes are those of the busiest process if it
// exceeds the mean.
func Figures(samples []Sample) []bounds.Figure {
	var cpu, bytes, mb float64
	for _, role := range roles {
		s := extrapolate(samplesOf(samples, role))
		cpu = max(cpu, s.CPUPercent)
		bytes = max(bytes, s.Kilobytes*1024, s.Busiest*1024)
		mb = max(mb, s.Megabytes)
	}
	return []bounds.Figure{
		{Name: "control.cpu_share", Value: cpu},
		{Name: "control.bytes_per_s", Value: bytes},
		{Name: "control.rss_mb", Value: mb},
	}
}

// extrapolate returns the sample of the reference fleet. It fits a line to each figure
// over the number of entries and agents. If the slope is negative, it uses the figure
// of the last sample instead, which must be that of the largest size.
func extrapolate(samples []Sample) Sample {
	extrapolateFigure := func(get func(Sample) float64) float64 {
		var n, values []float64
		for _, s := range samples {
			n = append(n, float64(s.Entries+s.Agents))
			values = append(values, get(s))
		}
		offset, slope := stat.LinearRegression(n, values, nil, false)
		if slope < 0 {
			return values[len(values)-1]
		}
		return offset + slope*(TargetEntries+TargetAgents)
	}
	extrapolateUses := func(get func(Sample) map[string]float64) map[string]float64 {
		all := map[string]float64{}
		for _, name := range useNames(samples, get) {
			all[name] = extrapolateFigure(func(s Sample) float64 { return get(s)[name] })
		}
		return all
	}
	out := Sample{
		Entries:     TargetEntries,
		Agents:      TargetAgents,
		CPUPercent:  extrapolateFigure(func(s Sample) float64 { return s.CPUPercent }),
		Kilobytes:   extrapolateFigure(func(s Sample) float64 { return s.Kilobytes }),
		Busiest:     extrapolateFigure(func(s Sample) float64 { return s.Busiest }),
		Megabytes:   extrapolateFigure(func(s Sample) float64 { return s.Megabytes }),
		Uses:        extrapolateUses(usesOf),
		BusiestUses: extrapolateUses(busiestOf),
		Connections: extrapolateUses(connectionsOf),
	}
	if len(samples) > 0 {
		out.Role = samples[0].Role
	}
	return out
}
