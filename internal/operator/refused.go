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

// Reasons of refused changes in the audit trail.
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

// attempt is a change that a caller, with or without a known key, requested.
type attempt struct {
	action   string
	changeID string
}

// remoteAddress returns the network address that a call comes from.
func remoteAddress(ctx context.Context) string {
	if p, ok := peer.FromContext(ctx); ok {
		return p.Addr.String()
	}
	return ""
}

// recordRefused adds a change that was not accepted to the audit trail. A reason is
// a text of this package and contains nothing that the caller wrote, which could be
// a key in the wrong place.
func (s *Server) recordRefused(ctx context.Context, t attempt, operator, outcome, reason string) {
	address := remoteAddress(ctx)
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

// recordRefusedCall adds a change that failed before it was attempted to the audit
// trail. During an outage of the platform it identifies the operator by the
// configuration in force at this entry.
func (s *Server) recordRefusedCall(ctx context.Context, t attempt, err error) {
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
	s.recordRefused(ctx, t, operator, config.OutcomeRefused, reason)
}

// recordResult adds a change to the audit trail unless it was accepted or changed
// nothing.
func (s *Server) recordResult(ctx context.Context, t attempt, operator string, result config.Result, err error) {
	switch result.Verdict {
	case config.Conflict:
		s.recordRefused(ctx, t, operator, config.OutcomeRefused, reasonConflict)
	case config.Failed:
		s.recordRefused(ctx, t, operator, config.OutcomeRefused, detailOf(result.Verdict, err))
	case config.Unknown:
		s.recordRefused(ctx, t, operator, config.OutcomeUnknown, reasonUnknown)
	}
}

// findingsReason returns how many findings declarations have and the position of
// the first one, without its text, which may quote the declarations.
func findingsReason(findings []*operatorpb.Finding) string {
	return fmt.Sprintf("%d faults, the first in line %d of %q", len(findings), findings[0].Line, findings[0].File)
}
