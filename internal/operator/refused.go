package operator

import (
	"context"
	"fmt"
	"net"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/internal/policy/config"
)

// Reasons of refused changes, as the audit trail tells them.
const (
	reasonNoPermission = "no operator has this key"
	reasonDeployment   = "another deployment"
	reasonTooMany      = "too many changes at once"
	reasonUnavailable  = "the platform's service is not available"
	reasonConflict     = "the configuration had changed"
	reasonUnknown      = "the answer to the write was lost"
	reasonNoInstance   = "no instance is named"
	reasonFingerprint  = "malformed fingerprint"
)

// tried is a change that an operator, or someone without a key, asks for.
type tried struct {
	action   string
	changeID string
}

// from returns the network address that a call comes from.
func from(ctx context.Context) string {
	if p, ok := peer.FromContext(ctx); ok {
		return p.Addr.String()
	}
	return ""
}

// refused puts a change that was not accepted into the audit trail. Reasons are
// texts of this package: what a caller wrote, such as a key in the wrong place,
// stays out of it.
func (s *Server) refused(ctx context.Context, t tried, operator, outcome, reason string) {
	address := from(ctx)
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	s.sources.Config.RecordRefused(config.RefusedChanges{
		Operator: operator,
		Host:     host,
		Action:   t.action,
		Outcome:  outcome,
		Reason:   reason,
		ChangeID: t.changeID,
		Revision: s.sources.Config.Revision(),
	})
}

// refusedCall puts a change into the audit trail that failed before it was
// tried. In an outage the operator is known by the configuration in force here.
func (s *Server) refusedCall(ctx context.Context, t tried, err error) {
	operator, _ := operatorOf(ctx, s.sources.Config.Current())
	reason := status.Convert(err).Message()
	switch status.Code(err) {
	case codes.Unauthenticated:
		operator, reason = "", reasonNoPermission
	case codes.NotFound:
		reason = reasonDeployment
	case codes.ResourceExhausted:
		reason = reasonTooMany
	case codes.Unavailable:
		reason = reasonUnavailable
	}
	s.refused(ctx, t, operator, config.OutcomeRefused, reason)
}

// refusedResult puts the end of a change into the audit trail unless it was
// accepted, or there was nothing to change.
func (s *Server) refusedResult(ctx context.Context, t tried, operator string, result config.Result, err error) {
	switch result.Verdict {
	case config.Conflict:
		s.refused(ctx, t, operator, config.OutcomeRefused, reasonConflict)
	case config.Failed:
		s.refused(ctx, t, operator, config.OutcomeRefused, detailOf(result.Verdict, err))
	case config.Unknown:
		s.refused(ctx, t, operator, config.OutcomeUnknown, reasonUnknown)
	}
}

// faultsReason tells how many faults declarations have and where the first one
// is, but not its text, which may quote what stands there.
func faultsReason(findings []*operatorpb.Finding) string {
	return fmt.Sprintf("%d faults, the first in line %d of %q", len(findings), findings[0].Line, findings[0].File)
}
