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
	"siskinloom.example/siskinloom/internal/policy/poison"
)

const (
	watchPollInterval = 200 * time.Millisecond
	fingerprintDigits = 16 // hexadecimal digits of a 64-bit fingerprint
	hexBase           = 16
)

// Status returns the revision in force at each instance and the holder of each
// duty, as last known to this entry.
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
	sinceHeardMs := int64(-1)
	if i.HeardAgo >= 0 {
		sinceHeardMs = i.HeardAgo.Milliseconds()
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
		HeardMsAgo:    sinceHeardMs,
	}
}

// Audit returns the changes that operators made or attempted, oldest first.
func (s *Server) Audit(ctx context.Context, r *operatorpb.AuditRequest) (*operatorpb.AuditResponse, error) {
	if _, err := s.authenticate(ctx, r.Deployment); err != nil {
		return nil, err
	}
	response := &operatorpb.AuditResponse{}
	if includesOutcome(r, config.OutcomeAccepted) {
		entries, err := s.sources.Config.Audit(ctx, r.SinceRevision, int(r.Limit))
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		for _, e := range entries {
			response.Records = append(response.Records, auditRecord(e))
		}
	}
	if includesOutcome(r, config.OutcomeRefused) || includesOutcome(r, config.OutcomeUnknown) {
		if err := s.addRefused(ctx, r, response); err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
	}
	if limit := int(r.Limit); limit > 0 && len(response.Records) > limit {
		response.Records = response.Records[len(response.Records)-limit:]
	}
	return response, nil
}

// includesOutcome reports whether the request asks for changes with an outcome.
func includesOutcome(r *operatorpb.AuditRequest, outcome string) bool {
	return len(r.Outcomes) == 0 || slices.Contains(r.Outcomes, outcome)
}

// addRefused adds the changes that were not accepted and sorts all records by time.
func (s *Server) addRefused(ctx context.Context, r *operatorpb.AuditRequest, response *operatorpb.AuditResponse) error {
	refused, dropped, err := s.sources.Config.Refused(ctx)
	if err != nil {
		return err
	}
	for _, g := range refused {
		if includesOutcome(r, g.Outcome) && g.Revision >= r.SinceRevision {
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

// Watch streams each revision that comes into force at this entry.
func (s *Server) Watch(r *operatorpb.WatchRequest, stream grpc.ServerStreamingServer[operatorpb.WatchResponse]) error {
	ctx := stream.Context()
	if _, err := s.authenticate(ctx, r.Deployment); err != nil {
		return err
	}
	ticker := time.NewTicker(watchPollInterval)
	defer ticker.Stop()
	lastSent := r.SinceRevision
	for {
		if s.sources.Config.Revision() > lastSent {
			var err error
			if lastSent, err = s.sendSince(stream, lastSent); err != nil {
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

// sendSince sends the changes after a revision and returns the last revision sent.
// It sends nothing while the platform does not answer; Watch then calls it again.
func (s *Server) sendSince(stream grpc.ServerStreamingServer[operatorpb.WatchResponse], lastSent int64) (int64, error) {
	entries, err := s.sources.Config.Audit(stream.Context(), lastSent, 0)
	if err != nil {
		return lastSent, nil
	}
	for _, e := range entries {
		if err := stream.Send(&operatorpb.WatchResponse{Revision: e.Revision, Record: auditRecord(e)}); err != nil {
			return lastSent, err
		}
		lastSent = e.Revision
	}
	return lastSent, nil
}

// ListQuarantine returns the requests that no endpoint may run.
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
			Fingerprint:   poison.FormatFingerprint(q.Fingerprint),
			Service:       q.Service,
			Endpoints:     int32(q.Endpoints),
			ExpiresUnixMs: q.ExpiresUnix, // in milliseconds as well, in spite of its name
		})
	}
	return response, nil
}

// ReleaseQuarantine allows a quarantined request to run again.
func (s *Server) ReleaseQuarantine(ctx context.Context, r *operatorpb.ReleaseQuarantineRequest) (*operatorpb.ReleaseQuarantineResponse, error) {
	t := attempt{action: config.ActionRelease}
	caller, err := s.authenticate(ctx, r.Deployment)
	if err != nil {
		s.recordRefusedCall(ctx, t, err)
		return nil, err
	}
	value, err := strconv.ParseUint(r.Fingerprint, hexBase, 64)
	if err != nil {
		s.recordRefused(ctx, t, caller.operator, config.OutcomeRefused, reasonFingerprint)
		return nil, status.Errorf(codes.InvalidArgument, "%q is not a fingerprint of %d hexadecimal digits", r.Fingerprint, fingerprintDigits)
	}
	if s.sources.Quarantine == nil {
		return &operatorpb.ReleaseQuarantineResponse{}, nil
	}
	released := s.sources.Quarantine.Release(value)
	events.QuarantineReleaseRequested.Log(s.log, logrus.Fields{"operator": caller.operator, "from": caller.address, "fingerprint": r.Fingerprint, "released": released})
	return &operatorpb.ReleaseQuarantineResponse{Released: released}, nil
}
