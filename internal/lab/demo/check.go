package demo

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/olekukonko/tablewriter"
	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/standin"
)

// Check prints the tables of the demo's results in dir and returns the number of
// violations of the invariants.
func Check(dir string, out io.Writer) (int, error) {
	layout, err := ReadLayout(filepath.Join(dir, "layout.json"))
	if err != nil {
		return 0, err
	}
	results, err := readResults(dir)
	if err != nil {
		return 0, err
	}
	effects, err := readEffects(layout)
	if err != nil {
		return 0, err
	}
	violations := 0
	doubleRuns, falseNotRun := countViolations(results, effects)
	if err := printClasses(out, results); err != nil {
		return 0, err
	}
	for _, r := range results {
		violations += r.Wrong
	}
	fmt.Fprintf(out, "operations run twice: %d, run though told \"not run\": %d, effects seen: %d\n", doubleRuns, falseNotRun, len(effects))
	violations += doubleRuns + falseNotRun
	feedViolations, err := printFeeds(dir, layout, out)
	return violations + feedViolations, err
}

func readResults(dir string) ([]ClassResult, error) {
	var results []ClassResult
	text, err := os.ReadFile(filepath.Join(dir, resultsFile))
	if err != nil {
		return nil, errors.Wrap(err, "demo")
	}
	return results, errors.Wrap(json.Unmarshal(text, &results), "demo")
}

// readEffects returns how often each operation ran, over all endpoints of the plain
// services including those that were killed.
func readEffects(layout Layout) (map[string]int, error) {
	effects := map[string]int{}
	for _, site := range layout.Sites {
		for _, a := range site.Agents {
			if a.Effects == "" {
				continue
			}
			if err := countEffects(a.Effects, effects); err != nil {
				return nil, err
			}
		}
	}
	return effects, nil
}

// countEffects adds the operations in an endpoint's file of effects.
func countEffects(path string, effects map[string]int) error {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		effects[scanner.Text()]++
	}
	return errors.Wrap(scanner.Err(), "demo")
}

// countViolations returns the number of operations that ran more than once, and of
// those that ran although the caller was answered "not run".
func countViolations(results []ClassResult, effects map[string]int) (doubleRuns, falseNotRun int) {
	for _, n := range effects {
		if n > 1 {
			doubleRuns++
		}
	}
	for _, r := range results {
		for _, operation := range r.NotRunOperations {
			if effects[operation] > 0 {
				falseNotRun++
			}
		}
	}
	return doubleRuns, falseNotRun
}

func printClasses(out io.Writer, results []ClassResult) error {
	table := tablewriter.NewWriter(out)
	table.Header("deployment", "class", "on time", "late", "not run", "unknown", "wrong", "resent", "p50 ms", "p99 ms", "reasons")
	for _, r := range results {
		row := []any{r.Site, r.Class, r.OnTime, r.Late, r.NotRun, r.Unknown, r.Wrong, r.Resent, fmt.Sprintf("%.1f", r.P50), fmt.Sprintf("%.1f", r.P99), formatReasons(r)}
		if err := table.Append(row...); err != nil {
			return errors.Wrap(err, "demo")
		}
	}
	return errors.Wrap(table.Render(), "demo")
}

func formatReasons(r ClassResult) string {
	var list []string
	for reason, n := range r.Reasons {
		list = append(list, fmt.Sprintf("%s: %d", reason, n))
	}
	return strings.Join(list, ", ")
}

// printFeeds prints the reports of the trainers and returns the number of violations in
// them. A feed without a complete step is a violation; otherwise the demo would pass
// without a rollout.
func printFeeds(dir string, layout Layout, out io.Writer) (int, error) {
	table := tablewriter.NewWriter(out)
	table.Header("feed", "steps", "samples", "idle s", "train s", "staleness mean", "max", "version", "too old", "duplicates", "mislabelled")
	violations := 0
	for _, site := range layout.Sites {
		r, err := readTrainerReport(filepath.Join(dir, "logs", site.Deployment+"-trainer.out"))
		if err != nil {
			return violations, err
		}
		violations += r.Stale + r.Duplicates + r.Mislabelled
		if r.Steps == 0 {
			violations++
		}
		row := []any{site.Feed, r.Steps, r.Samples, fmt.Sprintf("%.1f", r.IdleSeconds), fmt.Sprintf("%.1f", r.TrainSeconds), fmt.Sprintf("%.2f", r.StalenessMean), r.StalenessMax, r.Version, r.Stale, r.Duplicates, r.Mislabelled}
		if err := table.Append(row...); err != nil {
			return violations, errors.Wrap(err, "demo")
		}
	}
	return violations, errors.Wrap(table.Render(), "demo")
}

// readTrainerReport reads the report that a trainer prints as its last line.
func readTrainerReport(path string) (standin.TrainerReport, error) {
	var r standin.TrainerReport
	text, err := os.ReadFile(path)
	if err != nil {
		return r, errors.Wrap(err, "demo")
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return r, errors.Wrap(json.Unmarshal([]byte(lines[len(lines)-1]), &r), "demo: "+path)
}
