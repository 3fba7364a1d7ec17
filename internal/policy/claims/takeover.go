package claims

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// maxReads is how many buckets are read at once.
const maxReads = 8

func (p *Partition) fence() wire.Fence {
	return wire.Fence{Duty: p.config.Duty, Epoch: p.epoch}
}

func (p *Partition) acquired(now time.Time, e Acquired) {
	if e.Epoch <= p.epoch {
		return
	}
	p.lose()
	p.epoch = e.Epoch
	p.provenUntil = e.Until
	p.notYet = now
	p.load()
}

// load begins the takeover: the head is read, then swapped under the new
// epoch. Only then are the buckets read; a predecessor could still add to
// them before.
func (p *Partition) load() {
	p.phase = fencing
	p.toRead = []string{p.headKey()}
}

func (p *Partition) sendReads() {
	for len(p.toRead) > 0 && len(p.reading) < maxReads {
		key := p.toRead[0]
		p.toRead = p.toRead[1:]
		p.reading[key] = true
		p.do(Read{Key: key})
	}
}

func (p *Partition) readDone(now time.Time, e ReadDone) {
	key := e.Record.Key
	if !p.reading[key] {
		return
	}
	delete(p.reading, key)
	p.failing = e.Failed
	if p.phase == serving {
		p.probeDone(now, e)
		return
	}
	if e.Failed {
		p.readAgain(now, key)
		return
	}
	if p.phase == fencing {
		p.startFence(now, e.Record)
		return
	}
	p.loadBucket(now, e.Record)
}

func (p *Partition) readAgain(now time.Time, key string) {
	p.toRead = append(p.toRead, key)
	p.notYet = now.Add(p.config.RetryDelay)
}

// startFence swaps the head that stands for the same one under this epoch.
func (p *Partition) startFence(now time.Time, record Record) {
	h, err := decodeHead(record)
	if err != nil {
		p.do(Fault{Err: err})
		p.readAgain(now, p.headKey())
		return
	}
	if h.Epoch > p.epoch || h.Epoch == p.epoch && h.Writer != p.config.Writer {
		p.lose()
		return
	}
	h.Writer = p.config.Writer
	h.Epoch = p.epoch
	h.Commit++
	p.begin(commit{
		kind:  fence,
		head:  h,
		write: Write{Key: p.headKey(), Expected: record.Revision, Value: encode(h)},
	})
}

func (p *Partition) fenceDone(now time.Time, c *commit, e WriteDone) {
	installed, _, err := c.installed(e)
	if err != nil || installed == nil {
		p.startFence(now, e.Current)
		return
	}
	p.head = c.head
	p.revision = e.Current.Revision
	p.phase = loading
	p.loaded = map[string][]entry{}
	for _, s := range p.head.Sealed {
		p.toRead = append(p.toRead, p.bucketKey(s))
	}
	p.loadEnd(now)
}

// loadBucket takes a bucket in. An unreadable one keeps the partition from
// serving: its keys could have run, and would be taken for new ones.
func (p *Partition) loadBucket(now time.Time, record Record) {
	entries, err := decodeBucket(record)
	if err != nil {
		p.do(Fault{Err: err})
		p.readAgain(now, record.Key)
		return
	}
	b := bucket{revision: record.Revision}
	for _, e := range entries {
		b.keys = append(b.keys, e.Key)
	}
	p.buckets[record.Key] = b
	p.loaded[record.Key] = entries
	p.loadEnd(now)
}

// loadEnd begins to serve once every bucket is read.
func (p *Partition) loadEnd(now time.Time) {
	if len(p.toRead) > 0 || len(p.reading) > 0 {
		return
	}
	own := p.table
	p.table = map[Key]*claim{}
	for _, s := range p.head.Sealed {
		p.apply(now, p.loaded[p.bucketKey(s)])
	}
	p.apply(now, p.head.Entries)
	p.loaded = nil
	p.phase = serving
	for _, key := range sortedKeys(own) {
		p.keepOwn(own[key])
	}
	for _, key := range sortedKeys(p.unwritten) {
		p.restore(now, p.unwritten[key])
	}
	clear(p.unwritten)
	p.ask()
}

// restore takes in what became of a claim of an earlier epoch, this process's
// own or one told by the owner of that time. An owner in between has called it unknown, as it had to, and not run
// it.
func (p *Partition) restore(now time.Time, old *claim) {
	c := p.table[old.key]
	if c == nil || c.state != unknown || !old.entry().is(c) {
		return
	}
	switch old.state {
	case done:
		c.state = done
		c.answer = old.answer
		p.markDirty(c)
		p.replyAll(c, Reply{Answer: c.verdict()})
	case unknown:
		c.openUntil = now
		p.replyAll(c, Reply{Answer: c.verdict()})
	default:
		c.hold = old.hold
		c.state = notRun
		// Another owner may be told the same, so the stored claim no longer
		// keeps everybody from running the request; the lease does.
		c.committed = false
		if len(c.waiters) > 0 && !c.hold.After(now) {
			p.claim(now, c)
			return
		}
		p.abandon(now, c)
	}
}

// keepOwn takes back a request that ran here while the duty was lost, unless
// its key was claimed anew after its window.
func (p *Partition) keepOwn(c *claim) {
	other := p.table[c.key]
	if other != nil && other.expires.After(c.expires) {
		if c.state == running {
			p.running--
		}
		p.replyAll(c, Reply{Answer: wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonUnsettled}})
		return
	}
	p.table[c.key] = c
	if _, held := p.holding[c.key]; !held && c.state != running {
		p.markDirty(c)
	}
}

// apply takes entries in, later ones over earlier ones. A claim without a
// result is unknown: its owner may have dispatched it.
func (p *Partition) apply(now time.Time, entries []entry) {
	for _, e := range entries {
		c := &claim{
			key:         e.Key,
			epoch:       e.Epoch,
			fingerprint: e.Fingerprint,
			state:       e.State,
			expires:     fromMilli(e.Expires),
			answer:      e.Answer,
			sent:        true,
			committed:   true,
		}
		if c.state == claimed {
			c.state = unknown
			c.reason = wire.ReasonUnsettled
			c.openUntil = now.Add(p.config.ResultTimeout)
		}
		if now.After(c.expires) {
			delete(p.table, c.key)
			continue
		}
		p.table[c.key] = c
	}
}
