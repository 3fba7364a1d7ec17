package ctl

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"siskinloom.example/siskinloom/api/operatorpb"
)

// table is a header and rows of the same length.
type table struct {
	header []string
	rows   [][]string
}

// print prints the message as JSON or, without --json, the tables that have rows.
func (o *options) print(cmd *cobra.Command, message proto.Message, tables ...table) error {
	if o.json {
		return printJSON(cmd.OutOrStdout(), message)
	}
	for _, t := range tables {
		if len(t.rows) == 0 {
			continue
		}
		if err := printTable(cmd.OutOrStdout(), t); err != nil {
			return err
		}
	}
	return nil
}

func printTable(out io.Writer, t table) error {
	writer := tablewriter.NewTable(out)
	writer.Header(t.header)
	if err := writer.Bulk(t.rows); err != nil {
		return err
	}
	return writer.Render()
}

func printJSON(out io.Writer, message proto.Message) error {
	text, err := protojson.MarshalOptions{EmitUnpopulated: true, UseProtoNames: true}.Marshal(message)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", text)
	return err
}

func changeTable(changes []*operatorpb.Change) table {
	t := table{header: []string{"change", "object", "field", "before", "after"}}
	for _, c := range changes {
		t.rows = append(t.rows, []string{c.Kind, c.Object, c.Field, c.Before, c.After})
	}
	return t
}

func instanceTable(instances []*operatorpb.InstanceStatus) table {
	t := table{header: []string{"instance", "role", "service", "domain", "state", "revision", "weights", "engine", "heard"}}
	for _, i := range instances {
		heard := "never"
		if i.HeardMsAgo >= 0 {
			heard = (time.Duration(i.HeardMsAgo) * time.Millisecond).String() + " ago"
		}
		t.rows = append(t.rows, []string{i.Id, i.Role, i.Service, i.FailureDomain, i.State, formatInt(i.Revision), formatInt(i.WeightVersion), i.EngineRole, heard})
	}
	return t
}

func dutyTable(duties []*operatorpb.DutyStatus) table {
	t := table{header: []string{"duty", "holder", "epoch"}}
	for _, d := range duties {
		t.rows = append(t.rows, []string{d.Name, d.Holder, formatInt(d.Epoch)})
	}
	return t
}

func auditTable(records []*operatorpb.AuditRecord) table {
	t := table{header: []string{"revision", "time", "operator", "from", "change id", "action", "changes", "outcome", "times"}}
	for _, r := range records {
		at := time.UnixMilli(max(r.UnixMs, r.LastUnixMs)).UTC().Format(time.RFC3339)
		outcome := r.Outcome
		if r.Detail != "" {
			outcome += ": " + r.Detail
		}
		t.rows = append(t.rows, []string{formatInt(r.Revision), at, r.Operator, r.From, r.ChangeId, r.Action, changeText(r.Changes), outcome, formatInt(r.Count)})
	}
	return t
}

// shownChanges is the number of changes in a row of the table. JSON contains all
// changes.
const shownChanges = 3

func changeText(changes []*operatorpb.Change) string {
	var parts []string
	for i, c := range changes {
		if i == shownChanges {
			parts = append(parts, fmt.Sprintf("and %d more", len(changes)-i))
			break
		}
		part := c.Kind + " " + c.Object
		if c.Field != "" {
			part += fmt.Sprintf(" %s: %s -> %s", c.Field, c.Before, c.After)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, "; ")
}

func quarantineTable(entries []*operatorpb.QuarantineEntry) table {
	t := table{header: []string{"fingerprint", "service", "endpoints", "expires"}}
	for _, e := range entries {
		expires := time.UnixMilli(e.ExpiresUnixMs).UTC().Format(time.RFC3339)
		t.rows = append(t.rows, []string{e.Fingerprint, e.Service, strconv.Itoa(int(e.Endpoints)), expires})
	}
	return t
}

func formatInt(n int64) string {
	return strconv.FormatInt(n, 10)
}

func joinRow(row []string) string {
	return strings.Join(row, "  ")
}
