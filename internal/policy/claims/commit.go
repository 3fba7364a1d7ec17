package claims

import (
	"bytes"
	"time"
)

// writeKind is the purpose of a write.
type writeKind int

const (
	fence    writeKind = iota // raises the epoch in the head
	seal                      // writes the head's entries to a new bucket
	swapHead                  // commits the dirty claims to the head
)

// maxEarlierWrites limits the unsettled writes per revision that are remembered. Beyond
// it the last write is repeated unchanged.
const maxEarlierWrites = 8

// commit is the write of a partition that is in progress; there is at most one. A fence
// or seal is repeated byte for byte until its outcome is known: if an answer was lost,
// the repeated write either takes effect, or fails and returns the current record.
//
// The outcome of a swap whose answer was lost is determined by a read. If the head is
// unchanged, the write may still be in transit, and a new write that expects the same
// revision is sent; at most one of them can take effect. The new write omits claims
// that were abandoned in the meantime, so that an outage doesn't end with writing claims
// that no call waits for.
type commit struct {
	write        Write
	kind         writeKind
	sent         bool // a call was sent and is not answered yet
	checkOutcome bool // the next call is a read of the head to determine the outcome of the write

	earlier []*commit // writes of unknown outcome that expect the same revision

	head   head    // new head; for fence and swapHead
	added  []entry // entries that the write adds; for swapHead
	bucket sealed  // for seal

	// For swapHead.
	baseEntries []entry  // entries that the write adds to
	baseBuckets []sealed // buckets listed before the expired ones are removed
	deletions   []Delete // buckets that the new head no longer lists
}

// advance starts the next call to the service if one is due.
func (p *Partition) advance(now time.Time) {
	if now.Before(p.nextCallAt) {
		return
	}
	switch {
	case p.inflight != nil:
		p.send()
	case p.phase == fencing || p.phase == loading:
		p.sendReads()
	case p.phase == serving && len(p.dirty) > 0:
		p.startCommit(now)
	}
}

// hasNextCall reports whether a call to the service is to be made at nextCallAt.
func (p *Partition) hasNextCall() bool {
	if p.inflight != nil {
		return !p.inflight.sent
	}
	return len(p.toRead) > 0 || p.phase == serving && len(p.dirty) > 0
}

func (p *Partition) send() {
	if p.inflight.sent {
		return
	}
	p.inflight.sent = true
	if p.inflight.checkOutcome {
		p.reading[p.headKey()] = true
		p.emit(Read{Key: p.headKey()})
		return
	}
	p.emit(p.inflight.write)
}

func (p *Partition) begin(c commit) {
	p.lastID++
	c.write.ID = p.lastID
	p.inflight = &c
	p.send()
}

func (p *Partition) startCommit(now time.Time) {
	p.pruneDirty()
	if len(p.dirty) == 0 {
		return
	}
	p.nextCallAt = now.Add(p.config.CommitInterval)
	size := 0
	for _, e := range p.head.Entries {
		size += entrySize(e)
	}
	if size > p.config.SealBytes {
		p.startSeal()
		return
	}
	p.startSwap(now, p.head.Entries, p.head.Sealed, nil)
}

// startSeal writes the head's entries to a bucket. The stored head contains them until
// it is replaced by one that lists the bucket.
func (p *Partition) startSeal() {
	s := sealed{Epoch: p.epoch, Number: 1}
	for _, other := range p.head.Sealed {
		if other.Epoch == p.epoch {
			s.Number = max(s.Number, other.Number+1)
		}
	}
	for _, e := range p.head.Entries {
		s.Expires = max(s.Expires, e.Expires)
	}
	p.begin(commit{
		kind:   seal,
		bucket: s,
		write:  Write{Key: p.bucketKey(s), Value: mustEncode(p.head.Entries)},
	})
}

