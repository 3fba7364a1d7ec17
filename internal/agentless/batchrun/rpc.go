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
	callAdmit    = serviceName + ".Admit"
	callStanding = serviceName + ".Standing"
	callLoading  = serviceName + ".Loading"
	callCopy     = serviceName + ".Copy"
	callTexts    = serviceName + ".Texts"
	callLoad     = serviceName + ".Load"
	callGuarded  = serviceName + ".Guarded"
	callReaches  = serviceName + ".Reaches"
)

// callSlack is added to the wait of a call to an owner to get its timeout. Owners are
// milliseconds away; a reader whose owner does not answer has time left to read the store.
const callSlack = 500 * time.Millisecond

// ReadArgs asks an owner for results.
type ReadArgs struct {
	Job  string
	From int
	Wait time.Duration
}

// ReadReply is the reply to Service.Read.
type ReadReply struct {
	Owned   bool // this process owns the job, or retains its results
	Gone    bool // the assignment was deleted: the job has ended or moved
	Ended   bool // the job is known to have ended
	Sure    bool // no process can have moved the job without the knowledge of this one
	Total   int
	Results []batch.Result // from the requested position on
}

// isCurrent reports whether the reply holds all results that any reader may have seen.
func (r *ReadReply) isCurrent() bool { return r.Owned && (r.Ended || r.Sure && !r.Gone) }

// BodyArgs asks an owner for an item's body.
type BodyArgs struct {
	Job  string
	Item string
}

// BodyReply is the reply to Service.Body.
type BodyReply struct {
	Owned bool
	Ended bool // the job is known to have ended
	Found bool // the item has no durable result yet
	Body  []byte
}

// Service serves other processes' calls to an owner.
type Service struct{ owner *Owner }

// Read returns results. It is called by net/rpc.
func (s *Service) Read(args ReadArgs, reply *ReadReply) error {
	*reply = s.owner.read(context.Background(), args)
	return nil
}

// Body returns an item's body. It is called by net/rpc.
func (s *Service) Body(args BodyArgs, reply *BodyReply) error {
	*reply = s.owner.body(args)
	return nil
}

// StandingArgs asks an owner for the status of a job.
type StandingArgs struct{ Job string }

// StandingReply is the reply to Service.Standing.
type StandingReply struct {
	Owned  bool
	Ended  bool      // the job is known to have ended
	Mark   int64     // fencing token: revision of the assignment
	Record jobRecord // as in the store while the assignment has this revision
}

// Standing returns the status of a job. It is called by net/rpc.
func (s *Service) Standing(args StandingArgs, reply *StandingReply) error {
	*reply = s.owner.jobStatus(args.Job)
	return nil
}

// LoadingArgs notifies an owner that an endpoint was ordered to load weights.
type LoadingArgs struct {
	Endpoint string
	Model    string
	Version  int64
}

// Loading records that an endpoint was ordered to load weights. It is called by net/rpc.
func (s *Service) Loading(args LoadingArgs, _ *struct{}) error {
	s.owner.markLoading(args)
	return nil
}

func (o *Owner) markLoading(args LoadingArgs) {
	o.Directory.MarkLoading(time.Now(), args.Endpoint, args.Model, args.Version)
}

// Ping answers that this process is reachable. It is called by net/rpc.
func (s *Service) Ping(struct{}, *struct{}) error { return nil }

// AdmitArgs asks an owner whether it has memory for a job that is being accepted.
type AdmitArgs struct {
	Job  string
	Size int64 // batch.Spec.Size
}

// AdmitReply is the reply to Service.Admit.
type AdmitReply struct{ Full bool }

// Admit returns whether the owner has memory for a job, and reserves it for a while. It is called by
// net/rpc.
func (s *Service) Admit(args AdmitArgs, reply *AdmitReply) error {
	reply.Full = !s.owner.admit(args)
	return nil
}

// AssignmentArgs notifies an owner of a change of its assignment for a job.
type AssignmentArgs struct {
	Job      string
	Revision int64
	Begun    bool // the job may have durable results, because another process owned it before
}

// Marked notifies this process that a job was assigned to it. It is called by net/rpc.
func (s *Service) Marked(args AssignmentArgs, _ *struct{}) error {
	s.owner.handleAssigned(args)
	return nil
}

// Ended notifies this process that a job was ended. It is called by net/rpc.
func (s *Service) Ended(args AssignmentArgs, _ *struct{}) error {
	s.owner.handleNotification(callEnded, args)
	return nil
}

// handleNotification handles a notification of a changed assignment; method is callMarked or
// callEnded.
func (o *Owner) handleNotification(method string, args AssignmentArgs) {
	if method == callMarked {
		o.handleAssigned(args)
		return
	}
	o.drop(args.Job, args.Revision)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.former.recordEnded(args.Job)
}
