package batchrun

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

const (
	// moveGrace is how long a process may be unregistered before its jobs are moved. A process
	// that was killed is back within about a second and then continues its jobs itself.
	moveGrace = 300 * time.Millisecond
	// outageGrace replaces moveGrace if the store was unreachable: registrations that expired
	// meanwhile are back within two seconds.
	outageGrace = 2200 * time.Millisecond
	// rankDelay keeps processes that detect the same loss from moving the same jobs: each
	// process waits this long for every process that precedes it in rank.
	rankDelay = 700 * time.Millisecond
	// maxMoveTries limits the tries for one job; each failed one costs a call.
	maxMoveTries = 5
)

// Mover moves the jobs of a process that is gone, or those of this process when it stops.
type Mover struct {
	Self    string
	Store   kv.TransactionalStore
	Members *cluster.Members
	Log     *logrus.Logger
	// StoreRecentlyDown reports whether the store was unreachable until a moment ago.
	StoreRecentlyDown func() bool
	// Models returns the models that jobs exist for; it may be nil.
	Models func() []string
	// Answers reports whether a process answers calls; nil means that this is unknown.
	Answers func(ctx context.Context, name string) bool
	// HasAssignments reports whether this process knows of jobs that are assigned to an
	// owner. It may be nil if this process does not follow the assignments of others.
	HasAssignments func(owner string) bool
	// NotifyOwner notifies a job's new owner of its assignment; it may be nil.
	NotifyOwner func(owner, job string, revision int64)
}

// MemberGone moves the jobs of a process that is no longer registered, unless it comes back in
// time. It blocks until that is done or ctx ends.
func (m *Mover) MemberGone(ctx context.Context, name string) {
	rank, moves := m.rank(name)
	if !moves {
		return
	}
	extra := time.Duration(rank) * rankDelay
	began := time.Now()
	if m.StoreRecentlyDown() && m.mayReturn(ctx, name) {
		extra += outageGrace - moveGrace
	}
	pause(ctx, moveGrace-time.Since(began)+extra)
	if m.Members.Registered(name) || ctx.Err() != nil || name == m.Self {
		return
	}
	if rank > 0 && m.HasAssignments != nil && !m.HasAssignments(name) {
		return // the first mover asks the store, in case an assignment is too recent to be known
	}
	if err := m.MoveAll(ctx, name); err != nil {
		events.JobsNotMoved.Log(m.Log, logrus.Fields{"owner": name, "error": err.Error()})
	}
}

// mayReturn reports whether a process whose registration expired in an outage of the store may
// be back soon. A process that answers no call within moveGrace is taken for dead.
func (m *Mover) mayReturn(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, moveGrace)
	defer cancel()
	return m.Answers == nil || m.Answers(ctx, name)
}

// rank returns this process's position among those that move the jobs of the named process,
// and whether it moves them.
func (m *Mover) rank(name string) (rank int, moves bool) {
	movers, exclusive := m.movers()
	keys := make([]uint64, len(movers))
	for i, o := range movers {
		keys[i] = rendezvous.Key(o.Name)
	}
	for place, i := range rendezvous.Ranked(rendezvous.Key(name), keys, len(keys)) {
		if movers[i].Name == m.Self {
			return place, true
		}
	}
	return len(movers), !exclusive
}

// movers returns the processes that move jobs, and whether all others leave it to them. In a
// large fleet they are the roots and relays, which know all assignments: if each of a hundred
// owners asked the store for the jobs of each process that is gone, the calls would grow with
// the square of the fleet. In a small one they are the owners.
func (m *Mover) movers() (movers []cluster.Member, exclusive bool) {
	tree := m.Members.Tree()
	if !tree.HasRelays() {
		return m.Members.Owners(), false
	}
	return slices.Concat(tree.Roots, tree.Relays), true
}

