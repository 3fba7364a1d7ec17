package feedrun

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/trainerpb"
	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/wire"
)

// Trainer implements the gRPC service for trainers.
type Trainer struct {
	trainerpb.UnimplementedTrainerServer
	feeds *Feeds
}

// NewTrainer returns the gRPC service of the feeds.
func NewTrainer(f *Feeds) *Trainer { return &Trainer{feeds: f} }

// Pull implements trainerpb.TrainerServer.
func (t *Trainer) Pull(ctx context.Context, req *trainerpb.PullRequest) (*trainerpb.PullResponse, error) {
	if err := t.authenticate(ctx, req.Deployment, req.Feed); err != nil {
		return nil, err
	}
	reply := t.feeds.Pull(ctx, pullRequest(req))
	if reply.Refusal != "" {
		return nil, status.Error(codeOf(handover.Refusal(reply.Refusal)), reply.Refusal)
	}
	return pullResponse(reply), nil
}

// Announce implements trainerpb.TrainerServer.
func (t *Trainer) Announce(ctx context.Context, req *trainerpb.AnnounceRequest) (*trainerpb.AnnounceResponse, error) {
	if err := t.authenticate(ctx, req.Deployment, req.Feed); err != nil {
		return nil, err
	}
	version, err := t.feeds.Announce(ctx, req.Deployment, req.Feed, req.Model, req.Version, req.Adapter)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &trainerpb.AnnounceResponse{Version: version}, nil
}

// codeOf maps a refusal to a status code. Unavailable and Aborted tell a
// trainer that retrying the same pull can succeed.
func codeOf(reason handover.Refusal) codes.Code {
	switch reason {
	case handover.Late:
		return codes.Aborted
	case handover.Superseded:
		return codes.FailedPrecondition
	case handover.TooOld:
		return codes.OutOfRange
	case handover.Inconsistent, handover.BadToken:
		return codes.InvalidArgument
	default:
		return codes.Unavailable
	}
}

// authenticate compares the bearer key with the feed's declared digest.
func (t *Trainer) authenticate(ctx context.Context, deployment, feed string) error {
	current := t.feeds.options.Config.Current()
	if current == nil {
		return status.Error(codes.Unavailable, "no configuration is known yet")
	}
	declared, found := findFeed(current, feed)
	sum := sha256.Sum256([]byte(bearer(ctx)))
	digest := hex.EncodeToString(sum[:])
	same := subtle.ConstantTimeCompare([]byte(digest), []byte(declared.TrainerSHA256)) == 1
	if !found || current.Name != deployment || !same {
		// All three cases get the same answer, so that it reveals no feed's name.
		return status.Error(codes.Unauthenticated, "a bearer key of the feed's trainer is needed")
	}
	return nil
}

func bearer(ctx context.Context) string {
	for _, value := range metadata.ValueFromIncomingContext(ctx, "authorization") {
		if key, found := strings.CutPrefix(value, "Bearer "); found {
			return key
		}
	}
	return ""
}

func pullRequest(req *trainerpb.PullRequest) wire.PullRequest {
	p := wire.PullRequest{
		Deployment:    req.Deployment,
		Feed:          req.Feed,
		Cursor:        req.Cursor,
		WeightVersion: req.WeightVersion,
		Token:         req.PullToken,
		Wait:          time.Duration(req.WaitMs) * time.Millisecond,
		Restarted:     req.Restarted,
	}
	for _, lot := range req.Unrecorded {
		p.Unrecorded = append(p.Unrecorded, wire.LotRecord{Cursor: lot.Cursor, SampleIDs: lot.SampleIds})
	}
	return p
}

func pullResponse(reply wire.PullReply) *trainerpb.PullResponse {
	r := &trainerpb.PullResponse{
		Cursor:         reply.Cursor,
		PullToken:      reply.Token,
		RecordedCursor: reply.RecordedCursor,
		Step:           reply.Step,
		StepComplete:   reply.StepComplete,
	}
	for _, s := range reply.Samples {
		one := &trainerpb.Sample{
			Id: s.ID, Prompt: s.Prompt, Text: s.Text, Score: s.Score,
			Step: s.Step, Group: s.Group, Index: s.Index, Failed: s.Failed,
		}
		for _, segment := range s.Segments {
			one.Segments = append(one.Segments, &trainerpb.Segment{
				Version: segment.Version, FromToken: int32(segment.From), ToToken: int32(segment.To),
			})
		}
		r.Samples = append(r.Samples, one)
	}
	return r
}