// startSwap commits as many dirty claims as fit in one batch.
func (p *Partition) startSwap(now time.Time, baseEntries []entry, baseBuckets []sealed, earlier []*commit) {
	c := commit{kind: swapHead, earlier: earlier, baseEntries: baseEntries, baseBuckets: baseBuckets, head: head{
		Writer: p.config.Writer,
		Epoch:  p.epoch,
		Commit: p.head.Commit + 1 + int64(len(earlier)),
	}}
	c.added = p.takeDirty()
	c.head.Entries = p.merge(now, baseEntries, c.added)
	c.head.Sealed, c.deletions = p.expireBuckets(now, baseBuckets)
	c.write = Write{Key: p.headKey(), Expected: p.revision, Value: mustEncode(c.head)}
	p.begin(c)
}

// takeDirty removes up to one batch of keys from dirty and returns their entries.
func (p *Partition) takeDirty() []entry {
	var batch []entry
	size := 0
	for len(p.dirty) > 0 && size < p.config.MaxBatchBytes {
		key := p.dirty[0]
		p.dirty = p.dirty[1:]
		delete(p.isDirty, key)
		if c := p.table[key]; c != nil {
			c.mayBeStored = true
			e := c.entry()
			if c.state == notRun {
				c.committed = false
			}
			size += entrySize(e)
			batch = append(batch, e)
		}
	}
	return batch
}

// entry returns the stored form of the claim.
func (c *claim) entry() entry {
	e := entry{
		Key:         c.key,
		Epoch:       c.epoch,
		Fingerprint: c.fingerprint,
		State:       c.state,
		Expires:     c.expires.UnixMilli(),
		Answer:      c.answer,
	}
	if c.state == running {
		e.State = claimed
	}
	return e
}

// matches reports whether the entry belongs to the same claim and not only to the same
// key: an epoch has one owner, which gives each claim of a key another expiry.
func (e entry) matches(c *claim) bool {
	return e.Epoch == c.epoch && e.Expires == c.expires.UnixMilli()
}

// merge returns the old entries without the expired ones and those that are replaced,
// followed by the added ones.
func (p *Partition) merge(now time.Time, old, added []entry) []entry {
	index := make(map[Key]int, len(added))
	for i, e := range added {
		index[e.Key] = i
	}
	merged := make([]entry, 0, len(old)+len(added))
	for _, e := range old {
		if _, replaced := index[e.Key]; replaced {
			continue
		}
		if p.dropIfExpired(now, e) {
			continue
		}
		merged = append(merged, e)
	}
	return append(merged, added...)
}

// dropIfExpired drops the claim of an expired entry unless it is still needed, and
// reports whether the entry can be dropped.
func (p *Partition) dropIfExpired(now time.Time, e entry) bool {
	if !now.After(fromMilli(e.Expires)) {
		return false
	}
	c := p.table[e.Key]
	if c == nil {
		return true
	}
	if !p.expired(now, c) || p.isDirty[e.Key] {
		return false
	}
	delete(p.table, e.Key)
	return true
}

// expireBuckets drops expired claims of expired buckets. It returns the other buckets and
// the deletions of the expired ones. A bucket is deleted only after a head without it is
// committed, so that a listed bucket always exists.
func (p *Partition) expireBuckets(now time.Time, all []sealed) ([]sealed, []Delete) {
	var kept []sealed
	var deletions []Delete
	for _, s := range all {
		if !now.After(fromMilli(s.Expires)) {
			kept = append(kept, s)
			continue
		}
		key := p.bucketKey(s)
		deletions = append(deletions, Delete{Key: key, Revision: p.buckets[key].revision})
		for _, k := range p.buckets[key].keys {
			if c := p.table[k]; c != nil && p.expired(now, c) && !p.isDirty[k] {
				delete(p.table, k)
			}
		}
	}
	return kept, deletions
}

func (p *Partition) writeDone(now time.Time, e WriteDone) {
	c := p.inflight
	if c == nil || c.write.ID != e.ID {
		return
	}
	if e.Failed {
		c.sent = false
		c.checkOutcome = c.kind == swapHead && len(c.earlier) < maxEarlierWrites
		p.lastCallFailed = true
		p.nextCallAt = now.Add(p.config.RetryDelay)
		return
	}
	p.lastCallFailed = false
	p.inflight = nil
	switch c.kind {
	case seal:
		p.sealDone(now, c, e)
	case fence:
		p.fenceDone(now, c, e)
	case swapHead:
		p.swapDone(now, c, e)
	}
}