// MoveAll moves every job assigned to an owner to other owners.
func (m *Mover) MoveAll(ctx context.Context, owner string) error {
	page, err := m.listAssignments(ctx, owner)
	if err != nil {
		return err
	}
	for _, assignment := range page.Records {
		if err := m.move(ctx, owner, assignment); err != nil {
			return err
		}
	}
	return nil
}

func (m *Mover) listAssignments(ctx context.Context, owner string) (page kv.Page, err error) {
	for range maxMoveTries {
		if page, err = kv.ReadAll(ctx, m.Store, AssignmentPrefix(owner)); err == nil || ctx.Err() != nil {
			break
		}
		pause(ctx, writeRetryDelay)
	}
	return page, err
}

func (m *Mover) move(ctx context.Context, from string, assignment kv.Record) (err error) {
	for range maxMoveTries {
		var done bool
		if done, err = m.tryMove(ctx, from, assignment); done || ctx.Err() != nil {
			return err
		}
		pause(ctx, writeRetryDelay)
	}
	return err
}

// tryMove tries to move one job. done is true if no retry is needed.
func (m *Mover) tryMove(ctx context.Context, from string, assignment kv.Record) (done bool, err error) {
	id := assignedJob(assignment.Key)
	stored, record, err := readRecord(ctx, m.Store, id)
	if err != nil {
		return !errors.Is(err, kv.ErrUnavailable), err
	}
	if stored.Revision == 0 {
		return true, nil // swept; its assignment is deleted with it
	}
	to, found := m.successor(ctx, affinityKey(record.Model, id), from)
	if !found {
		return true, nil // no other owner exists; this one continues when it is back
	}
	record.Owner = to
	t, err := handoverTransaction(id, from, to, assignment.Revision, stored.Revision, record, false)
	if err != nil {
		return true, err
	}
	committed, err := m.Store.Commit(ctx, t)
	if err != nil {
		return false, err
	}
	if committed.Done {
		if m.NotifyOwner != nil {
			m.NotifyOwner(to, id, committed.Revision)
		}
		events.JobMoved.Log(m.Log, logrus.Fields{"job": id, "from": from, "to": to, "mark": assignment.Revision})
	}
	return true, nil // if not done, the job was moved or ended meanwhile
}

// successor returns the process that should own a job instead of the given owner: the one that is
// chosen for the key or, if that does not answer, the next one. A process that died with the owner
// may be registered for some seconds yet.
func (m *Mover) successor(ctx context.Context, key, from string) (string, bool) {
	owners := without(m.Members.Owners(), from)
	if len(owners) == 0 {
		return "", false
	}
	first := newOwnerChooser(m.Models).choose(key, owners)
	others := without(owners, first)
	if m.Answers == nil || len(others) == 0 || m.answersInTime(ctx, first) {
		return first, true
	}
	if next := newOwnerChooser(m.Models).choose(key, others); m.answersInTime(ctx, next) {
		return next, true
	}
	return first, true // this process reaches neither of them
}

// answersInTime reports whether a process answers within pingTimeout.
func (m *Mover) answersInTime(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return m.Answers(ctx, name)
}

// handoverTransaction returns the transaction that assigns a job to another owner, on condition
// that its assignment and its record have the given revisions. fresh means that no result is
// durable.
func handoverTransaction(id, from, to string, assignmentRevision, recordRevision int64, record jobRecord, fresh bool) (kv.Transaction, error) {
	raw, err := encode(record)
	if err != nil {
		return kv.Transaction{}, err
	}
	state, err := encode(assignmentRecord{Fresh: fresh})
	if err != nil {
		return kv.Transaction{}, err
	}
	return kv.Transaction{
		Expect: []kv.Expectation{{Key: assignmentKey(from, id), Revision: assignmentRevision}, {Key: jobKey(id), Revision: recordRevision}},
		Puts:   []kv.Put{{Key: jobKey(id), Value: raw}, {Key: assignmentKey(to, id), Value: state}},
		Remove: []string{assignmentKey(from, id)},
	}, nil
}
