package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agentless/loadreport"
)

const (
	// loadCallTimeout bounds the request to one process.
	loadCallTimeout = 10 * time.Second
	// loadCalls is the maximum number of concurrent requests to processes.
	loadCalls = 16
)

// loadReport is the report of the process at an address.
type loadReport struct {
	Address string `json:"address"`
	*loadreport.Report
}

// loadSection is a part of the report that a command prints.
type loadSection struct {
	use, short string
	keep       func(from, to *loadreport.Report) // sets the section in a report that is printed as JSON
	table      func([]loadReport) table
}

var loadSections = []loadSection{
	{
		use: "speeds", short: "speeds of endpoints, as each process measured or heard them", table: speedTable,
		keep: func(from, to *loadreport.Report) { to.Speeds = from.Speeds },
	},
	{
		use: "queues", short: "requests in flight, waiting and refused, by service and customer", table: queueTable,
		keep: func(from, to *loadreport.Report) { to.Queues = from.Queues },
	},
	{
		use: "shares", short: "slots of services under pressure that each process may use, and their division", table: shareTable,
		keep: func(from, to *loadreport.Report) { to.Shares = from.Shares },
	},
	{
		use: "suspects", short: "requests under which endpoints ended, as each process knows them", table: suspectsTable,
		keep: func(from, to *loadreport.Report) { to.Suspects = from.Suspects },
	},
}

// loadCommands returns the commands that print what processes know of their load.
func (o *options) loadCommands() []*cobra.Command {
	var commands []*cobra.Command
	for _, section := range loadSections {
		var processes []string
		command := &cobra.Command{
			Use: section.use, Short: section.short, Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return o.printLoad(cmd, processes, section) },
		}
		command.Flags().StringSliceVar(&processes, "process", nil, "ip:port of a process's metrics address; may be repeated")
		commands = append(commands, command)
	}
	return commands
}

// printLoad prints one section of the reports of processes. Its error names each process that
// has no usable report; the others are printed.
func (o *options) printLoad(cmd *cobra.Command, processes []string, section loadSection) error {
	if len(processes) == 0 {
		return errors.New("--process is missing")
	}
	reports, failures := readLoads(cmd.Context(), loadCallTimeout, processes)
	if err := o.printReports(cmd.OutOrStdout(), reports, section); err != nil {
		return err
	}
	if len(failures) > 0 {
		return &exitError{code: ExitError, text: strings.Join(failures, "\n")}
	}
	return nil
}

func (o *options) printReports(out io.Writer, reports []loadReport, section loadSection) error {
	if !o.json {
		t := section.table(reports)
		if len(t.rows) == 0 {
			return nil
		}
		return printTable(out, t)
	}
	list := make([]loadReport, len(reports))
	for i, r := range reports {
		list[i] = loadReport{Address: r.Address, Report: &loadreport.Report{Format: r.Format, Process: r.Process, At: r.At, Declaration: r.Declaration}}
		section.keep(r.Report, list[i].Report)
	}
	return errors.Wrap(json.NewEncoder(out).Encode(list), "print")
}

// readLoads returns the reports of processes in the order of their addresses, and a text for each
// process without a usable report. Each process has the timeout for its answer.
func readLoads(ctx context.Context, timeout time.Duration, processes []string) (reports []loadReport, failures []string) {
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true}, // without a proxy: processes are called directly
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	found, faults := make([]*loadreport.Report, len(processes)), make([]error, len(processes))
	var group errgroup.Group
	group.SetLimit(loadCalls)
	for i, address := range processes {
		group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			found[i], faults[i] = readLoad(callCtx, client, address)
			return nil // a failure must not end the requests to other processes
		})
	}
	_ = group.Wait()
	for i, address := range processes {
		if faults[i] != nil {
			failures = append(failures, "process "+address+": "+faults[i].Error())
			continue
		}
		reports = append(reports, loadReport{Address: address, Report: found[i]})
	}
	return reports, failures
}

func readLoad(ctx context.Context, client *http.Client, address string) (*loadreport.Report, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, err
	}
	target := url.URL{Scheme: "http", Host: address, Path: loadreport.Path}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: status %d", loadreport.Path, response.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, loadreport.MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, loadreport.Path)
	}
	if len(raw) > loadreport.MaxBytes {
		return nil, errors.Errorf("%s: more than %d bytes", loadreport.Path, loadreport.MaxBytes)
	}
	report, err := loadreport.Decode(raw)
	return report, errors.Wrap(err, loadreport.Path)
}
