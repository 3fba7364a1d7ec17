package standin

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/trainerpb"
	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	pullWait   = 500 * time.Millisecond
	pullLimit  = 3 * time.Second
	retryPause = 50 * time.Millisecond
)

// TrainerOptions describes a trainer of one feed.
type TrainerOptions struct {
	Entries          []string // addresses; the next is tried when one fails
	Key              string   // sent as "authorization: Bearer KEY"
	Deployment       string
	Feed             string
	Model            string
	Version          int64
	StalenessBound   int64 // staleness bound, to count what breaks it
	TrainTime        time.Duration
	AnnounceInterval int // steps from one announced version to the next; 0: 1
}

// TrainerReport is what a trainer measured.
type TrainerReport struct {
	Lots          int     `json:"lots"`
	Samples       int     `json:"samples"`
	Tokens        int     `json:"tokens"`
	Steps         int     `json:"steps"`
	Version       int64   `json:"version"`
	IdleSeconds   float64 `json:"idle_seconds"` // waiting for samples
	TrainSeconds  float64 `json:"train_seconds"`
	StalenessMean float64 `json:"staleness_mean"` // in versions, of each sample's oldest segment
	StalenessMax  int64   `json:"staleness_max"`
	Stale         int     `json:"stale"` // beyond the bound
	Duplicates    int     `json:"duplicates"`
	Mislabelled   int     `json:"mislabelled"`
	Failed        int     `json:"failed"` // handed over as not to be made
	PullErrors    int     `json:"pull_errors"`
	Refused       string  `json:"refused,omitempty"` // why an entry refused this trainer for good
	Announced     int64   `json:"announced"`         // newest version an entry has taken
}

// Trainer pulls lots, checks and counts them, and announces versions. Run it
// once; Report may be called from elsewhere meanwhile.
type Trainer struct {
	options TrainerOptions
	entries []trainerpb.TrainerClient
	client  *handover.Client
	seen    map[string]bool

	mu        sync.Mutex
	report    TrainerReport
	staleness int64 // sum over the samples
}

// NewTrainer returns a trainer; connections are made when first used.
func NewTrainer(o TrainerOptions) (*Trainer, error) {
	t := &Trainer{options: o, seen: map[string]bool{}}
	t.client = handover.NewClient(handover.Position{}, o.StalenessBound)
	t.report.Version = o.Version
	t.options.AnnounceInterval = max(1, o.AnnounceInterval)
	for _, address := range o.Entries {
		conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, errors.Wrap(err, "standin: trainer")
		}
		t.entries = append(t.entries, trainerpb.NewTrainerClient(conn))
	}
	return t, nil
}

// Report returns what was measured so far.
func (t *Trainer) Report() TrainerReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	if r.Samples > 0 {
		r.StalenessMean = float64(t.staleness) / float64(r.Samples)
	}
	return r
}

// Run pulls and trains until ctx ends.
func (t *Trainer) Run(ctx context.Context) {
	ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+t.options.Key)
	idleSince := time.Now()
	for attempt := 0; ctx.Err() == nil; {
		lot, err := t.pull(ctx, attempt)
		if err != nil {
			attempt++
			t.count(func(r *TrainerReport) { r.PullErrors++ })
			sleep(ctx, retryPause)
			continue
		}
		if !t.take(lot) {
			continue
		}
		t.count(func(r *TrainerReport) { r.IdleSeconds += time.Since(idleSince).Seconds() })
		t.train(ctx)
		idleSince = time.Now()
	}
	t.count(func(r *TrainerReport) { r.IdleSeconds += time.Since(idleSince).Seconds() })
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (t *Trainer) count(f func(*TrainerReport)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.report)
}

func (t *Trainer) pull(ctx context.Context, attempt int) (*trainerpb.PullResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pullLimit)
	defer cancel()
	pull := t.client.Pull(t.Report().Version)
	request := &trainerpb.PullRequest{
		Deployment:    t.options.Deployment,
		Feed:          t.options.Feed,
		Cursor:        pull.Cursor,
		WeightVersion: pull.Version,
		PullToken:     pull.Token,
		WaitMs:        int32(pullWait.Milliseconds()),
		Restarted:     pull.Restarted,
	}
	for _, held := range pull.Unrecorded {
		record := &trainerpb.LotRecord{Cursor: held.Cursor}
		for _, id := range held.IDs {
			record.SampleIds = append(record.SampleIds, id.Name(t.options.Deployment, t.options.Feed))
		}
		request.Unrecorded = append(request.Unrecorded, record)
	}
	answer, err := t.entries[attempt%len(t.entries)].Pull(ctx, request)
	if err != nil {
		refusal := handover.Refusal(status.Convert(err).Message())
		if fatal := t.client.HandleRefusal(refusal); fatal != nil {
			t.count(func(r *TrainerReport) { r.Refused = fatal.Error() })
		}
	}
	return answer, err
}

