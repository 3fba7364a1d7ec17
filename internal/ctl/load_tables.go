package ctl

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"siskinloom.example/siskinloom/internal/agentless/loadreport"
)

// noCustomer stands for requests without a customer's key.
const noCustomer = "(none)"

func speedTable(reports []loadReport) table {
	t := table{header: []string{"process", "service", "uneven", "slope", "endpoint", "ms per unit", "of median", "lasting ms", "units", "age", "in flight"}}
	for _, r := range reports {
		for i := range r.Speeds.Services {
			s := &r.Speeds.Services[i]
			head := []string{r.Process, s.Service, formatBool(s.Uneven), formatDecimal(s.Slope, 3)}
			for _, e := range s.Endpoints {
				t.rows = append(t.rows, slices.Concat(head, speedCells(s, &e)))
			}
			if s.Omitted > 0 {
				t.rows = append(t.rows, slices.Concat(head, padded(omittedText(s.Omitted), 7)))
			}
		}
	}
	return t
}

// speedCells returns the cells about one endpoint. A speed that was not measured is left out: the
// report then has the median in its place.
func speedCells(s *loadreport.ServiceSpeeds, e *loadreport.EndpointSpeed) []string {
	cells := []string{e.ID, "", "", "", strconv.Itoa(e.Units), "never", strconv.Itoa(e.InFlight)}
	if e.Units == 0 {
		return cells
	}
	cells[1], cells[5] = formatMillis(e.Seconds), (time.Duration(e.AgeMillis) * time.Millisecond).String()
	if s.Median > 0 {
		cells[2] = formatDecimal(e.Seconds/s.Median, 2)
	}
	if e.Lasting > 0 {
		cells[3] = formatMillis(e.Lasting)
	}
	return cells
}

func queueTable(reports []loadReport) table {
	t := table{header: []string{"process", "service", "customer", "limit", "learned", "assigned", "in flight", "waiting", "queue limit", "refused"}}
	for _, r := range reports {
		for _, q := range r.Queues.Services {
			t.rows = append(t.rows, []string{
				r.Process, q.Service, "(all)", strconv.Itoa(q.Limit), strconv.Itoa(q.Learned), formatLimit(q.Assigned), strconv.Itoa(q.InFlight),
				strconv.Itoa(q.Waiting), strconv.Itoa(q.QueueLimit), refusedText(q.Refused),
			})
			for _, c := range q.Customers {
				t.rows = append(t.rows, []string{
					r.Process, q.Service, customerText(c.Customer), "", "", "", strconv.Itoa(c.InFlight), strconv.Itoa(c.Waiting), "", refusedText(c.Refused),
				})
			}
			if q.Omitted > 0 {
				t.rows = append(t.rows, slices.Concat([]string{r.Process, q.Service}, padded(omittedText(q.Omitted), 8)))
			}
		}
		if r.Queues.Omitted > 0 {
			t.rows = append(t.rows, slices.Concat([]string{r.Process}, padded(omittedText(r.Queues.Omitted), 9)))
		}
	}
	return t
}

// shareTable has four kinds of rows: "uses" a service whose slots the worker in "of" divides, the
// limit of a "customer" there, "divides" the slots of a service, and the part of a "process".
func shareTable(reports []loadReport) table {
	t := table{header: []string{"process", "service", "kind", "of", "slots", "demand", "level", "state"}}
	for _, r := range reports {
		for i := range r.Shares.Services {
			t.rows = append(t.rows, shareRows(r.Process, &r.Shares.Services[i])...)
		}
		for i := range r.Shares.Divided {
			t.rows = append(t.rows, divisionRows(r.Process, &r.Shares.Divided[i])...)
		}
		if r.Shares.Omitted > 0 {
			t.rows = append(t.rows, []string{r.Process, omittedText(r.Shares.Omitted), "uses", "", "", "", "", ""})
		}
		if r.Shares.OmittedDivisions > 0 {
			t.rows = append(t.rows, []string{r.Process, omittedText(r.Shares.OmittedDivisions), "divides", "", "", "", "", ""})
		}
	}
	return t
}

