package wire

import "time"

// FeedService is the net/rpc service through which an entry forwards a
// trainer's pull to the owner of the feed.
const FeedService = "Feed"

// FeedDuty returns the name of the duty of owning a trainer feed.
func FeedDuty(deployment, feed string) string {
	return "feed/" + deployment + "/" + feed
}

// FeedPrincipal returns the principal of a feed's samples. Agents give it the share
// that the feed declares.
func FeedPrincipal(business, feed string) Principal {
	return Principal{Business: business, Caller: "feed/" + feed}
}

// LotRecord is the list of samples in a lot that a trainer holds.
type LotRecord struct {
	Cursor    int64
	SampleIDs []string
}

// PullRequest is a trainer's pull, forwarded to the feed's owner.
type PullRequest struct {
	Deployment    string
	Feed          string
	Cursor        int64         // number of lots that the trainer holds
	WeightVersion int64         // the trainer's current version
	Token         string        // pull token of the latest reply; empty before the first
	Wait          time.Duration // how long the owner may wait for a full lot before it returns the samples that are ready
	Unrecorded    []LotRecord   // lots that the trainer holds and that no reply has reported as recorded
	Restarted     bool          // the trainer has restarted and has had no reply since
}

// Sample is one scored sample of a rollout.
type Sample struct {
	ID       string // deployment/feed/step/group/index
	Prompt   string
	Text     string
	Segments []Segment
	Score    float64
	Failed   string // why the sample cannot be generated; empty if it is complete
	Step     int64
	Group    int64
	Index    int32
}

// PullReply is the reply to a pull. If the pull was refused, only Refusal is set.
type PullReply struct {
	Cursor         int64    // the trainer's cursor once it holds the samples
	Token          string   // pull token to send with the next pull
	Samples        []Sample // empty if none is ready
	RecordedCursor int64    // lots up to this cursor are recorded durably
	Step           int64    // step of the samples
	StepComplete   bool     // the samples complete the step
	Refusal        string   // a handover.Refusal; empty if the pull was not refused
}
