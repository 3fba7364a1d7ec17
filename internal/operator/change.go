package operator

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/config"
)

// changeTimeout limits a change, including the time to find out whether a write of
// unknown outcome took effect.
const changeTimeout = 20 * time.Second

// Plan returns what the declarations would change.
func (s *Server) Plan(ctx context.Context, r *operatorpb.PlanRequest) (*operatorpb.PlanResponse, error) {
	proposed, findings := s.parse(r.Files)
	_, stored, err := s.authenticateChange(ctx, r.Deployment, proposed)
	if err != nil {
		return nil, err
	}
	if len(findings) > 0 {
		return &operatorpb.PlanResponse{Findings: findings}, nil
	}
	replaced := replaceWith(proposed)(&stored.deployment)
	return &operatorpb.PlanResponse{Revision: stored.revision, Changes: changesOf(decl.Diff(&stored.deployment, replaced))}, nil
}

// replaceWith returns an edit that replaces the current declarations by the proposed
// ones. It keeps the list of drained instances, which files do not declare.
func replaceWith(proposed *decl.Deployment) func(*decl.Deployment) *decl.Deployment {
	return func(current *decl.Deployment) *decl.Deployment {
		replaced := *proposed
		replaced.DrainInstances = current.DrainInstances
		return &replaced
	}
}

// Apply puts declarations in force if the configuration has the expected revision.
func (s *Server) Apply(ctx context.Context, r *operatorpb.ApplyRequest) (*operatorpb.ApplyResponse, error) {
	t := attempt{action: config.ActionApply, changeID: r.ChangeId}
	proposed, findings := s.parse(r.Files)
	caller, _, err := s.authenticateChange(ctx, r.Deployment, proposed)
	if err != nil {
		s.recordRefusedCall(ctx, t, err)
	}
	if errors.Is(err, errTooMany) {
		return &operatorpb.ApplyResponse{Outcome: operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED, Detail: "not accepted: " + status.Convert(err).Message()}, nil
	}
	if status.Code(err) == codes.Unavailable {
		// The refusal is returned as an answer and not as an error, because a client
		// takes the outcome of a failed call for unknown.
		return &operatorpb.ApplyResponse{Outcome: operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED, Detail: detailOf(config.Failed, kv.ErrUnavailable)}, nil
	}
	if err != nil {
		return nil, err
	}
	if len(findings) > 0 {
		s.recordRefused(ctx, t, caller.operator, config.OutcomeRefused, findingsReason(findings))
		return &operatorpb.ApplyResponse{Outcome: operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED, Findings: findings, Detail: "the declarations have faults"}, nil
	}
	result, err := s.change(ctx, caller, config.Request{
		Expected: r.ExpectedRevision,
		ChangeID: r.ChangeId,
		Action:   config.ActionApply,
		Edit:     replaceWith(proposed),
	})
	return &operatorpb.ApplyResponse{
		Outcome:  outcomeOf(result.Verdict),
		Revision: result.Record.Revision,
		Changes:  changesOf(result.Changes),
		Detail:   detailOf(result.Verdict, err),
	}, nil
}

// Drain stops giving an instance new work, or with undo gives it work again.
func (s *Server) Drain(ctx context.Context, r *operatorpb.DrainRequest) (*operatorpb.DrainResponse, error) {
	action := config.ActionDrain
	if r.Undo {
		action = config.ActionUndrain
	}
	caller, _, err := s.authenticateChange(ctx, r.Deployment, nil)
	if err != nil {
		s.recordRefusedCall(ctx, attempt{action: action}, err)
		return nil, err
	}
	if r.Instance == "" {
		s.recordRefused(ctx, attempt{action: action}, caller.operator, config.OutcomeRefused, reasonNoInstance)
		return nil, status.Error(codes.InvalidArgument, reasonNoInstance)
	}
	result, err := s.change(ctx, caller, config.Request{Expected: config.AnyRevision, Action: action, Edit: drain(r.Instance, r.Undo)})
	switch result.Verdict {
	case config.Accepted, config.Unchanged:
		return &operatorpb.DrainResponse{Revision: result.Record.Revision, Detail: detailOf(result.Verdict, nil)}, nil
	case config.Unknown:
		return nil, status.Error(codes.Unknown, detailOf(result.Verdict, err))
	default:
		return nil, status.Error(codes.Unavailable, detailOf(result.Verdict, err))
	}
}

// drain returns an edit that adds the instance to the list of drained instances,
// or with undo removes it.
func drain(instance string, undo bool) func(*decl.Deployment) *decl.Deployment {
	return func(current *decl.Deployment) *decl.Deployment {
		replaced := *current
		replaced.DrainInstances = nil
		for _, id := range current.DrainInstances {
			if id != instance {
				replaced.DrainInstances = append(replaced.DrainInstances, id)
			}
		}
		if !undo {
			replaced.DrainInstances = append(slices.Clip(replaced.DrainInstances), instance)
			sort.Strings(replaced.DrainInstances)
		}
		return &replaced
	}
}

// change carries out a change and logs its outcome. It records a change that was
// refused or whose outcome is unknown in the audit trail.
func (s *Server) change(ctx context.Context, caller identity, request config.Request) (config.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if caller.initial {
		request.Expected = 0
	}
	request.Deployment, request.Operator, request.From, request.Now = s.deployment, caller.operator, caller.address, time.Now()
	if request.ChangeID == "" {
		request.ChangeID = ulid.Make().String()
	}
	result, err := s.sources.Config.Change(ctx, request)
	s.recordResult(ctx, attempt{action: request.Action, changeID: request.ChangeID}, caller.operator, result, err)
	fields := logrus.Fields{"operator": caller.operator, "from": caller.address, "action": request.Action, "change": request.ChangeID, "revision": result.Record.Revision}
	switch result.Verdict {
	case config.Accepted:
		events.ConfigAccepted.Log(s.log, fields)
	case config.Conflict, config.Failed:
		events.ConfigRefused.Log(s.log, fields)
	case config.Unknown:
		events.ConfigUnknown.Log(s.log, fields)
	}
	return result, err
}

func outcomeOf(v config.Verdict) operatorpb.ApplyOutcome {
	switch v {
	case config.Accepted:
		return operatorpb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED
	case config.Unchanged:
		return operatorpb.ApplyOutcome_APPLY_OUTCOME_UNCHANGED
	case config.Unknown:
		return operatorpb.ApplyOutcome_APPLY_OUTCOME_UNKNOWN
	default:
		return operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED
	}
}

func detailOf(v config.Verdict, err error) string {
	switch v {
	case config.Accepted:
		return "accepted"
	case config.Unchanged:
		return "nothing to change"
	case config.Conflict:
		return "the configuration has changed since the expected revision"
	case config.Unknown:
		return "it is not known whether the change was accepted; apply it again with the same change id"
	}
	switch {
	case errors.Is(err, kv.ErrUnavailable), errors.Is(err, kv.ErrBudget):
		return "not accepted: the platform's service is not available"
	case err != nil:
		return "not accepted: " + err.Error()
	default:
		return "not accepted: too many changes at once"
	}
}