func (p *Partition) sealDone(now time.Time, c *commit, e WriteDone) {
	if !e.Swapped && !bytes.Equal(e.Current.Value, c.write.Value) {
		// A bucket with this number was sealed under the same epoch before a
		// reload, and no head lists it.
		c.bucket.Number++
		c.write.Key = p.bucketKey(c.bucket)
		c.sent = false
		p.begin(*c)
		return
	}
	b := bucket{revision: e.Current.Revision}
	for _, entry := range p.head.Entries {
		b.keys = append(b.keys, entry.Key)
	}
	p.buckets[c.write.Key] = b
	buckets := append(append([]sealed(nil), p.head.Sealed...), c.bucket)
	p.startSwap(now, nil, buckets, nil)
}

// outcomeChecked determines the outcome of a swap without an answer from the head that
// was read.
func (p *Partition) outcomeChecked(now time.Time, e ReadDone) {
	c := p.inflight
	if c == nil || !c.checkOutcome {
		return
	}
	c.sent = false
	if e.Failed {
		p.nextCallAt = now.Add(p.config.RetryDelay)
		return
	}
	if e.Record.Revision != p.revision {
		p.inflight = nil
		p.swapDone(now, c, WriteDone{Current: e.Record})
		return
	}
	p.requeue(c)
	p.startSwap(now, c.baseEntries, c.baseBuckets, append(c.earlier, c))
}

// requeue marks the claims in a write as dirty, so that their current state is written.
func (p *Partition) requeue(c *commit) {
	for _, e := range c.added {
		claim := p.table[e.Key]
		if claim == nil || p.delayed[e.Key] != nil && claim.state == notRun {
			continue // is written as not run after its notBefore
		}
		p.markDirty(claim)
	}
}

// installed returns the write that created the current head, and that head: this write
// or an earlier one that took effect late. It returns a nil commit if it was neither.
func (c *commit) installed(e WriteDone) (*commit, head, error) {
	if e.Swapped {
		return c, c.head, nil
	}
	current, err := decodeHead(e.Current)
	if err != nil {
		return nil, current, err
	}
	for _, candidate := range append([]*commit{c}, c.earlier...) {
		same := current.Writer == candidate.head.Writer &&
			current.Epoch == candidate.head.Epoch &&
			current.Commit == candidate.head.Commit
		if same {
			return candidate, current, nil
		}
	}
	return nil, current, nil
}

func (p *Partition) swapDone(now time.Time, c *commit, e WriteDone) {
	installed, current, err := c.installed(e)
	if err != nil {
		p.emit(Fault{Err: err})
	}
	if installed == nil {
		p.displaced(current)
		return
	}
	p.head = installed.head
	p.revision = e.Current.Revision
	for _, d := range installed.deletions {
		delete(p.buckets, d.Key)
		p.emit(d)
	}
	for _, e := range installed.added {
		p.committed(now, e)
	}
	if installed != c {
		p.requeue(c)
	}
}

// displaced ends the ownership after a commit failed because of another head. If the
// epoch in that head is not a newer one, the takeover is started again. Calls whose
// claims were in the commit are not dispatched here: only the successor knows whether it
// found those claims.
func (p *Partition) displaced(current head) {
	epoch := p.epoch
	p.lose()
	if current.Epoch <= epoch {
		p.startTakeover()
	}
}

// committed dispatches the request of a claim that is now in the service.
func (p *Partition) committed(now time.Time, e entry) {
	c := p.table[e.Key]
	current := c != nil && c.state == claimed &&
		e.State == claimed && e.matches(c)
	if !current {
		return
	}
	c.committed = true
	p.dropOverdue(now, c)
	if len(c.waiters) == 0 {
		p.abandon(now, c)
		return
	}
	c.state = running
	p.running++
	p.emit(Run{
		Key:      c.key,
		Waiter:   c.waiters[0].id,
		Deadline: c.waiters[0].replyBy,
		Fence:    p.fence(),
		Claim:    c.ref(),
	})
}
