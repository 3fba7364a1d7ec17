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
	// copyEvery is how often new events go to the process that would take a job
	// over: an owner that is lost for good costs that much of each text.
	copyInterval = 250 * time.Millisecond
	// leastCopied is how many events a text must have to be copied: shorter ones
	// are generated anew in a second, and four of five texts never get there.
	minCopiedEvents = 32
	// copyLimit bounds a copy's call.
	copyTimeout = 500 * time.Millisecond
	// askLimit bounds how long other processes are asked for a job's texts when it
	// is taken on; beginning the longest anew would cost seconds.
	fetchTextsTimeout = 400 * time.Millisecond
	// askAgain is the pause while no other process is known yet, after a start.
	workersRetryDelay = 50 * time.Millisecond
	// mostTexts bounds what a packed message may hold once unpacked.
	maxUnpackedBytes = 64 << 20
)

// CopyArgs hold new events of an owner's job.
type CopyArgs struct {
	Owner string
	Job   string
	Mark  int64
	Whole bool   // Raw holds all that there is
	Raw   []byte // packed parts
	Spec  []byte // packed, if Whole
}

// CopyReply is the answer.
type CopyReply struct {
	Lacking bool // what went before is not there, and nothing was taken in
}

// TextsArgs ask for what is kept of a job's texts.
type TextsArgs struct{ Job string }

// TextsReply is the answer.
type TextsReply struct{ Raw []byte } // packed parts

// Copier sends the texts under way of this process's jobs to the process that
// would take each job over. It is safe for concurrent use.
type Copier struct {
	Owner *Owner
	// StandbyFor names the process that would own a model's job if this one were gone.
	StandbyFor func(model, job string) (name string, found bool)
	// Send hands a process new events; lacking tells that it needs all of them.
	Send func(ctx context.Context, to string, args CopyArgs) (lacking bool, err error)

	buffer *textlog.Buffer
	bytes  metrics.Counter
	wake   chan struct{} // a job was taken on

	mu      sync.Mutex
	targets map[string]copyTarget // by job
}

// sentTo is where a job's texts were last sent.
type copyTarget struct {
	mark int64
	name string
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
	for _, g := range append(drained, c.unannounced(drained)...) {
		group.Go(func() error { c.copy(ctx, &g); return nil })
	}
	_ = group.Wait() // each notes its own failure
}

// announce has a job's standby told of it at once: an owner that dies in the first
// moments of a step has sent no texts yet. The copier's own loop sends, as what is sent
// of a job must arrive in order.
func (c *Copier) announce() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// unannounced returns the jobs of which nothing was sent yet and nothing is about to be:
// a standby takes over those without long texts as well.
func (c *Copier) unannounced(pending []textlog.JobParts) []textlog.JobParts {
	var jobs []textlog.JobParts
	for id, mark := range c.Owner.Jobs() {
		if slices.ContainsFunc(pending, func(g textlog.JobParts) bool { return g.Job == id }) {
			continue
		}
		c.mu.Lock()
		target, found := c.targets[id]
		c.mu.Unlock()
		if !found || target.mark != mark {
			jobs = append(jobs, textlog.JobParts{Job: id, Mark: mark})
		}
	}
	return jobs
}

// copy sends what is new of a job, or all of it to a process that may lack
// something.
func (c *Copier) copy(ctx context.Context, g *textlog.JobParts) {
	j := c.Owner.find(g.Job)
	if j == nil || j.mark != g.Mark {
		return
	}
	to, found := c.StandbyFor(j.job.Spec.Model, g.Job)
	if !found {
		c.forget(g.Job)
		return
	}
	complete := !c.upToDate(g, to)
	if complete {
		g.Parts = j.longTexts()
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	lacking := false
	args, err := c.newCopyArgs(j, g, complete)
	if err == nil {
		lacking, err = c.Send(ctx, to, args)
	}
	if lacking {
		err = errEventsMissing
	}
	if err != nil {
		c.resendAll(j)
		events.TextsNotCopied.Log(c.Owner.Log, logrus.Fields{"job": g.Job, "mark": g.Mark, "to": to, "error": err.Error()})
		return
	}
	c.bytes.Inc(int64(len(args.Raw) + len(args.Spec)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[g.Job] = copyTarget{g.Mark, to}
}

// message returns what is sent of a job; its spec only with all of its texts.
func (c *Copier) newCopyArgs(j *ownedJob, g *textlog.JobParts, complete bool) (args CopyArgs, err error) {
	args = CopyArgs{Owner: c.Owner.Name, Job: g.Job, Mark: g.Mark, Whole: complete}
	if args.Raw, err = pack(g.Parts); err == nil && complete {
		args.Spec, err = pack(j.job.Spec)
	}
	return args, err
}

// errLacking is the answer of a process that started anew since it was sent what
// went before.
var errEventsMissing = errors.New("batchrun: the process has not what went before")

// again has all of a job's texts sent with the next events or without: what the
// failed call held would be missing before those that come.
func (c *Copier) resendAll(j *ownedJob) {
	c.forget(j.id)
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.job.Closed() {
		c.buffer.Begin(j.id, j.mark, j.job.Texts())
	}
}

// follows tells whether a process has all that went before.
func (c *Copier) upToDate(g *textlog.JobParts, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets[g.Job] == copyTarget{g.Mark, to}
}

func (c *Copier) forget(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.targets, job)
}

// drop forgets a job that this process no longer owns.
func (c *Copier) drop(job string, mark int64) {
	c.buffer.Drop(job, mark)
	c.forget(job)
}

// longTexts returns the texts that are worth a copy.
func (j *ownedJob) longTexts() []batch.TextPart {
	j.mu.Lock()
	defer j.mu.Unlock()
	var long []batch.TextPart
	for _, part := range j.job.Texts().Parts() {
		if len(part.Events) >= minCopiedEvents {
			long = append(long, part)
		}
	}
	return long
}

// Copy implements the call of that name: this process keeps another's texts.
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

// Texts implements the call of that name.
func (s *Service) Texts(args TextsArgs, reply *TextsReply) error {
	raw, err := pack(s.owner.Texts.Load(context.Background(), args.Job).Parts())
	reply.Raw = raw
	return err
}

// keptTexts returns the texts that this process or another one kept of a job that
// is taken on.
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
			events.TextRecordBad.Log(o.Log, logrus.Fields{"place": "another process's texts of " + id, "error": err.Error()})
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

// codec packs texts, as bytes between failure domains are paid for.
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
		return nil, errors.Wrap(err, "batchrun: texts")
	}
	encoder, _ := codec()
	return encoder.EncodeAll(b.Bytes(), nil), nil
}

func unpack[T any](raw []byte) (v T, err error) {
	_, decoder := codec()
	plain, err := decoder.DecodeAll(raw, nil)
	if err != nil {
		return v, errors.Wrap(err, "batchrun: copy")
	}
	err = gob.NewDecoder(bytes.NewReader(plain)).Decode(&v)
	return v, errors.Wrap(err, "batchrun: copy")
}
