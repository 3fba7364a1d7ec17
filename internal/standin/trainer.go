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
	pullTimeout = 500 * time.Millisecond
	callTimeout = 3 * time.Second
	retryDelay  = 50 * time.Millisecond
)

// TrainerOptions configures a trainer of one feed.
type TrainerOptions struct {
	Entries          []string // addresses; after a failed call the next one is used
	Key              string   // sent as "authorization: Bearer KEY"
	Deployment       string
	Feed             string
	Model            string
	Version          int64
	StalenessBound   int64 // in versions; samples beyond it are counted as stale
	TrainTime        time.Duration
	AnnounceInterval int // number of steps between announced versions; 0 means 1
}

// TrainerReport holds the measurements of a trainer.
type TrainerReport struct {
	Lots          int     `json:"lots"`
	Samples       int     `json:"samples"`
	Tokens        int     `json:"tokens"`
	Steps         int     `json:"steps"`
	Version       int64   `json:"version"`
	IdleSeconds   float64 `json:"idle_seconds"` // time spent waiting for samples
	TrainSeconds  float64 `json:"train_seconds"`
	StalenessMean float64 `json:"staleness_mean"` // mean over the samples, in versions, of the oldest segment's staleness
	StalenessMax  int64   `json:"staleness_max"`
	Stale         int     `json:"stale"` // number of samples beyond the staleness bound
	Duplicates    int     `json:"duplicates"`
	Mislabelled   int     `json:"mislabelled"`
	Failed        int     `json:"failed"` // number of samples delivered as permanently failed
	PullErrors    int     `json:"pull_errors"`
	Refused       string  `json:"refused,omitempty"` // reason why an entry permanently refused this trainer
	Announced     int64   `json:"announced"`         // newest version that an entry accepted
}

// Trainer pulls lots, checks and counts their samples, and announces versions. Run
// may be called once; Report may be called concurrently with it.
type Trainer struct {
	options TrainerOptions
	entries []trainerpb.TrainerClient
	client  *handover.Client
	seen    map[string]bool

	mu        sync.Mutex
	report    TrainerReport
	staleness int64 // sum over the samples, in versions
}

// NewTrainer returns a trainer. Connections are made on first use.
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

// Report returns the measurements so far.
func (t *Trainer) Report() TrainerReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	if r.Samples > 0 {
		r.StalenessMean = float64(t.staleness) / float64(r.Samples)
	}
	return r
}

// Run pulls lots and trains on them until ctx is done.
func (t *Trainer) Run(ctx context.Context) {
	ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+t.options.Key)
	idleSince := time.Now()
	for attempt := 0; ctx.Err() == nil; {
		lot, err := t.pull(ctx, attempt)
		if err != nil {
			attempt++
			t.count(func(r *TrainerReport) { r.PullErrors++ })
			sleep(ctx, retryDelay)
			continue
		}
		if !t.accept(lot) {
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pull := t.client.Pull(t.Report().Version)
	request := &trainerpb.PullRequest{
		Deployment:    t.options.Deployment,
		Feed:          t.options.Feed,
		Cursor:        pull.Cursor,
		WeightVersion: pull.Version,
		PullToken:     pull.Token,
		WaitMs:        int32(pullTimeout.Milliseconds()),
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

// accept counts a lot, unless the client decides that it must not be trained on,
// and reports whether the lot completes a step.
func (t *Trainer) accept(lot *trainerpb.PullResponse) bool {
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

// labelled reports whether the segments name the same versions as the text itself.
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

// announce retries until an entry accepts the version or a newer version has been
// accepted.
func (t *Trainer) announce(ctx context.Context, version int64) {
	for attempt := 0; ctx.Err() == nil && t.Report().Announced < version; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := t.entries[attempt%len(t.entries)].Announce(callCtx, &trainerpb.AnnounceRequest{
			Deployment: t.options.Deployment, Feed: t.options.Feed, Model: t.options.Model, Version: version,
		})
		cancel()
		if err == nil {
			t.count(func(r *TrainerReport) { r.Announced = max(r.Announced, version) })
			return
		}
		sleep(ctx, retryDelay)
	}
}
