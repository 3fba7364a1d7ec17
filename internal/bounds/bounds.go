// Package bounds compares measured figures with the regression bounds of
// bench/bounds.ini. Every figure comes from a seeded run in virtual time or from
// counters, so that the verdict is the same on every machine.
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

// maxConcurrent is the number of measurements that run at the same time. Most use
// one core, some use several.
const maxConcurrent = 6

// Figure is a measured value.
type Figure struct {
	Name  string
	Value float64
}

// Measurement is a seeded run that produces figures.
type Measurement struct {
	Name      string // name by which the run is selected on the command line
	Run       func() ([]Figure, error)
	Exclusive bool // the run counts events of the whole process, so no other may run at the same time
}

// RunAll runs the measurements and returns their figures in the order of the
// measurements. The exclusive ones run first, one by one; the others run
// concurrently.
func RunAll(all []Measurement) ([]Figure, error) {
	figures := make([][]Figure, len(all))
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
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

// Bound is a lower or upper limit of a figure, or both.
type Bound struct {
	Min, Max float64
	HasMin   bool
	HasMax   bool
}

// Holds reports whether v is within the bound. NaN never is.
func (b Bound) Holds(v float64) bool {
	if math.IsNaN(v) {
		return false
	}
	return (!b.HasMin || v >= b.Min) && (!b.HasMax || v <= b.Max)
}

// String returns the bound as it is printed in reports.
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

// Load reads bounds from an INI file. It has a section for each figure with the keys
// min and max. A figure with neither is reported without a limit.
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

// Report prints each figure with its bound and verdict and returns the number of
// failures. A figure without a bound fails, and so does a bound whose figure was
// not measured, unless partial is true because only some runs were selected.
func Report(out io.Writer, figures []Figure, limits map[string]Bound, partial bool) int {
	sort.SliceStable(figures, func(i, j int) bool { return figures[i].Name < figures[j].Name })
	failed := 0
	measured := map[string]bool{}
	for _, f := range figures {
		bound, known := limits[f.Name]
		measured[f.Name] = true
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
	for _, name := range missing(limits, measured) {
		fmt.Fprintf(out, "%s not-measured %s FAIL\n", name, limits[name])
		failed++
	}
	return failed
}

// missing returns the sorted names of the bounds whose figures were not measured.
func missing(limits map[string]Bound, measured map[string]bool) []string {
	var names []string
	for name := range limits {
		if !measured[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
