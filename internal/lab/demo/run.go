package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/engineapi"
)

const (
	maxTokens        = 64
	progressInterval = 5 * time.Second
	resultsFile      = "load.json"
)

// ClassResult is the result of a request class as it is written for Check.
type ClassResult struct {
	Class   string         `json:"class"`
	Site    string         `json:"site"`
	OnTime  int            `json:"on_time"`
	Late    int            `json:"late"`
	NotRun  int            `json:"not_run"`
	Unknown int            `json:"unknown"`
	Resent  int            `json:"resent"`
	Wrong   int            `json:"wrong"`
	P50     float64        `json:"p50_ms"`
	P99     float64        `json:"p99_ms"`
	Reasons map[string]int `json:"reasons"`
	// NotRunOperations lists the operations whose last answer was "not run".
	NotRunOperations []string `json:"not_run_operations"`
}

// RunLoad generates the load of all sites for the duration and writes the results into
// dir.
func RunLoad(ctx context.Context, dir string, duration time.Duration, progress io.Writer) error {
	layout, err := ReadLayout(filepath.Join(dir, "layout.json"))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	c := newClient()
	var classes []trafficClass
	for _, site := range layout.Sites {
		classes = append(classes, trafficOf(site)...)
	}
	stats := make([]*ClassStats, len(classes))
	var group errgroup.Group
	for i, class := range classes {
		stats[i] = newClassStats(class.name)
		group.Go(func() error {
			c.sendClass(ctx, class, stats[i], uint64(i))
			return nil
		})
	}
	go printProgress(ctx, progress, stats)
	if err := group.Wait(); err != nil {
		return err
	}
	return writeResults(dir, classes, stats)
}

// printProgress prints a line of progress at every progressInterval.
func printProgress(ctx context.Context, out io.Writer, stats []*ClassStats) {
	start := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		answered, other := 0, 0
		for _, s := range stats {
			s.mu.Lock()
			answered += s.OnTime
			other += s.Late + s.NotRun + s.Unknown + s.Wrong
			s.mu.Unlock()
		}
		fmt.Fprintf(out, "  %2.0f s: %d answered on time, %d otherwise\n", time.Since(start).Seconds(), answered, other)
	}
}

func writeResults(dir string, classes []trafficClass, stats []*ClassStats) error {
	var results []ClassResult
	for i, s := range stats {
		results = append(results, ClassResult{
			Class: s.Class, Site: classes[i].site.Deployment,
			OnTime: s.OnTime, Late: s.Late, NotRun: s.NotRun, Unknown: s.Unknown, Resent: s.Resent, Wrong: s.Wrong,
			P50: s.Quantile(50), P99: s.Quantile(99), Reasons: s.reasons, NotRunOperations: s.notRun,
		})
	}
	text, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, resultsFile), text, fileMode), "demo")
}

// trafficOf returns the request classes that the callers of a site send.
func trafficOf(site Site) []trafficClass {
	if site.Deployment == "ledgerwise" {
		return []trafficClass{
			plainGet(site, "lookup", "demo-desk-nadiad", "/status/", 60, 300*time.Millisecond),
			plainPost(site, "ledger-sync", "demo-billing-sync", "/sync", 25, 2*time.Second),
			completions(site, "draft", "demo-draft-studio", 6, 10*time.Second),
		}
	}
	return []trafficClass{
		plainGet(site, "lookup", "demo-kiosk-batumi", "/renewals/", 40, 400*time.Millisecond),
		plainGet(site, "record-check", "demo-partner-rioni", "/records/", 20, time.Second),
		plainPost(site, "renewal", "demo-kiosk-batumi", "/renewals", 15, 3*time.Second),
	}
}

func plainGet(site Site, class, key, path string, rate float64, deadline time.Duration) trafficClass {
	return trafficClass{name: class, site: site, key: key, rate: rate, deadline: deadline, newRequest: func(n int) loadRequest {
		return loadRequest{method: "GET", path: fmt.Sprintf("/svc/%s%s%d", site.Plain, path, n)}
	}}
}

func plainPost(site Site, class, key, path string, rate float64, deadline time.Duration) trafficClass {
	return trafficClass{name: class, site: site, key: key, rate: rate, deadline: deadline, newRequest: func(n int) loadRequest {
		operation := fmt.Sprintf("%s-%s-%d", site.Deployment, class, n)
		body := fmt.Sprintf(`{"operation":%q}`, operation)
		return loadRequest{method: "POST", path: "/svc/" + site.Plain + path, body: []byte(body), operation: operation}
	}}
}

// completions returns a class of completion requests, half of them streamed.
func completions(site Site, class, key string, rate float64, deadline time.Duration) trafficClass {
	return trafficClass{name: class, site: site, key: key, rate: rate, deadline: deadline, newRequest: func(n int) loadRequest {
		request := loadRequest{method: "POST", path: engineapi.PathCompletions, prompt: fmt.Sprintf("reminder for debtor %d", n), seed: int64(n), stream: n%2 == 0}
		request.body, _ = json.Marshal(engineapi.CompletionRequest{Model: site.Model, Prompt: request.prompt, Seed: request.seed, MaxTokens: maxTokens, Stream: request.stream})
		return request
	}}
}
