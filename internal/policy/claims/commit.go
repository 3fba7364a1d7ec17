package claims

import (
	"bytes"
	"time"
)

// writeKind is what a write is for.
type writeKind int

const (
	fence   writeKind = iota // raises the epoch in the head
	seal                     // moves the head's entries to a bucket of their own
	swapAll                  // commits what is dirty
)

// maxEarlier bounds how many unsettled writes of one revision are remembered;
// past it the last one is repeated as it is.
const maxEarlier = 8

// commit is the one write of a partition that is under way. A fence or seal is
// repeated byte for byte until its outcome is known: after a lost answer either
// the repeat takes effect, or it fails and shows the record that stands.
//
// A swap whose answer was lost is settled by a read. If the head is still the
// old one, the write may be on its way yet, and a new one that expects the same
// revision is sent: one of them at most can take effect. The new one leaves out
// what was given up in the meantime, so that an outage does not end with
// claims written that nobody waits for.
type commit struct {
	write Write
	kind  writeKind
	out   bool // a call is out and not answered
	probe bool // the next call is a read that settles the write

	earlier []*commit // unsettled writes that expect the same revision

	head   head    // that the write installs; fence and swapAll
	holds  []entry // that the write adds; swapAll
	bucket sealed  // seal

	entries []entry  // that the swap started from
	buckets []sealed // likewise
	drops   []Delete // buckets that the new head no longer lists
}

// advance starts whatever the partition can do now.
func (p *Partition) advance(now time.Time) {
	if now.Before(p.notYet) {
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

// wantsService tells whether a call to the service waits for its time.
func (p *Partition) wantsService() bool {
	if p.inflight != nil {
		return !p.inflight.out
	}
	return len(p.toRead) > 0 || p.phase == serving && len(p.dirty) > 0
}

func (p *Partition) send() {
	if p.inflight.out {
		return
	}
	p.inflight.out = true
	if p.inflight.probe {
		p.reading[p.headKey()] = true
		p.do(Read{Key: p.headKey()})
		return
	}
	p.do(p.inflight.write)
}

func (p *Partition) begin(c commit) {
	p.lastID++
	c.write.ID = p.lastID
	p.inflight = &c
	p.send()
}

func (p *Partition) startCommit(now time.Time) {
	p.forgetUnsent()
	if len(p.dirty) == 0 {
		return
	}
	p.notYet = now.Add(p.config.CommitInterval)
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

// startSeal writes the head's entries to a bucket. Until a head lists the
// bucket, the head itself still holds them.
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
		write:  Write{Key: p.bucketKey(s), Value: encode(p.head.Entries)},
	})
}

// startSwap commits as much of what is dirty as one batch may hold.
func (p *Partition) startSwap(now time.Time, entries []entry, buckets []sealed, earlier []*commit) {
	c := commit{kind: swapAll, earlier: earlier, entries: entries, buckets: buckets, head: head{
		Writer: p.config.Writer,
		Epoch:  p.epoch,
		Commit: p.head.Commit + 1 + int64(len(earlier)),
	}}
	c.holds = p.takeDirty()
	c.head.Entries = p.merge(now, entries, c.holds)
	c.head.Sealed, c.drops = p.dropExpired(now, buckets)
	c.write = Write{Key: p.headKey(), Expected: p.revision, Value: encode(c.head)}
	p.begin(c)
}

