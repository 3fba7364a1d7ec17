package batchrun

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/rpcconn"
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
func (f *Frontend) responsive(owners []cluster.Member) []cluster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var responsive []cluster.Member
	for _, o := range owners {
		if at, found := f.unresponsive[o.Name]; !found || time.Since(at) > unresponsiveTTL {
			responsive = append(responsive, o)
		}
	}
	if len(responsive) == 0 {
		return owners
	}
	return responsive
}

func (f *Frontend) markUnresponsive(owner string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unresponsive == nil {
		f.unresponsive = map[string]time.Time{}
	}
	f.unresponsive[owner] = time.Now()
}

// ownerFor returns the owner for a job that is accepted now: the owner chosen for its key, or
// the next one if that does not answer or has no memory for the job. After an outage of the store a
// dead process stays listed for some seconds, and a step that was accepted for it began half a second
// late. The error is errOwnersFull if an owner answers that has no memory, and no other one does.
func (f *Frontend) ownerFor(ctx context.Context, s *submission) (string, error) {
	owners := f.responsive(f.Members.Owners())
	if len(owners) == 0 {
		return "", errors.Wrap(kv.ErrUnavailable, "no process can own the job")
	}
	key := affinityKey(s.record.Model, s.id)
	first := newOwnerChooser(f.Models).choose(key, owners)
	firstAnswer := f.requestAdmission(ctx, first, s)
	if firstAnswer == ownerAdmits {
		return first, nil
	}
	nextAnswer := ownerSilent
	if others := without(owners, first); len(others) > 0 {
		next := newOwnerChooser(f.Models).choose(key, others)
		nextAnswer = f.requestAdmission(ctx, next, s)
		if nextAnswer == ownerAdmits {
			if firstAnswer == ownerSilent {
				f.markUnresponsive(first)
			}
			return next, nil
		}
	}
	if firstAnswer == ownerFull || nextAnswer == ownerFull {
		return "", errOwnersFull
	}
	return first, nil // this process reaches neither of them
}

// ownerAnswer is what an owner says about a job that is being accepted.
type ownerAnswer int

const (
	ownerAdmits ownerAnswer = iota
	ownerFull               // it has no memory for the job
	ownerSilent             // it does not answer before pingTimeout
)

// requestAdmission asks an owner whether it can take a job. A failed call is retried once, because a restarted
// owner does not answer on the connection to its predecessor. An owner of an earlier release does not
// know the call and admits any job.
func (f *Frontend) requestAdmission(ctx context.Context, name string, s *submission) ownerAnswer {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	args := AdmitArgs{Job: s.id, Size: s.size}
	for range 2 {
		reply, err := callOwner(ctx, f, name, callAdmit, 0, args, func() AdmitReply { return AdmitReply{Full: !f.Local.admit(args)} })
		switch {
		case err == nil && reply.Full:
			return ownerFull
		case err == nil || rpcconn.IsServerError(err):
			return ownerAdmits
		case ctx.Err() != nil:
			return ownerSilent
		}
	}
	return ownerSilent
}

// notifyAccepted notifies the owner of a job that was just accepted for it. If the owner does
// not answer, the job is reassigned. Otherwise the job would wait for the owner's registration
// to expire, which took four seconds after an outage of the store in which the owner had died:
// half of the time that a step has.
func (f *Frontend) notifyAccepted(owner, job string, revision int64) {
	args := AssignmentArgs{Job: job, Revision: revision}
	go func() {
		err := f.sendNotification(owner, callMarked, args)
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			err = f.sendNotification(owner, callMarked, args) // a restarted owner does not answer on the connection to its predecessor
		}
		if err == nil {
			return
		}
		f.markUnresponsive(owner)
		ctx, cancel := context.WithTimeout(context.Background(), reassignTimeout)
		defer cancel()
		if err := f.reassign(ctx, owner, job, revision); err != nil {
			events.JobStays.Log(f.Log, logrus.Fields{"job": job, "owner": owner, "error": err.Error()})
		}
	}()
}

// reassign moves a job without durable results to an owner that answers. An entry that is
// partitioned from all workers finds none, and the job stays where it is. The transaction
// expects that the assignment still has the old owner's fencing token and that no result is
// durable; after it the old owner can write none.
func (f *Frontend) reassign(ctx context.Context, from, job string, revision int64) error {
	stored, record, err := readRecord(ctx, f.Store, job)
	if err != nil || record.Owner != from || record.Ended {
		return err
	}
	to, found := f.firstResponsive(ctx, affinityKey(record.Model, job))
	if !found || to == from {
		return errNoOwnerAnswers
	}
	record.Owner = to
	t, err := handoverTransaction(job, from, to, revision, stored.Revision, record, true)
	if err != nil {
		return err
	}
	t.Expect = append(t.Expect, kv.Expectation{Key: doneKey(job, 0)})
	committed, err := f.Store.Commit(ctx, t)
	if err != nil || !committed.Done {
		return err // if not done, the job was moved, ended or got results meanwhile
	}
	f.remember(job, record)
	f.notifyOwner(to, callMarked, AssignmentArgs{Job: job, Revision: committed.Revision})
	events.JobMoved.Log(f.Log, logrus.Fields{"job": job, "from": from, "to": to, "mark": revision})
	return nil
}

// firstResponsive returns the first owner for a key that answers.
func (f *Frontend) firstResponsive(ctx context.Context, key string) (string, bool) {
	owners := f.responsive(f.Members.Owners())
	for range owners {
		name := newOwnerChooser(f.Models).choose(key, owners)
		if f.Answers(ctx, name) {
			return name, true
		}
		f.markUnresponsive(name)
		owners = without(owners, name)
	}
	return "", false
}

// Answers reports whether a process answers calls.
func (f *Frontend) Answers(ctx context.Context, name string) bool {
	if name == f.Local.Name {
		return true
	}
	return f.call(ctx, name, callPing, 0, struct{}{}, &struct{}{}) == nil
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
