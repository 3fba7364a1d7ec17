package operator

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/config"
)

const (
	watchPoll         = 200 * time.Millisecond
	fingerprintDigits = 16
	hexadecimal       = 16
)

// Status tells which instances have which revision in force and who holds
// which duty, as this entry last heard.
func (s *Server) Status(ctx context.Context, r *operatorpb.StatusRequest) (*operatorpb.StatusResponse, error) {
	if _, err := s.authenticate(ctx, r.Deployment); err != nil {
		return nil, err
	}
	response := &operatorpb.StatusResponse{Revision: s.sources.Config.Revision()}
	if s.sources.Platform != nil {
		response.Platform = s.sources.Platform()
	}
	if s.sources.Instances != nil {
		for _, i := range s.sources.Instances() {
			response.Instances = append(response.Instances, instanceStatus(i))
		}
	}
	if s.sources.Holders != nil {
		for _, h := range s.sources.Holders() {
			response.Duties = append(response.Duties, &operatorpb.DutyStatus{Name: h.Duty, Holder: h.Address, Epoch: h.Epoch})
		}
	}
	return response, nil
}

func instanceStatus(i Instance) *operatorpb.InstanceStatus {
	heard := int64(-1)
	if i.HeardAgo >= 0 {
		heard = i.HeardAgo.Milliseconds()
	}
	return &operatorpb.InstanceStatus{
		Id:            i.ID,
		Role:          i.Role,
		Service:       i.Service,
		FailureDomain: i.Domain,
		State:         i.State,
		Revision:      i.Revision,
		WeightVersion: i.WeightVersion,
		EngineRole:    i.EngineRole,
		HeardMsAgo:    heard,
	}
}

// Audit returns what operators changed and tried to change, oldest first.
func (s *Server) Audit(ctx context.Context, r *operatorpb.AuditRequest) (*operatorpb.AuditResponse, error) {
	if _, err := s.authenticate(ctx, r.Deployment); err != nil {
		return nil, err
	}
	response := &operatorpb.AuditResponse{}
	if wants(r, config.OutcomeAccepted) {
		entries, err := s.sources.Config.Audit(ctx, r.SinceRevision, int(r.Limit))
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		for _, e := range entries {
			response.Records = append(response.Records, auditRecord(e))
		}
	}
	if wants(r, config.OutcomeRefused) || wants(r, config.OutcomeUnknown) {
		if err := s.addRefused(ctx, r, response); err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
	}
	if limit := int(r.Limit); limit > 0 && len(response.Records) > limit {
		response.Records = response.Records[len(response.Records)-limit:]
	}
	return response, nil
}

// wants tells whether the call asks for an outcome.
func wants(r *operatorpb.AuditRequest, outcome string) bool {
	return len(r.Outcomes) == 0 || slices.Contains(r.Outcomes, outcome)
}

// addRefused puts the changes that were not accepted among those that were, by
// time.
func (s *Server) addRefused(ctx context.Context, r *operatorpb.AuditRequest, response *operatorpb.AuditResponse) error {
	refused, dropped, err := s.sources.Config.Refused(ctx)
	if err != nil {
		return err
	}
	for _, g := range refused {
		if wants(r, g.Outcome) && g.Revision >= r.SinceRevision {
			response.Records = append(response.Records, refusedRecord(g))
		}
	}
	response.NotListed = dropped
	slices.SortStableFunc(response.Records, func(a, b *operatorpb.AuditRecord) int { return cmp.Compare(a.LastUnixMs, b.LastUnixMs) })
	return nil
}

func refusedRecord(g config.RefusedChanges) *operatorpb.AuditRecord {
	return &operatorpb.AuditRecord{
		Revision:   g.Revision,
		UnixMs:     g.UnixMilli,
		LastUnixMs: g.LastMilli,
		Count:      g.Count,
		Operator:   g.Operator,
		From:       g.Host,
		ChangeId:   g.ChangeID,
		Action:     g.Action,
		Outcome:    g.Outcome,
		Detail:     g.Reason,
	}
}

