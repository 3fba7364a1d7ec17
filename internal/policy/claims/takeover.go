package claims

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// maxConcurrentReads limits the number of concurrent reads of buckets.
const maxConcurrentReads = 8

// fence returns the fencing token of this owner.
func (p *Partition) fence() wire.Fence {
	return wire.Fence{Duty: p.config.Duty, Epoch: p.epoch}
}

func (p *Partition) acquired(now time.Time, e Acquired) {
	if e.Epoch <= p.epoch {
		return
	}
	p.lose()
	p.epoch = e.Epoch
	p.leaseUntil = e.Until
	p.nextCallAt = now
	p.startTakeover()
}

// startTakeover starts the takeover. The head is read and then swapped under the new
// epoch. The buckets are read only after that, since a predecessor could still add
// buckets before.
func (p *Partition) startTakeover() {
	p.phase = fencing
	p.toRead = []string{p.headKey()}
}

func (p *Partition) sendReads() {
	for len(p.toRead) > 0 && len(p.reading) < maxConcurrentReads {
		key := p.toRead[0]
		p.toRead = p.toRead[1:]
		p.reading[key] = true
		p.emit(Read{Key: key})
	}
}

func (p *Partition) readDone(now time.Time, e ReadDone) {
	key := e.Record.Key
	if !p.reading[key] {
		return
	}
	delete(p.reading, key)
	p.lastCallFailed = e.Failed
	if p.phase == serving {
		p.outcomeChecked(now, e)
		return
	}
	if e.Failed {
		p.retryRead(now, key)
		return
	}
	if p.phase == fencing {
		p.startFence(now, e.Record)
		return
	}
	p.loadBucket(now, e.Record)
}

func (p *Partition) retryRead(now time.Time, key string) {
	p.toRead = append(p.toRead, key)
	p.nextCallAt = now.Add(p.config.RetryDelay)
}

// startFence swaps the current head for one with the same content and this epoch.
func (p *Partition) startFence(now time.Time, record Record) {
	h, err := decodeHead(record)
	if err != nil {
		p.emit(Fault{Err: err})
		p.retryRead(now, p.headKey())
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
		write: Write{Key: p.headKey(), Expected: record.Revision, Value: mustEncode(h)},
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
	p.finishLoad(now)
}

// loadBucket adds the entries of a bucket that was read. The partition doesn't serve
// while a bucket can't be decoded: requests with its keys could have run and would be
// treated as new ones.
func (p *Partition) loadBucket(now time.Time, record Record) {
	entries, err := decodeBucket(record)
	if err != nil {
		p.emit(Fault{Err: err})
		p.retryRead(now, record.Key)
		return
	}
	b := bucket{revision: record.Revision}
	for _, e := range entries {
		b.keys = append(b.keys, e.Key)
	}
	p.buckets[record.Key] = b
	p.loaded[record.Key] = entries
	p.finishLoad(now)
}

// finishLoad builds the table and starts to serve once every bucket has been read.
func (p *Partition) finishLoad(now time.Time) {
	if len(p.toRead) > 0 || len(p.reading) > 0 {
		return
	}
	own := p.table
	p.table = map[Key]*claim{}
	for _, s := range p.head.Sealed {
		p.applyEntries(now, p.loaded[p.bucketKey(s)])
	}
	p.applyEntries(now, p.head.Entries)
	p.loaded = nil
	p.phase = serving
	for _, key := range sortedKeys(own) {
		p.restoreOwn(own[key])
	}
	for _, key := range sortedKeys(p.unwritten) {
		p.resolveUnknown(now, p.unwritten[key])
	}
	clear(p.unwritten)
	p.queryAgents()
}

// resolveUnknown applies the result of a claim of an earlier epoch, which this process
// made itself or which its owner or an agent reported. The claim in the table is
// unknown: an owner in between could only treat it so, and has not run the request.
func (p *Partition) resolveUnknown(now time.Time, old *claim) {
	c := p.table[old.key]
	if c == nil || c.state != unknown || !old.entry().matches(c) {
		return
	}
	switch old.state {
	case done:
		c.state = done
		c.answer = old.answer
		p.markDirty(c)
		p.replyAll(c, Reply{Answer: c.finalAnswer()})
	case unknown:
		c.resultDeadline = now
		p.replyAll(c, Reply{Answer: c.finalAnswer()})
	default:
		c.notBefore = old.notBefore
		c.state = notRun
		// Another owner may receive the same result, so the stored claim no
		// longer keeps other owners from running the request; only the lease
		// does.
		c.committed = false
		if len(c.waiters) > 0 && !c.notBefore.After(now) {
			p.claim(now, c)
			return
		}
		p.abandon(now, c)
	}
}

// restoreOwn puts a claim whose request ran here while the duty was lost back into the
// table, unless its key was claimed again after its window.
func (p *Partition) restoreOwn(c *claim) {
	other := p.table[c.key]
	if other != nil && other.expires.After(c.expires) {
		if c.state == running {
			p.running--
		}
		p.replyAll(c, Reply{Answer: wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonUnsettled}})
		return
	}
	p.table[c.key] = c
	if _, isDelayed := p.delayed[c.key]; !isDelayed && c.state != running {
		p.markDirty(c)
	}
}

// applyEntries adds entries to the table; later ones replace earlier ones. A claim
// without a result is unknown, since its owner may have dispatched it.
func (p *Partition) applyEntries(now time.Time, entries []entry) {
	for _, e := range entries {
		c := &claim{
			key:         e.Key,
			epoch:       e.Epoch,
			fingerprint: e.Fingerprint,
			state:       e.State,
			expires:     fromMilli(e.Expires),
			answer:      e.Answer,
			mayBeStored: true,
			committed:   true,
		}
		if c.state == claimed {
			c.state = unknown
			c.reason = wire.ReasonUnsettled
			c.resultDeadline = now.Add(p.config.ResultTimeout)
		}
		if now.After(c.expires) {
			delete(p.table, c.key)
			continue
		}
		p.table[c.key] = c
	}
}