func (p *Partition) takeDirty() []entry {
	var batch []entry
	size := 0
	for len(p.dirty) > 0 && size < p.config.MaxBatchBytes {
		key := p.dirty[0]
		p.dirty = p.dirty[1:]
		delete(p.isDirty, key)
		if c := p.table[key]; c != nil {
			c.sent = true
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

// is tells whether the entry is of this very claim: an epoch has one holder,
// which gives a key one expiry per claim.
func (e entry) is(c *claim) bool {
	return e.Epoch == c.epoch && e.Expires == c.expires.UnixMilli()
}

// merge returns the old entries with the new ones in their places, less those
// whose window has passed.
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
		if p.forget(now, e) {
			continue
		}
		merged = append(merged, e)
	}
	return append(merged, added...)
}

// forget drops a claim whose window has passed, and tells whether it did.
func (p *Partition) forget(now time.Time, e entry) bool {
	if !now.After(fromMilli(e.Expires)) {
		return false
	}
	c := p.table[e.Key]
	if c == nil {
		return true
	}
	if !p.over(now, c) || p.isDirty[e.Key] {
		return false
	}
	delete(p.table, e.Key)
	return true
}

// dropExpired returns the buckets that a repeat can still concern, and the
// deletions of the others. A bucket is deleted only after a head without it is
// committed, so that a listed bucket always exists.
func (p *Partition) dropExpired(now time.Time, all []sealed) ([]sealed, []Delete) {
	var kept []sealed
	var drops []Delete
	for _, s := range all {
		if !now.After(fromMilli(s.Expires)) {
			kept = append(kept, s)
			continue
		}
		key := p.bucketKey(s)
		drops = append(drops, Delete{Key: key, Revision: p.buckets[key].revision})
		for _, k := range p.buckets[key].keys {
			if c := p.table[k]; c != nil && p.over(now, c) && !p.isDirty[k] {
				delete(p.table, k)
			}
		}
	}
	return kept, drops
}

func (p *Partition) writeDone(now time.Time, e WriteDone) {
	c := p.inflight
	if c == nil || c.write.ID != e.ID {
		return
	}
	if e.Failed {
		c.out = false
		c.probe = c.kind == swapAll && len(c.earlier) < maxEarlier
		p.failing = true
		p.notYet = now.Add(p.config.RetryDelay)
		return
	}
	p.failing = false
	p.inflight = nil
	switch c.kind {
	case seal:
		p.sealDone(now, c, e)
	case fence:
		p.fenceDone(now, c, e)
	case swapAll:
		p.swapDone(now, c, e)
	}
}

func (p *Partition) sealDone(now time.Time, c *commit, e WriteDone) {
	if !e.Swapped && !bytes.Equal(e.Current.Value, c.write.Value) {
		// A bucket of this epoch that no head lists: sealed before a reload.
		c.bucket.Number++
		c.write.Key = p.bucketKey(c.bucket)
		c.out = false
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

// probeDone takes in the head as it stands after a swap without an answer.
func (p *Partition) probeDone(now time.Time, e ReadDone) {
	c := p.inflight
	if c == nil || !c.probe {
		return
	}
	c.out = false
	if e.Failed {
		p.notYet = now.Add(p.config.RetryDelay)
		return
	}
	if e.Record.Revision != p.revision {
		p.inflight = nil
		p.swapDone(now, c, WriteDone{Current: e.Record})
		return
	}
	p.requeue(c)
	p.startSwap(now, c.entries, c.buckets, append(c.earlier, c))
}

// requeue has what a write held written again, as it is by now.
func (p *Partition) requeue(c *commit) {
	for _, e := range c.holds {
		claim := p.table[e.Key]
		if claim == nil || p.holding[e.Key] != nil && claim.state == notRun {
			continue // written as not run once its hold ends
		}
		p.markDirty(claim)
	}
}

// installed returns the write that the standing head came from: this one, or
// an earlier one that arrived late; nil if neither.
func (c *commit) installed(e WriteDone) (*commit, head, error) {
	if e.Swapped {
		return c, c.head, nil
	}
	current, err := decodeHead(e.Current)
	if err != nil {
		return nil, current, err
	}
	for _, one := range append([]*commit{c}, c.earlier...) {
		same := current.Writer == one.head.Writer &&
			current.Epoch == one.head.Epoch &&
			current.Commit == one.head.Commit
		if same {
			return one, current, nil
		}
	}
	return nil, current, nil
}

func (p *Partition) swapDone(now time.Time, c *commit, e WriteDone) {
	installed, current, err := c.installed(e)
	if err != nil {
		p.do(Fault{Err: err})
	}
	if installed == nil {
		p.displaced(current)
		return
	}
	p.head = installed.head
	p.revision = e.Current.Revision
	for _, drop := range installed.drops {
		delete(p.buckets, drop.Key)
		p.do(drop)
	}
	for _, e := range installed.holds {
		p.committed(now, e)
	}
	if installed != c {
		p.requeue(c)
	}
}

// displaced ends the ownership after a commit that another head foiled. Calls
// whose claims were in it are not dispatched: whether the successor found them
// is for it to say.
func (p *Partition) displaced(current head) {
	epoch := p.epoch
	p.lose()
	if current.Epoch <= epoch {
		p.load()
	}
}

// committed dispatches a claim that now stands in the service.
func (p *Partition) committed(now time.Time, e entry) {
	c := p.table[e.Key]
	current := c != nil && c.state == claimed &&
		e.State == claimed && e.is(c)
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
	p.do(Run{
		Key:      c.key,
		Waiter:   c.waiters[0].id,
		Deadline: c.waiters[0].replyBy,
		Fence:    p.fence(),
		Claim:    c.ref(),
	})
}
