// Package operator serves operators: they plan and apply declarations, look at
// status and audit trail, drain endpoints and release quarantined requests.
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

// KeyMetadata is the metadata under which an operator presents its key.
const KeyMetadata = "siskinloom-operator-key"

// Instance is what an entry knows of one instance of the deployment.
type Instance struct {
	ID            string
	Role          string
	Service       string // agents only
	Domain        string
	State         string
	Revision      int64 // in force there, as last heard
	WeightVersion int64
	EngineRole    string        // empty: none was reported
	HeardAgo      time.Duration // since its last sign of life; negative: never heard
}

// Sources are what the service tells about. Any but Config may be nil.
type Sources struct {
	Config     *confstate.State
	Instances  func() []Instance
	Holders    func() []wire.Holder
	Platform   func() string
	Quarantine Quarantine
}

// Quarantine is the registry of requests that crash endpoints.
type Quarantine interface {
	List() []wire.QuarantineEntry
	// Release tells whether the fingerprint was quarantined.
	Release(fingerprint uint64) bool
}

// Server implements the operators' service of one deployment.
type Server struct {
	operatorpb.UnimplementedOperatorServer
	deployment string
	sources    Sources
	log        *logrus.Logger
	rates      rates
}

// New returns the operators' service of a deployment.
func New(deployment string, sources Sources, log *logrus.Logger) *Server {
	return &Server{deployment: deployment, sources: sources, log: log}
}

// who is an authenticated operator and the network address it calls from.
type who struct {
	operator string
	from     string
	first    bool // known by the declarations that would be the first only
}

// authenticate recognises the operator of a call that changes nothing, by the
// configuration in force here: status must also be had in an outage.
func (s *Server) authenticate(ctx context.Context, deployment string) (who, error) {
	if known := s.sources.Config.Current(); known != nil {
		return s.recognise(ctx, deployment, known)
	}
	by, _, err := s.authenticateChange(ctx, deployment, nil)
	return by, err
}

// authenticateChange recognises the operator of a change by what the platform's
// service holds, which it returns. An entry that has just started holds no
// configuration yet; were it to take the word of the declarations it is given,
// anyone could change a deployment through it. Only if the service holds none do
// the operators of the proposed declarations count, and only for a first change.
func (s *Server) authenticateChange(ctx context.Context, deployment string, proposed *decl.Deployment) (who, standing, error) {
	if err := s.admit(ctx); err != nil {
		return who{}, standing{}, err
	}
	current, revision, err := s.sources.Config.Latest(ctx)
	if err != nil {
		return who{}, standing{}, status.Error(codes.Unavailable, err.Error())
	}
	known := &current
	if revision == 0 {
		known = proposed
	}
	by, err := s.recognise(ctx, deployment, known)
	by.first = revision == 0
	return by, standing{deployment: current, revision: revision}, err
}

// standing is the configuration that the service holds.
type standing struct {
	deployment decl.Deployment
	revision   int64
}

func (s *Server) recognise(ctx context.Context, deployment string, known *decl.Deployment) (who, error) {
	if deployment != "" && deployment != s.deployment {
		return who{}, status.Errorf(codes.NotFound, "this entry serves deployment %q", s.deployment)
	}
	name, found := operatorOf(ctx, known)
	if !found {
		events.OperatorRefused.Log(s.log, logrus.Fields{"from": from(ctx)})
		return who{}, status.Error(codes.Unauthenticated, reasonNoPermission)
	}
	return who{operator: name, from: from(ctx)}, nil
}

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

func sources(files []*operatorpb.File) []decl.Source {
	all := make([]decl.Source, 0, len(files))
	for _, f := range files {
		all = append(all, decl.Source{Name: f.Name, Text: f.Text})
	}
	return all
}

// parse reads declarations for this deployment; findings mean that they cannot
// be used.
func (s *Server) parse(files []*operatorpb.File) (*decl.Deployment, []*operatorpb.Finding) {
	parsed, found := decl.Parse(sources(files))
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
