// Package bounds holds measured figures against the regression bounds of
// bench/bounds.ini. Every figure comes from a seeded run in virtual time or
// from counters, so that a verdict is the same on every machine.
package bounds

import (
	"fmt"
	"io"
	"math"
	"slices"
	"sort"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"gopkg.in/ini.v1"
)

// atOnce is how many measurements run side by side. Some use several cores by
// themselves, most use one.
const atOnce = 6

// Figure is one measured value.
type Figure struct {
	Name  string
	Value float64
}

// Measurement produces figures from one seeded run.
type Measurement struct {
	Name      string // names the run, for selection on the command line
	Run       func() ([]Figure, error)
	Exclusive bool // counts what the whole process does, so that no other may run beside it
}

// RunAll runs the measurements and returns their figures in the order given.
// Those that need not be alone run several at once.
func RunAll(all []Measurement) ([]Figure, error) {
	figures := make([][]Figure, len(all))
	var group errgroup.Group
	group.SetLimit(atOnce)
	run := func(i int) (err error) {
		figures[i], err = all[i].Run()
		return errors.Wrap(err, all[i].Name)
	}
	for i, m := range all {
		if !m.Exclusive {
			continue
		}
		if err := run(i); err != nil {
			return nil, err
		}
	}
	for i, m := range all {
		if !m.Exclusive {
			group.Go(func() error { return run(i) })
		}
	}
	err := group.Wait()
	return slices.Concat(figures...), err
}

// Bound limits a figure from below, from above or both.
type Bound struct {
	Min, Max float64
	HasMin   bool
	HasMax   bool
}

// Holds tells whether v keeps the bound. Not-a-number never does.
func (b Bound) Holds(v float64) bool {
	if math.IsNaN(v) {
		return false
	}
	return (!b.HasMin || v >= b.Min) && (!b.HasMax || v <= b.Max)
}

// String returns the bound as it is printed.
func (b Bound) String() string {
	switch {
	case b.HasMin && b.HasMax:
		return fmt.Sprintf("%g..%g", b.Min, b.Max)
	case b.HasMin:
		return fmt.Sprintf(">=%g", b.Min)
	case b.HasMax:
		return fmt.Sprintf("<=%g", b.Max)
	default:
		return "stated"
	}
}

// Load reads bounds from an INI file: a section per figure with min, max or
// neither for a figure that is only stated.
func Load(path string) (map[string]Bound, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.Wrap(err, "bounds")
	}
	all := map[string]Bound{}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection {
			continue
		}
		bound, err := parseBound(section)
		if err != nil {
			return nil, err
		}
		all[section.Name()] = bound
	}
	return all, nil
}

func parseBound(section *ini.Section) (Bound, error) {
	var b Bound
	var err error
	for _, key := range section.Keys() {
		switch key.Name() {
		case "min":
			b.HasMin = true
			b.Min, err = key.Float64()
		case "max":
			b.HasMax = true
			b.Max, err = key.Float64()
		default:
			err = errors.New("unknown key")
		}
		if err != nil {
			return b, errors.Wrapf(err, "bounds: [%s] %s", section.Name(), key.Name())
		}
	}
	return b, nil
}

// Report prints each figure with its bound and verdict and returns how many
// failed. A bound whose figure no run produced counts as failed, unless only
// part of the runs was selected.
func Report(out io.Writer, figures []Figure, limits map[string]Bound, partial bool) int {
	sort.SliceStable(figures, func(i, j int) bool { return figures[i].Name < figures[j].Name })
	failed := 0
	seen := map[string]bool{}
	for _, f := range figures {
		bound, known := limits[f.Name]
		seen[f.Name] = true
		verdict := "ok"
		if !known || !bound.Holds(f.Value) {
			verdict = "FAIL"
			failed++
		}
		limit := bound.String()
		if !known {
			limit = "no-bound"
		}
		fmt.Fprintf(out, "%s %.6g %s %s\n", f.Name, f.Value, limit, verdict)
	}
	if partial {
		return failed
	}
	for _, name := range missing(limits, seen) {
		fmt.Fprintf(out, "%s not-measured %s FAIL\n", name, limits[name])
		failed++
	}
	return failed
}

func missing(limits map[string]Bound, seen map[string]bool) []string {
	var names []string
	for name := range limits {
		if !seen[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
