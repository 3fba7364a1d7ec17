// Package operator implements the operators' gRPC service: operators plan and apply
// declarations, read status and audit trail, drain instances and release
// quarantined requests.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/internal/confstate"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/wire"
)

// KeyMetadata is the gRPC metadata key under which an operator presents its key.
const KeyMetadata = "siskinloom-operator-key"

// Instance is what an entry knows about an instance of the deployment. Entries send
// it to each other with gob, so its fields keep their names.
type Instance struct {
	ID            string
	Role          string
	Service       string // agents only
	Domain        string
	State         string
	Revision      int64 // revision in force at the instance, as last reported
	WeightVersion int64
	EngineRole    string        // empty: no role was reported
	HeardAgo      time.Duration // time since its last report; negative: it has not reported
}

// Sources provides the data that the service reports. All fields but Config may be
// nil.
type Sources struct {
	Config     *confstate.State
	Instances  func() []Instance
	Holders    func() []wire.Holder
	Platform   func() string
	Quarantine Quarantine
}

// Quarantine holds the requests that no endpoint may run because they crash it.
type Quarantine interface {
	List() []wire.QuarantineEntry
	// Release releases a request and reports whether it was quarantined.
	Release(fingerprint uint64) bool
}

// Server implements the operators' service of one deployment.
type Server struct {
	operatorpb.UnimplementedOperatorServer
	deployment string
	sources    Sources
	log        *logrus.Logger
	rates      rateLimiters
}

// New returns the operators' service of a deployment.
func New(deployment string, sources Sources, log *logrus.Logger) *Server {
	return &Server{deployment: deployment, sources: sources, log: log}
}

// identity is an authenticated operator and the network address it calls from.
type identity struct {
	operator string
	address  string
	initial  bool // there is no stored configuration yet, so the proposed declarations name the operator
}

// authenticate identifies the operator of a read-only call by the configuration in
// force at this entry, because status must also be available during an outage of
// the platform.
func (s *Server) authenticate(ctx context.Context, deployment string) (identity, error) {
	if known := s.sources.Config.Current(); known != nil {
		return s.identify(ctx, deployment, known)
	}
	caller, _, err := s.authenticateChange(ctx, deployment, nil)
	return caller, err
}

// authenticateChange identifies the operator of a change by the configuration that
// the platform's key-value service holds, and returns that configuration. An entry
// that has just started holds no configuration yet. If it accepted the operators
// of the declarations that it receives, anyone could change a deployment through
// it. The operators of the proposed declarations count only if the service holds no
// configuration, and only for the first change.
func (s *Server) authenticateChange(ctx context.Context, deployment string, proposed *decl.Deployment) (identity, storedConfig, error) {
	if err := s.admit(ctx); err != nil {
		return identity{}, storedConfig{}, err
	}
	current, revision, err := s.sources.Config.Latest(ctx)
	if err != nil {
		return identity{}, storedConfig{}, status.Error(codes.Unavailable, err.Error())
	}
	known := &current
	if revision == 0 {
		known = proposed
	}
	caller, err := s.identify(ctx, deployment, known)
	caller.initial = revision == 0
	return caller, storedConfig{deployment: current, revision: revision}, err
}

// storedConfig is the configuration that the platform's key-value service holds.
type storedConfig struct {
	deployment decl.Deployment
	revision   int64
}

// identify returns the operator of a call by its key, which must be in the known
// declarations.
func (s *Server) identify(ctx context.Context, deployment string, known *decl.Deployment) (identity, error) {
	if deployment != "" && deployment != s.deployment {
		return identity{}, status.Errorf(codes.NotFound, "this entry serves deployment %q", s.deployment)
	}
	name, found := operatorOf(ctx, known)
	if !found {
		events.OperatorRefused.Log(s.log, logrus.Fields{"from": remoteAddress(ctx)})
		return identity{}, status.Error(codes.Unauthenticated, reasonNoPermission)
	}
	return identity{operator: name, address: remoteAddress(ctx)}, nil
}

// operatorOf returns the name of the declared operator whose key the call presents.
func operatorOf(ctx context.Context, d *decl.Deployment) (string, bool) {
	meta, _ := metadata.FromIncomingContext(ctx)
	keys := meta.Get(KeyMetadata)
	if len(keys) != 1 || d == nil {
		return "", false
	}
	sum := sha256.Sum256([]byte(keys[0]))
	digest := []byte(hex.EncodeToString(sum[:]))
	for _, o := range d.Operators {
		if subtle.ConstantTimeCompare(digest, []byte(o.KeySHA256)) == 1 {
			return o.Name, true
		}
	}
	return "", false
}

func toSources(files []*operatorpb.File) []decl.Source {
	all := make([]decl.Source, 0, len(files))
	for _, f := range files {
		all = append(all, decl.Source{Name: f.Name, Text: f.Text})
	}
	return all
}

// parse parses declarations for this deployment. They are unusable if there are
// findings.
func (s *Server) parse(files []*operatorpb.File) (*decl.Deployment, []*operatorpb.Finding) {
	parsed, found := decl.Parse(toSources(files))
	findings := make([]*operatorpb.Finding, 0, len(found))
	for _, f := range found {
		findings = append(findings, &operatorpb.Finding{File: f.File, Line: int32(f.Line), Message: f.Message})
	}
	if len(found) > 0 {
		return parsed, findings
	}
	first := files[0].Name
	if parsed.Name != s.deployment {
		findings = append(findings, &operatorpb.Finding{File: first, Message: "declares deployment " + parsed.Name + ", not " + s.deployment})
	}
	if len(parsed.Operators) == 0 {
		findings = append(findings, &operatorpb.Finding{File: first, Message: "no [operator] is declared: nobody could change it again"})
	}
	return parsed, findings
}

func changesOf(changes []decl.Change) []*operatorpb.Change {
	all := make([]*operatorpb.Change, 0, len(changes))
	for _, c := range changes {
		all = append(all, &operatorpb.Change{Kind: c.Kind, Object: c.Object, Field: c.Field, Before: c.Before, After: c.After})
	}
	return all
}
