package capacity

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/policy/membership"
	"siskinloom.example/siskinloom/internal/traffic"
)

// ticksPerSecond is the number of clock ticks per second in which /proc gives
// processor time. It is fixed on Linux.
const ticksPerSecond = 100

const (
	scrapeTimeout  = 5 * time.Second
	keyValuePrefix = "kv.bytes."
)

// usage is a reading of a process's counters.
type usage struct {
	ticks    float64            // processor time in clock ticks
	bytes    float64            // read and written
	pages    float64            // resident memory in pages
	counters map[string]float64 // of traffic and of the key-value service, by name
}

// roundToPollInterval rounds a duration up to a multiple of the interval at which
// the instance list is read. Otherwise some entries would by chance read the list
// once more than others, which at these sizes would be most of the traffic of the
// busiest entry.
func roundToPollInterval(duration time.Duration, instances int) time.Duration {
	interval := membership.PollInterval(instances)
	return (duration + interval - 1) / interval * interval
}

// Measure measures processes for at least the given duration and returns one sample
// per role, sorted by role.
func Measure(entries, agents int, processes []Process, duration time.Duration) ([]Sample, error) {
	before, err := readAll(processes)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	time.Sleep(roundToPollInterval(duration, entries+agents))
	after, err := readAll(processes)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(startedAt).Seconds()
	byRole := map[string]*Sample{}
	for i, p := range processes {
		s := byRole[p.Role]
		if s == nil {
			s = &Sample{Entries: entries, Agents: agents, Role: p.Role, Uses: map[string]float64{}, Connections: map[string]float64{}}
			byRole[p.Role] = s
		}
		s.add(before[i], after[i], seconds)
	}
	var samples []Sample
	for _, s := range byRole {
		s.divide()
		samples = append(samples, *s)
	}
	sort.Slice(samples, func(i, j int) bool { return samples[i].Role < samples[j].Role })
	return samples, nil
}

// add adds the usage of one process, over the given number of seconds, to the sums.
func (s *Sample) add(before, after usage, seconds float64) {
	kilobytes := (after.bytes - before.bytes) / seconds / 1024
	s.Processes++
	s.CPUPercent += (after.ticks - before.ticks) / ticksPerSecond / seconds * 100
	s.Kilobytes += kilobytes
	s.Megabytes += after.pages * float64(os.Getpagesize()) / (1 << 20)
	uses := map[string]float64{}
	for name, count := range after.counters {
		rate := (count - before.counters[name]) / seconds
		if use, bytes := useOf(name); bytes {
			s.Uses[use] += rate
			uses[use] += rate
		} else if use, opened := strings.CutSuffix(name, ".connections"); opened {
			s.Connections[use] += rate
		}
	}
	if kilobytes > s.Busiest {
		s.Busiest, s.BusiestUses = kilobytes, uses
	}
}

// divide turns the sums over the processes into means.
func (s *Sample) divide() {
	n := float64(s.Processes)
	s.CPUPercent, s.Kilobytes, s.Megabytes = s.CPUPercent/n, s.Kilobytes/n, s.Megabytes/n
	for _, all := range []map[string]float64{s.Uses, s.Connections} {
		for use := range all {
			all[use] /= n
		}
	}
}

// useOf returns the use whose bytes a counter counts, and false if it counts none.
func useOf(counter string) (string, bool) {
	if strings.HasPrefix(counter, keyValuePrefix) {
		return counter, true
	}
	for _, suffix := range []string{".sent_bytes", ".received_bytes"} {
		if use, found := strings.CutSuffix(counter, suffix); found {
			return use, true
		}
	}
	return "", false
}

// readAll reads the usage of all processes. It scrapes the counters of all processes
// before it reads /proc, because /proc also counts the I/O of a scrape. The answer
// to the second scrape is sent after the measured interval of the counters.
func readAll(processes []Process) ([]usage, error) {
	all := make([]usage, len(processes))
	for i, p := range processes {
		if err := all[i].scrape(p.Metrics); err != nil {
			return nil, errors.Wrapf(err, "capacity: %s", p.Metrics)
		}
	}
	for i, p := range processes {
		if err := all[i].read(p.PID); err != nil {
			return nil, errors.Wrapf(err, "capacity: process %d", p.PID)
		}
	}
	return all, nil
}

// scrape reads the process's traffic counters over HTTP. Without an address there
// are none.
func (u *usage) scrape(address string) error {
	u.counters = map[string]float64{}
	if address == "" {
		return nil
	}
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/metrics", scrapeTimeout)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return errors.Errorf("status %d", status)
	}
	var found map[string]struct {
		Count float64 `json:"count"`
	}
	if err := json.Unmarshal(body, &found); err != nil {
		return err
	}
	for name, metric := range found {
		if strings.HasPrefix(name, traffic.Prefix) || strings.HasPrefix(name, keyValuePrefix) {
			u.counters[name] = metric.Count
		}
	}
	return nil
}

// read reads a process's usage from /proc: processor time and resident pages from
// stat, and the bytes of read and write calls, including those on sockets, from io.
func (u *usage) read(pid int) error {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	line, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return err
	}
	// The process name in parentheses may contain spaces, so the indexes count the
	// fields after it.
	fields := strings.Fields(string(line[strings.LastIndexByte(string(line), ')')+1:]))
	const userTime, systemTime, resident = 11, 12, 21
	if len(fields) <= resident {
		return errors.New("short stat line")
	}
	for _, i := range []int{userTime, systemTime} {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return err
		}
		u.ticks += ticks
	}
	if u.pages, err = strconv.ParseFloat(fields[resident], 64); err != nil {
		return err
	}
	u.bytes, err = readBytes(filepath.Join(dir, "io"))
	return err
}

// readBytes returns the sum of the bytes read and written according to an io file
// of /proc.
func readBytes(path string) (float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	var sum float64
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}