func auditRecord(e config.Audit) *operatorpb.AuditRecord {
	return &operatorpb.AuditRecord{
		Revision:   e.Revision,
		UnixMs:     e.UnixMilli,
		LastUnixMs: e.UnixMilli,
		Count:      1,
		Operator:   e.Operator,
		From:       e.From,
		ChangeId:   e.ChangeID,
		Action:     e.Action,
		Changes:    changesOf(e.Changes),
		Outcome:    e.Outcome,
	}
}

// Watch tells each revision that comes into force on this entry.
func (s *Server) Watch(r *operatorpb.WatchRequest, stream grpc.ServerStreamingServer[operatorpb.WatchResponse]) error {
	ctx := stream.Context()
	if _, err := s.authenticate(ctx, r.Deployment); err != nil {
		return err
	}
	ticker := time.NewTicker(watchPoll)
	defer ticker.Stop()
	told := r.SinceRevision
	for {
		if s.sources.Config.Revision() > told {
			var err error
			if told, err = s.tellSince(stream, told); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// tellSince sends the changes after a revision and returns the last one sent.
// While the platform does not answer it sends nothing and is called again.
func (s *Server) tellSince(stream grpc.ServerStreamingServer[operatorpb.WatchResponse], told int64) (int64, error) {
	entries, err := s.sources.Config.Audit(stream.Context(), told, 0)
	if err != nil {
		return told, nil
	}
	for _, e := range entries {
		if err := stream.Send(&operatorpb.WatchResponse{Revision: e.Revision, Record: auditRecord(e)}); err != nil {
			return told, err
		}
		told = e.Revision
	}
	return told, nil
}

// ListQuarantine lists the requests that no endpoint may run.
func (s *Server) ListQuarantine(ctx context.Context, r *operatorpb.ListQuarantineRequest) (*operatorpb.ListQuarantineResponse, error) {
	if _, err := s.authenticate(ctx, r.Deployment); err != nil {
		return nil, err
	}
	response := &operatorpb.ListQuarantineResponse{}
	if s.sources.Quarantine == nil {
		return response, nil
	}
	for _, q := range s.sources.Quarantine.List() {
		if q.Released {
			continue
		}
		response.Entries = append(response.Entries, &operatorpb.QuarantineEntry{
			Fingerprint:   fingerprint(q.Fingerprint),
			Service:       q.Service,
			Endpoints:     int32(q.Endpoints),
			ExpiresUnixMs: q.ExpiresUnix,
		})
	}
	return response, nil
}

// ReleaseQuarantine lets a request run again.
func (s *Server) ReleaseQuarantine(ctx context.Context, r *operatorpb.ReleaseQuarantineRequest) (*operatorpb.ReleaseQuarantineResponse, error) {
	t := tried{action: config.ActionRelease}
	by, err := s.authenticate(ctx, r.Deployment)
	if err != nil {
		s.refusedCall(ctx, t, err)
		return nil, err
	}
	value, err := strconv.ParseUint(r.Fingerprint, hexadecimal, 64)
	if err != nil {
		s.refused(ctx, t, by.operator, config.OutcomeRefused, reasonFingerprint)
		return nil, status.Errorf(codes.InvalidArgument, "%q is not a fingerprint of %d hexadecimal digits", r.Fingerprint, fingerprintDigits)
	}
	if s.sources.Quarantine == nil {
		return &operatorpb.ReleaseQuarantineResponse{}, nil
	}
	released := s.sources.Quarantine.Release(value)
	events.QuarantineReleased.Log(s.log, logrus.Fields{"operator": by.operator, "from": by.from, "fingerprint": r.Fingerprint, "released": released})
	return &operatorpb.ReleaseQuarantineResponse{Released: released}, nil
}

func fingerprint(value uint64) string {
	text := strconv.FormatUint(value, hexadecimal)
	for len(text) < fingerprintDigits {
		text = "0" + text
	}
	return text
}