func shareRows(process string, s *loadreport.ServiceShare) [][]string {
	state := "no valid allotment"
	if s.Valid {
		state = "allotment"
	}
	if s.Pressed {
		state += ", under pressure"
	}
	rows := [][]string{{process, s.Service, "uses", s.Worker, formatLimit(s.Slots), "", formatLevel(s.Level), state}}
	for _, c := range s.Customers {
		rows = append(rows, []string{process, s.Service, "customer", customerText(c.Customer), strconv.Itoa(c.Slots), "", "", ""})
	}
	if s.Omitted > 0 {
		rows = append(rows, []string{process, s.Service, "customer", omittedText(s.Omitted), "", "", "", ""})
	}
	return rows
}

func divisionRows(process string, d *loadreport.Division) [][]string {
	rows := [][]string{{process, d.Service, "divides", "", strconv.Itoa(d.Capacity), "", formatLevel(d.Level), ""}}
	for _, p := range d.Processes {
		rows = append(rows, []string{process, d.Service, "process", p.Process, strconv.Itoa(p.Slots), strconv.Itoa(p.Demand), "", ""})
	}
	if d.Omitted > 0 {
		rows = append(rows, []string{process, d.Service, "process", omittedText(d.Omitted), "", "", "", ""})
	}
	return rows
}

func suspectsTable(reports []loadReport) table {
	t := table{header: []string{"process", "fingerprint", "quarantined until", "contested", "endpoints", "reported by", "running at"}}
	for _, r := range reports {
		for i := range r.Suspects.Requests {
			t.rows = append(t.rows, append([]string{r.Process}, suspectCells(&r.Suspects.Requests[i])...))
		}
		if r.Suspects.Omitted > 0 {
			t.rows = append(t.rows, append([]string{r.Process}, padded(omittedText(r.Suspects.Omitted), 6)...))
		}
	}
	return t
}

func suspectCells(s *loadreport.Suspect) []string {
	until := "no"
	if !s.BlockedUntil.IsZero() {
		until = s.BlockedUntil.UTC().Format(time.RFC3339)
	}
	ids := slices.Sorted(maps.Keys(s.Endpoints))
	reporters := make([]string, len(ids))
	for i, id := range ids {
		reporters[i] = s.Endpoints[id]
	}
	if s.Omitted > 0 {
		ids = append(ids, omittedText(s.Omitted))
	}
	running := slices.Clone(s.Running)
	for i := range running {
		if running[i] == "" {
			running[i] = "(not chosen)"
		}
	}
	return []string{s.Fingerprint, until, formatBool(s.Contested), strings.Join(ids, " "), strings.Join(reporters, " "), strings.Join(running, " ")}
}

func refusedText(byReason map[string]int64) string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(byReason)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, byReason[reason]))
	}
	return strings.Join(parts, ", ")
}

func customerText(customer string) string {
	if customer == "" {
		return noCustomer
	}
	return customer
}

func omittedText(n int) string { return fmt.Sprintf("(%d omitted)", n) }

// padded returns a row's last cells, of which only the first has a text.
func padded(text string, cells int) []string {
	row := make([]string, cells)
	row[0] = text
	return row
}

func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// formatLimit returns a limit of which 0 means none.
func formatLimit(n int) string {
	if n == 0 {
		return "none"
	}
	return strconv.Itoa(n)
}

// formatLevel returns the level of a division; 0 means that all customers get what they ask for.
func formatLevel(level float64) string {
	if level == 0 {
		return "none"
	}
	return formatDecimal(level, 2)
}

func formatMillis(seconds float64) string { return formatDecimal(1000*seconds, 1) }

func formatDecimal(x float64, digits int) string { return strconv.FormatFloat(x, 'f', digits, 64) }
