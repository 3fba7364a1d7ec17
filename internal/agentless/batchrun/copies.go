package batchrun

import (
	"bytes"
	"context"
	"encoding/gob"
	"slices"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/textlog"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/batch"
)

const (
	// copyInterval is how often new events are copied to the process that would take a job
	// over. If the owner is lost for good, up to that much of each text is lost.
	copyInterval = 250 * time.Millisecond
	// minCopiedEvents is how many events a text must have to be copied. Shorter texts are
	// regenerated within a second, and four of five texts never reach this length.
	minCopiedEvents = 32
	// copyTimeout is the timeout of a copy call.
	copyTimeout = 500 * time.Millisecond
	// fetchTextsTimeout is the timeout for fetching an adopted job's texts from other
	// processes. Regenerating the longest text would take seconds.
	fetchTextsTimeout = 400 * time.Millisecond
	// workersRetryDelay is the delay before the list of workers is read again if it has no
	// other worker yet, as just after a start.
	workersRetryDelay = 50 * time.Millisecond
	// maxUnpackedBytes limits the size of a decompressed message.
	maxUnpackedBytes = 64 << 20
)

// CopyArgs holds new events of an owner's job.
type CopyArgs struct {
	Owner string
	Job   string
	Mark  int64  // fencing token of the owner
	Whole bool   // Raw holds all texts of the job that are long enough
	Raw   []byte // compressed parts of texts
	Spec  []byte // compressed spec, if Whole
}

// CopyReply is the reply to Service.Copy.
type CopyReply struct {
	Lacking bool // earlier events are missing here, and these were not stored
}

// TextsArgs asks for the stored texts of a job.
type TextsArgs struct{ Job string }

// TextsReply is the reply to Service.Texts.
type TextsReply struct{ Raw []byte } // compressed parts of texts

// Copier replicates the partial texts of this process's jobs to the process that would take
// each job over. It is safe for concurrent use.
type Copier struct {
	Owner *Owner
	// StandbyFor returns the process that would own a job if this one were gone.
	StandbyFor func(model, job string) (name string, found bool)
	// Send sends new events to a process. lacking is true if the receiver needs all events.
	Send func(ctx context.Context, to string, args CopyArgs) (lacking bool, err error)

	buffer *textlog.Buffer
	bytes  metrics.Counter
	wake   chan struct{} // receives when a job was adopted

	mu      sync.Mutex
	targets map[string]copyTarget // by job
}

// copyTarget is the process that a job's texts were last sent to, and the owner's fencing token
// at that time.
type copyTarget struct {
	token int64
	name  string
}

func newCopier(registry metrics.Registry) *Copier {
	return &Copier{
		buffer: textlog.NewBuffer(nil), targets: map[string]copyTarget{}, wake: make(chan struct{}, 1),
		bytes: metrics.GetOrRegisterCounter("texts.copied", registry),
	}
}

func (c *Copier) run(ctx context.Context) error {
	if c.StandbyFor == nil {
		return nil
	}
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		case <-ticker.C:
		}
		c.copyAll(ctx)
	}
}

func (c *Copier) copyAll(ctx context.Context) {
	var group errgroup.Group
	drained := c.buffer.Drain(minCopiedEvents)
	for _, p := range append(drained, c.unannounced(drained)...) {
		group.Go(func() error { c.copy(ctx, &p); return nil })
	}
	_ = group.Wait() // each goroutine logs its own error
}

// announce wakes the copier, so that a new job's standby learns of the job at once: an owner
// that dies in the first moments of a step has sent no texts yet. Only the copier's loop sends,
// because the messages of a job must arrive in order.
func (c *Copier) announce() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// unannounced returns the jobs of which nothing was sent yet and nothing is pending. A standby
// also takes over jobs without long texts.
func (c *Copier) unannounced(pending []textlog.JobParts) []textlog.JobParts {
	var jobs []textlog.JobParts
	for id, token := range c.Owner.Jobs() {
		if slices.ContainsFunc(pending, func(p textlog.JobParts) bool { return p.Job == id }) {
			continue
		}
		c.mu.Lock()
		target, found := c.targets[id]
		c.mu.Unlock()
		if !found || target.token != token {
			jobs = append(jobs, textlog.JobParts{Job: id, Mark: token})
		}
	}
	return jobs
}

