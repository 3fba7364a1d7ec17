package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/loadreport"
	"siskinloom.example/siskinloom/internal/ctl"
)

// knownLoad returns a report with one element of each kind.
func knownLoad(process string) *loadreport.Report {
	return &loadreport.Report{
		Format: loadreport.Format, Process: process, At: time.UnixMilli(1000).UTC(), Declaration: 7,
		Speeds: &loadreport.Speeds{Services: []loadreport.ServiceSpeeds{{
			Service: "llm", Uneven: true, Median: 0.055, Slope: 0.004, Omitted: 12,
			Endpoints: []loadreport.EndpointSpeed{
				{ID: "i-fast", Seconds: 0.0275, Lasting: 0.026, Units: 321, AgeMillis: 1500, InFlight: 4},
				{ID: "i-new", Seconds: 0.055, AgeMillis: -1},
			},
		}}},
		Queues: &loadreport.Queues{Omitted: 2, Services: []loadreport.Queue{{
			Service: "app", Limit: 6, Learned: 9, Assigned: 6, InFlight: 5, Waiting: 33, QueueLimit: 400, Refused: map[string]int64{"queue-full": 2, "deadline": 1},
			Customers: []loadreport.Customer{
				{Customer: "large", InFlight: 4, Waiting: 33, Refused: map[string]int64{"queue-full": 2}}, {Customer: "", InFlight: 1},
			}, Omitted: 71,
		}}},
		Shares: &loadreport.Shares{
			Services: []loadreport.ServiceShare{{
				Service: "app", Pressed: true, Worker: "storage-2", Slots: 6, Valid: true, Level: 1.25, Processes: 17,
				Customers: []loadreport.CustomerShare{{Customer: "large", Slots: 2}},
			}},
			Divided: []loadreport.Division{{Service: "score", Capacity: 12, Processes: []loadreport.ProcessShare{{Process: "edge-9", Demand: 21, Slots: 8}}, Omitted: 3}},
		},
		Suspects: &loadreport.Suspects{Requests: []loadreport.Suspect{{
			Fingerprint: "00000000000000ff", Endpoints: map[string]string{"i-b": "edge-3", "i-a": "edge-2"}, BlockedUntil: time.UnixMilli(5000).UTC(), Contested: true, Running: []string{""},
		}}},
	}
}

// cells returns the rows of a printed table without its lines.
func cells(out string) []string {
	var rows []string
	for line := range strings.SplitSeq(out, "\n") {
		if fields := strings.Fields(strings.ReplaceAll(line, "│", " ")); len(fields) > 0 && !strings.ContainsAny(line, "─") {
			rows = append(rows, strings.Join(fields, " "))
		}
	}
	return rows
}

