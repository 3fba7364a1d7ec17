package batchrun

import (
	"context"
	"time"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

// Names of the calls between processes.
const (
	serviceName  = "Batch"
	hubName      = "BatchHub"
	callResults  = hubName + ".Results"
	callRead     = serviceName + ".Read"
	callBody     = serviceName + ".Body"
	callMarked   = serviceName + ".Marked"
	callEnded    = serviceName + ".Ended"
	callPing     = serviceName + ".Ping"
	callStanding = serviceName + ".Standing"
	callLoading  = serviceName + ".Loading"
	callCopy     = serviceName + ".Copy"
	callTexts    = serviceName + ".Texts"
	callLoad     = serviceName + ".Load"
	callGuarded  = serviceName + ".Guarded"
	callReaches  = serviceName + ".Reaches"
)

// callSlack is how much longer than its own wait a call to an owner may take.
// Owners are milliseconds away; a reader that finds one silent has time left to
// ask the store.
const callSlack = 500 * time.Millisecond

// ReadArgs asks an owner for results.
type ReadArgs struct {
	Job  string
	From int
	Wait time.Duration
}

// ReadReply is an owner's answer.
type ReadReply struct {
	Owned   bool // this process has the job, or its results
	Gone    bool // the job's mark went: it has ended, or it has moved
	Ended   bool // it is known to have ended
	Sure    bool // nobody can have moved the job unnoticed
	Total   int
	Results []batch.Result // from the position asked
}

// current tells whether the answer holds all that any reader may have seen.
func (r *ReadReply) isCurrent() bool { return r.Owned && (r.Ended || r.Sure && !r.Gone) }

// BodyArgs asks an owner for an item's body.
type BodyArgs struct {
	Job  string
	Item string
}

// BodyReply is an owner's answer.
type BodyReply struct {
	Owned bool
	Ended bool // the job is known to have ended
	Found bool // the item is not listed yet
	Body  []byte
}

// Service answers other processes' calls with an owner's jobs.
type Service struct{ owner *Owner }

// Read implements the call of that name.
func (s *Service) Read(args ReadArgs, reply *ReadReply) error {
	*reply = s.owner.read(context.Background(), args)
	return nil
}

// Body implements the call of that name.
func (s *Service) Body(args BodyArgs, reply *BodyReply) error {
	*reply = s.owner.body(args)
	return nil
}

// StandingArgs asks an owner how a job stands.
type StandingArgs struct{ Job string }

// StandingReply is an owner's answer.
type StandingReply struct {
	Owned  bool
	Ended  bool      // the job is known to have ended
	Mark   int64     // revision of the owner's mark
	Record jobRecord // as the store has it while that mark stands
}

// Standing implements the call of that name.
func (s *Service) Standing(args StandingArgs, reply *StandingReply) error {
	*reply = s.owner.jobStatus(args.Job)
	return nil
}

// LoadingArgs tells an owner that an endpoint was ordered to load weights.
type LoadingArgs struct {
	Endpoint string
	Model    string
	Version  int64
}

// Loading implements the call of that name.
func (s *Service) Loading(args LoadingArgs, _ *struct{}) error {
	s.owner.markLoading(args)
	return nil
}

func (o *Owner) markLoading(args LoadingArgs) {
	o.Directory.MarkLoading(time.Now(), args.Endpoint, args.Model, args.Version)
}

// Ping implements the call of that name: this process answers.
func (s *Service) Ping(struct{}, *struct{}) error { return nil }

// MarkArgs tells an owner of a change of its mark for a job.
type MarkArgs struct {
	Job      string
	Revision int64
	Begun    bool // another process owned it before
}

// Marked implements the call of that name: the job is this process's.
func (s *Service) Marked(args MarkArgs, _ *struct{}) error {
	s.owner.handleAssigned(args)
	return nil
}

// Ended implements the call of that name: the job was ended.
func (s *Service) Ended(args MarkArgs, _ *struct{}) error {
	s.owner.handleMark(callEnded, args)
	return nil
}

// take carries out a word to this process's own owner.
func (o *Owner) handleMark(method string, args MarkArgs) {
	if method == callMarked {
		o.handleAssigned(args)
		return
	}
	o.drop(args.Job, args.Revision)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended.recordEnded(args.Job)
}
