package batchrun

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
)

const (
	// unresponsiveTTL is how long an owner that did not answer gets no new jobs while there are
	// others. A dead process stays registered until its lease expires, and longer if the store
	// was unreachable.
	unresponsiveTTL = 5 * time.Second
	// pingTimeout is how long an owner may take to answer before a job is accepted for it.
	// Owners are milliseconds away.
	pingTimeout = 250 * time.Millisecond
	// reassignTimeout is the timeout for moving a job whose owner does not answer.
	reassignTimeout = 3 * time.Second
)

// responsive returns the owners except those that did not answer lately, or all owners if none
// would be left.
func (d *Frontend) responsive(owners []cluster.Member) []cluster.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var responsive []cluster.Member
	for _, o := range owners {
		if at, found := d.unresponsive[o.Name]; !found || time.Since(at) > unresponsiveTTL {
			responsive = append(responsive, o)
		}
	}
	if len(responsive) == 0 {
		return owners
	}
	return responsive
}

func (d *Frontend) markUnresponsive(owner string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unresponsive == nil {
		d.unresponsive = map[string]time.Time{}
	}
	d.unresponsive[owner] = time.Now()
}

// ownerFor returns the owner for a job that is accepted now: the owner chosen for the key, or
// the next one if that does not answer. After an outage of the store a dead process stays
// listed for some seconds, and a step that was accepted for it began half a second late.
func (d *Frontend) ownerFor(ctx context.Context, key string) (string, bool) {
	owners := d.responsive(d.Members.Owners())
	if len(owners) == 0 {
		return "", false
	}
	first := newOwnerChooser(d.Models).choose(key, owners)
	others := without(owners, first)
	if len(others) == 0 || d.reaches(ctx, first) {
		return first, true
	}
	if next := newOwnerChooser(d.Models).choose(key, others); d.reaches(ctx, next) {
		d.markUnresponsive(first)
		return next, true
	}
	return first, true // this process reaches neither of them
}

// reaches reports whether an owner answers before pingTimeout. A failed call is retried once,
// because a restarted owner does not answer on the connection to its predecessor.
func (d *Frontend) reaches(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return d.Answers(ctx, name) || ctx.Err() == nil && d.Answers(ctx, name)
}

// notifyAccepted notifies the owner of a job that was just accepted for it. If the owner does
// not answer, the job is reassigned. Otherwise the job would wait for the owner's registration
// to expire, which took four seconds after an outage of the store in which the owner had died:
// half of the time that a step has.
func (d *Frontend) notifyAccepted(owner, job string, revision int64) {
	args := AssignmentArgs{Job: job, Revision: revision}
	go func() {
		err := d.sendMark(owner, callMarked, args)
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			err = d.sendMark(owner, callMarked, args) // a restarted owner does not answer on the connection to its predecessor
		}
		if err == nil {
			return
		}
		d.markUnresponsive(owner)
		ctx, cancel := context.WithTimeout(context.Background(), reassignTimeout)
		defer cancel()
		if err := d.reassign(ctx, owner, job, revision); err != nil {
			events.JobStays.Log(d.Log, logrus.Fields{"job": job, "owner": owner, "error": err.Error()})
		}
	}()
}

// reassign moves a job without durable results to an owner that answers. An entry that is
// partitioned from all workers finds none, and the job stays where it is. The transaction
// expects that the assignment has the old owner's mark and that no result is durable; after it
// the old owner can write none.
func (d *Frontend) reassign(ctx context.Context, from, job string, revision int64) error {
	stored, record, err := readRecord(ctx, d.Store, job)
	if err != nil || record.Owner != from || record.Ended {
		return err
	}
	to, found := d.firstResponsive(ctx, affinityKey(record.Model, job))
	if !found || to == from {
		return errNoOwnerAnswers
	}
	record.Owner = to
	t, err := handoverTransaction(job, from, to, revision, stored.Revision, record, true)
	if err != nil {
		return err
	}
	t.Expect = append(t.Expect, kv.Expectation{Key: doneKey(job, 0)})
	committed, err := d.Store.Commit(ctx, t)
	if err != nil || !committed.Done {
		return err // if not done, the job was moved, ended or got results meanwhile
	}
	d.remember(job, record)
	d.notifyOwner(to, callMarked, AssignmentArgs{Job: job, Revision: committed.Revision})
	events.JobHandedOn.Log(d.Log, logrus.Fields{"job": job, "from": from, "to": to, "mark": revision})
	return nil
}

// firstResponsive returns the first owner for a key that answers.
func (d *Frontend) firstResponsive(ctx context.Context, key string) (string, bool) {
	owners := d.responsive(d.Members.Owners())
	for range owners {
		name := newOwnerChooser(d.Models).choose(key, owners)
		if d.Answers(ctx, name) {
			return name, true
		}
		d.markUnresponsive(name)
		owners = without(owners, name)
	}
	return "", false
}

// Answers reports whether a process answers calls.
func (d *Frontend) Answers(ctx context.Context, name string) bool {
	if name == d.Local.Name {
		return true
	}
	return d.call(ctx, name, callPing, 0, struct{}{}, &struct{}{}) == nil
}

func without(members []cluster.Member, name string) []cluster.Member {
	var left []cluster.Member
	for _, m := range members {
		if m.Name != name {
			left = append(left, m)
		}
	}
	return left
}