// take counts a lot, unless the client settles that it is not to be trained on,
// and tells whether a step is complete with it.
func (t *Trainer) take(lot *trainerpb.PullResponse) bool {
	answer := handover.Answer{
		Cursor: lot.Cursor, Token: lot.PullToken, Recorded: lot.RecordedCursor,
		Step: lot.Step, StepComplete: lot.StepComplete,
	}
	for _, s := range lot.Samples {
		id, err := sample.Parse(s.Id, t.options.Deployment, t.options.Feed)
		if err != nil {
			t.count(func(r *TrainerReport) { r.Mislabelled++ })
			return false
		}
		converted := sample.Sample{ID: id, Prompt: s.Prompt, Text: s.Text, Score: s.Score, Failed: s.Failed}
		for _, g := range s.Segments {
			converted.Segments = append(converted.Segments, wire.Segment{Version: g.Version, From: int(g.FromToken), To: int(g.ToToken)})
		}
		answer.Samples = append(answer.Samples, converted)
	}
	if len(t.client.HandleAnswer(answer, t.Report().Version)) == 0 {
		return false
	}
	t.count(func(r *TrainerReport) { r.Lots++ })
	for _, s := range lot.Samples {
		t.check(s)
	}
	return lot.StepComplete
}

func (t *Trainer) check(s *trainerpb.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Samples++
	if t.seen[s.Id] {
		t.report.Duplicates++
	}
	t.seen[s.Id] = true
	if s.Failed != "" {
		t.report.Failed++
		return
	}
	if !labelled(s) {
		t.report.Mislabelled++
	}
	oldest := t.report.Version
	for _, segment := range s.Segments {
		oldest = min(oldest, segment.Version)
		t.report.Tokens += int(segment.ToToken - segment.FromToken)
	}
	stale := t.report.Version - oldest
	t.staleness += stale
	t.report.StalenessMax = max(t.report.StalenessMax, stale)
	if stale > t.options.StalenessBound {
		t.report.Stale++
	}
}

// labelled holds the segments against the versions that the text itself names.
func labelled(s *trainerpb.Sample) bool {
	versions, err := textVersions(s.Text)
	if err != nil || len(versions) == 0 {
		return false
	}
	covered := int32(0)
	for _, segment := range s.Segments {
		if segment.FromToken != covered || int(segment.ToToken) > len(versions) {
			return false
		}
		for _, version := range versions[segment.FromToken:segment.ToToken] {
			if version != segment.Version {
				return false
			}
		}
		covered = segment.ToToken
	}
	return int(covered) == len(versions)
}

func (t *Trainer) train(ctx context.Context) {
	sleep(ctx, t.options.TrainTime)
	var announce int64
	t.count(func(r *TrainerReport) {
		r.Steps++
		r.TrainSeconds += t.options.TrainTime.Seconds()
		r.Version++
		if r.Steps%t.options.AnnounceInterval == 0 {
			announce = r.Version
		}
	})
	if announce > 0 {
		go t.announce(ctx, announce)
	}
}

// announce repeats until an entry takes the version or a newer one was taken.
func (t *Trainer) announce(ctx context.Context, version int64) {
	for attempt := 0; ctx.Err() == nil && t.Report().Announced < version; attempt++ {
		call, cancel := context.WithTimeout(ctx, pullLimit)
		_, err := t.entries[attempt%len(t.entries)].Announce(call, &trainerpb.AnnounceRequest{
			Deployment: t.options.Deployment, Feed: t.options.Feed, Model: t.options.Model, Version: version,
		})
		cancel()
		if err == nil {
			t.count(func(r *TrainerReport) { r.Announced = max(r.Announced, version) })
			return
		}
		sleep(ctx, retryPause)
	}
}