// copy sends the new events of a job, or all of its events if the receiver may lack some.
func (c *Copier) copy(ctx context.Context, p *textlog.JobParts) {
	j := c.Owner.find(p.Job)
	if j == nil || j.token != p.Mark {
		return
	}
	to, found := c.StandbyFor(j.job.Spec.Model, p.Job)
	if !found {
		c.forget(p.Job)
		return
	}
	full := !c.upToDate(p, to)
	if full {
		p.Parts = c.drainTexts(j)
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	lacking := false
	args, err := c.newCopyArgs(j, p, full)
	if err == nil {
		lacking, err = c.Send(ctx, to, args)
	}
	if lacking {
		err = errEventsMissing
	}
	if err != nil {
		c.resendAll(j)
		events.TextsNotCopied.Log(c.Owner.Log, logrus.Fields{"job": p.Job, "mark": p.Mark, "to": to, "error": err.Error()})
		return
	}
	c.bytes.Inc(int64(len(args.Raw) + len(args.Spec)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[p.Job] = copyTarget{p.Mark, to}
}

// newCopyArgs returns the arguments of a copy call. They hold the spec only if they hold all
// texts.
func (c *Copier) newCopyArgs(j *ownedJob, p *textlog.JobParts, full bool) (args CopyArgs, err error) {
	args = CopyArgs{Owner: c.Owner.Name, Job: p.Job, Mark: p.Mark, Whole: full}
	if args.Raw, err = pack(p.Parts); err == nil && full {
		args.Spec, err = pack(j.job.Spec)
	}
	return args, err
}

// errEventsMissing is logged if the receiver was restarted after earlier events had been sent
// to it.
var errEventsMissing = errors.New("batchrun: the receiver lacks earlier events")

// resendAll makes the next message of a job hold all of its texts, even without new events: the
// receiver misses the events of the failed call, so later events alone would be of no use to
// it.
func (c *Copier) resendAll(j *ownedJob) {
	c.forget(j.id)
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.job.Closed() {
		c.buffer.Begin(j.id, j.token, j.job.Texts())
	}
}

// upToDate reports whether a process has all earlier events.
func (c *Copier) upToDate(p *textlog.JobParts, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets[p.Job] == copyTarget{p.Mark, to}
}

// forget makes the next message of a job hold all of its texts.
func (c *Copier) forget(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.targets, job)
}

// drop removes a job that this process no longer owns.
func (c *Copier) drop(job string, token int64) {
	c.buffer.Drop(job, token)
	c.forget(job)
}

// drainTexts takes a job's texts that are long enough to be copied. Later messages hold the
// events that follow them.
func (c *Copier) drainTexts(j *ownedJob) []batch.TextPart {
	j.mu.Lock()
	defer j.mu.Unlock()
	return c.buffer.DrainTexts(j.id, j.token, j.job.Texts(), minCopiedEvents)
}

// Copy stores another process's texts. It is called by net/rpc.
func (s *Service) Copy(args CopyArgs, reply *CopyReply) error {
	parts, err := unpack[[]batch.TextPart](args.Raw)
	if err != nil {
		return err
	}
	if args.Whole && args.Owner != "" {
		spec, err := unpack[*batch.Spec](args.Spec)
		if err != nil {
			return err
		}
		s.owner.Standby.add(args, spec)
	}
	kept := s.owner.Texts.Put(textlog.JobParts{Job: args.Job, Mark: args.Mark, Parts: parts}, args.Whole)
	reply.Lacking = !kept || args.Owner != "" && !s.owner.Standby.has(args.Job, args.Mark)
	return nil
}

// Texts returns the stored texts of a job. It is called by net/rpc.
func (s *Service) Texts(args TextsArgs, reply *TextsReply) error {
	raw, err := pack(s.owner.Texts.Load(context.Background(), args.Job).Parts())
	reply.Raw = raw
	return err
}

// recoverTexts returns the partial texts of an adopted job that this process, or else another
// one, has stored.
func (o *Owner) recoverTexts(ctx context.Context, id string) *batch.Texts {
	texts := batch.NewTexts()
	if o.Switches.On(mechanism.TextJournal) {
		texts = o.Texts.Load(ctx, id)
	}
	if !texts.Empty() || o.FetchTexts == nil || !o.Switches.On(mechanism.TextCopies) {
		return texts
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTextsTimeout)
	defer cancel()
	for _, raw := range o.FetchTexts(ctx, id) {
		parts, err := unpack[[]batch.TextPart](raw)
		if err != nil {
			events.TextsUnreadable.Log(o.Log, logrus.Fields{"place": "another process's texts of " + id, "error": err.Error()})
			continue
		}
		fetched := batch.NewTexts()
		for _, part := range parts {
			fetched.Add(part)
		}
		texts.Merge(fetched)
	}
	return texts
}

// codec compresses texts, because traffic between failure domains is paid for.
var codec = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(err) // constant options
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		panic(err)
	}
	return encoder, decoder
})

func pack(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return nil, errors.Wrap(err, "batchrun: encode texts")
	}
	encoder, _ := codec()
	return encoder.EncodeAll(b.Bytes(), nil), nil
}

func unpack[T any](raw []byte) (v T, err error) {
	_, decoder := codec()
	plain, err := decoder.DecodeAll(raw, nil)
	if err != nil {
		return v, errors.Wrap(err, "batchrun: decode texts")
	}
	err = gob.NewDecoder(bytes.NewReader(plain)).Decode(&v)
	return v, errors.Wrap(err, "batchrun: decode texts")
}