var _ = Describe("the commands for the load of processes", func() {
	run := func(args ...string) (string, error) {
		root := ctl.Command(nil)
		var out bytes.Buffer
		root.SetOut(&out)
		root.SetArgs(append([]string{"platform"}, args...))
		err := root.ExecuteContext(context.Background())
		return out.String(), err
	}
	answer := func(handler http.HandlerFunc) (address string) {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	process := func(name string) (address string) {
		return answer(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != loadreport.Path {
				http.NotFound(w, r)
				return
			}
			_ = json.NewEncoder(w).Encode(knownLoad(name))
		})
	}

	DescribeTable("print one table over all processes",
		func(command string, header string, rows ...string) {
			out, err := run(command, "--process", process("edge-1"), "--process", process("edge-2"))
			Expect(err).NotTo(HaveOccurred())
			expected := []string{header}
			for _, name := range []string{"edge-1", "edge-2"} {
				for _, row := range rows {
					expected = append(expected, name+" "+row)
				}
			}
			Expect(cells(out)).To(Equal(expected))
		},
		Entry("speeds", "speeds", "PROCESS SERVICE UNEVEN SLOPE ENDPOINT MS PER UNIT OF MEDIAN LASTING MS UNITS AGE IN FLIGHT",
			"llm yes 0.004 i-fast 27.5 0.50 26.0 321 1.5s 4",
			"llm yes 0.004 i-new 0 never 0",
			"llm yes 0.004 (12 omitted)"),
		Entry("queues", "queues", "PROCESS SERVICE CUSTOMER LIMIT LEARNED ASSIGNED IN FLIGHT WAITING QUEUE LIMIT REFUSED",
			"app (all) 6 9 6 5 33 400 deadline 1, queue-full 2",
			"app large 4 33 queue-full 2",
			"app (none) 1 0",
			"app (71 omitted)",
			"(2 omitted)"),
		Entry("shares", "shares", "PROCESS SERVICE KIND OF SLOTS DEMAND LEVEL STATE",
			"app uses storage-2 6 1.25 allotment, under pressure",
			"app customer large 2",
			"score divides 12 none",
			"score process edge-9 8 21",
			"score process (3 omitted)"),
		Entry("suspects", "suspects", "PROCESS FINGERPRINT QUARANTINED UNTIL CONTESTED ENDPOINTS REPORTED BY RUNNING AT",
			"00000000000000ff 1970-01-01T00:00:05Z yes i-a i-b edge-2 edge-3 (not chosen)"),
	)

	DescribeTable("print their section of the report as JSON, and no other",
		func(command string, section func(r *loadreport.Report)) {
			address := process("edge-1")
			out, err := run(command, "--json", "--process", address)
			Expect(err).NotTo(HaveOccurred())
			var printed []struct {
				Address string `json:"address"`
				loadreport.Report
			}
			Expect(json.Unmarshal([]byte(out), &printed)).To(Succeed())
			Expect(printed).To(HaveLen(1))
			Expect(printed[0].Address).To(Equal(address))
			expected := loadreport.Report{Format: loadreport.Format, Process: "edge-1", At: time.UnixMilli(1000).UTC(), Declaration: 7}
			section(&expected)
			Expect(printed[0].Report).To(Equal(expected))
		},
		Entry("speeds", "speeds", func(r *loadreport.Report) { r.Speeds = knownLoad("").Speeds }),
		Entry("queues", "queues", func(r *loadreport.Report) { r.Queues = knownLoad("").Queues }),
		Entry("shares", "shares", func(r *loadreport.Report) { r.Shares = knownLoad("").Shares }),
		Entry("suspects", "suspects", func(r *loadreport.Report) { r.Suspects = knownLoad("").Suspects }),
	)

	// A process that is down is what an operator asks about; it must not hide the others.
	DescribeTable("name a process without a usable report, print the others and fail",
		func(bad func() string, text string) {
			address := bad()
			out, err := run("queues", "--process", address, "--process", process("edge-2"))
			Expect(out).To(ContainSubstring("edge-2"))
			Expect(err).To(MatchError(And(HavePrefix("process "+address+": "), ContainSubstring(text))))
			Expect(ctl.ExitCode(err)).To(Equal(ctl.ExitError))
		},
		Entry("nothing listens", func() string {
			server := httptest.NewServer(http.NotFoundHandler())
			server.Close()
			return strings.TrimPrefix(server.URL, "http://")
		}, "refused"),
		Entry("an older process", func() string { return answer(http.NotFound) }, "/load.json: status 404"),
		Entry("a redirect", func() string {
			return answer(func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/elsewhere", http.StatusFound) })
		}, "/load.json: status 302"),
		Entry("a page", func() string {
			return answer(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) })
		}, "/load.json: is not JSON"),
		Entry("a wrong field", func() string {
			return answer(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(`{"format":1,"queues":{"services":[{"waiting":"many"}]}}`))
			})
		}, `/load.json: field "queues.services.waiting": is a string, not int`),
		Entry("a cut connection", func() string {
			return answer(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "1000")
				_, _ = w.Write([]byte(`{"format":1`))
			})
		}, "/load.json: unexpected EOF"),
		Entry("endless bytes", func() string {
			return answer(func(w http.ResponseWriter, r *http.Request) {
				for r.Context().Err() == nil {
					if _, err := w.Write(bytes.Repeat([]byte(" "), 1<<16)); err != nil {
						return
					}
				}
			})
		}, "/load.json: more than 4194304 bytes"),
		Entry("no port", func() string { return "10.1.2.3" }, "missing port in address"),
	)

	It("name each of several processes without a usable report, with --json too", func() {
		first, second := answer(http.NotFound), answer(http.NotFound)
		out, err := run("shares", "--json", "--process", first+","+second)
		Expect(out).To(Equal("[]\n"))
		Expect(err).To(MatchError(And(ContainSubstring("process "+first+": "), ContainSubstring("process "+second+": "))))
	})

	// A stopped process accepts connections and never answers.
	It("do not wait for a process beyond the timeout", func() {
		address := answer(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		failures := ctl.ReadLoadFailures(context.Background(), 50*time.Millisecond, address)
		Expect(failures).To(ConsistOf(And(HavePrefix("process "+address+": "), ContainSubstring("deadline exceeded"))))
	})

	It("end when the operator interrupts them", func() {
		address := answer(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		root := ctl.Command(nil)
		root.SetArgs([]string{"platform", "speeds", "--process", address})
		ctx, interrupt := context.WithCancel(context.Background())
		interrupt()
		Expect(root.ExecuteContext(ctx)).To(MatchError(ContainSubstring("process " + address + ": ")))
	})

	It("need a process", func() {
		_, err := run("speeds")
		Expect(err).To(MatchError("--process is missing"))
	})
})
