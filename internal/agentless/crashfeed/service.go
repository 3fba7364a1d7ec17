package crashfeed

import (
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/policy/changefeed"
)

// Names of the net/rpc service and its methods, which are sent.
const (
	serviceName = "Crashes"
	callAfter   = serviceName + ".After"
	callReport  = serviceName + ".Report"
)

// maxPolls limits the calls that wait for reports; a relay serves some forty processes, and the roots
// of a fleet without relays some hundred.
const maxPolls = 1024

// Errors of the service.
var (
	errTooManyPolls   = errors.New("crashfeed: too many calls wait for reports")
	errTooManyEntries = errors.New("crashfeed: too many reports in a message")
)

// AfterArgs asks for the reports after a position. encoding/gob sends the type's name.
type AfterArgs struct {
	Position changefeed.Position // of the last answer
	Wait     time.Duration       // for reports, if there are none
}

// AfterReply is the answer to AfterArgs. encoding/gob sends the type's name.
type AfterReply struct {
	Entries  []quarantine.Entry
	Position changefeed.Position
}

// ReportArgs sends reports upstream. encoding/gob sends the type's name.
type ReportArgs struct {
	From    string // name of the process that sends them
	Entries []quarantine.Entry
}

// ReportReply is the answer to ReportArgs. encoding/gob sends the type's name.
type ReportReply struct {
	Unused int // reports that were not used
}

// Register registers the net/rpc service that serves reports to other processes and takes theirs.
func (f *Feed) Register(server *rpc.Server) error {
	return errors.Wrap(server.RegisterName(serviceName, &Service{feed: f}), "crashfeed")
}

// Service is the net/rpc service of a Feed.
type Service struct{ feed *Feed }

// After returns the reports after a position. It waits for one if there are none.
func (s *Service) After(args AfterArgs, reply *AfterReply) error {
	f := s.feed
	if !f.addPoll() {
		return errTooManyPolls
	}
	defer f.endPoll()
	timer := time.NewTimer(min(args.Wait, pollTimeout))
	defer timer.Stop()
	for {
		entries, next, changed := f.since(f.known, args.Position)
		*reply = AfterReply{Entries: entries, Position: next}
		if len(entries) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		}
	}
}

// Report takes the reports of a process that follows this one, and sends them on.
func (s *Service) Report(args ReportArgs, reply *ReportReply) error {
	if len(args.Entries) > maxMessage {
		return errTooManyEntries
	}
	listed := s.feed.isListed(args.From)
	for _, e := range args.Entries {
		if s.feed.learn(args.From, listed, true, e) != nil {
			reply.Unused++
		}
	}
	return nil
}

// addPoll counts a call that waits for reports. ok is false if there are too many.
func (f *Feed) addPoll() (ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.polls >= maxPolls {
		return false
	}
	f.polls++
	return true
}

func (f *Feed) endPoll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls--
}
