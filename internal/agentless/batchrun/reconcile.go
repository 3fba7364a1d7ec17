package batchrun

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/periodic"
)

const (
	// reconcileInterval is the interval between comparisons of assignments and members. A
	// comparison makes no call.
	reconcileInterval = time.Second
	// orphanGrace is how long an owner must have been missing before its jobs are moved without
	// its end having been seen. An owner whose end was seen is handled by then.
	orphanGrace = 3 * time.Second
	// reconcileRetryDelay is the delay before the jobs of an owner are moved again that are still
	// assigned to it, for example because there is no other owner.
	reconcileRetryDelay = 10 * time.Second
)

// Reconciler moves the jobs of owners that are not registered. A Mover does so when it sees a
// registration end; an end that no process saw, as none of the movers ran, would leave the jobs
// with their lost owner for good. The Reconciler compares the known assignments with the known
// members instead, both of which this process follows anyway.
type Reconciler struct {
	Mover *Mover
	// VisitAssignments calls visit with the key of each assignment.
	VisitAssignments func(visit func(key string))
	// Current reports whether the known assignments and members are complete and up to date, so
	// that an owner that is not a member is lost.
	Current  func() bool
	Log      *logrus.Logger
	Registry metrics.Registry

	missing map[string]*missingOwner // by name
	moves   errgroup.Group
}

// missingOwner is an owner of jobs that is not registered.
type missingOwner struct {
	since  time.Time
	nextAt time.Time    // time of the next attempt to move its jobs
	moving *atomic.Bool // an attempt is under way
}

// Run compares assignments with members until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	r.missing = map[string]*missingOwner{}
	periodic.Run(ctx, reconcileInterval, func(now time.Time) { r.reconcile(ctx, now) })
	return r.moves.Wait()
}

// reconcile moves the jobs of the owners that have been missing for long enough.
func (r *Reconciler) reconcile(ctx context.Context, now time.Time) {
	if !r.Current() {
		clear(r.missing) // an owner may be back that this process can't know of
		return
	}
	r.updateMissing(now)
	for name, owner := range r.missing {
		if now.Before(owner.nextAt) || !owner.moving.CompareAndSwap(false, true) {
			continue
		}
		r.moves.Go(func() error {
			defer owner.moving.Store(false)
			r.Mover.MemberGone(ctx, name) // most of the time it waits for movers that precede this one
			return nil
		})
		owner.nextAt = now.Add(reconcileRetryDelay)
		metrics.GetOrRegisterCounter("batch.owners.missing", r.Registry).Inc(1)
		events.OwnerMissing.Log(r.Log, logrus.Fields{"owner": name, "missing_ms": now.Sub(owner.since).Milliseconds()})
	}
}

// updateMissing updates which owners of jobs are not registered.
func (r *Reconciler) updateMissing(now time.Time) {
	owners := map[string]bool{}
	r.VisitAssignments(func(key string) {
		if owner := assignedOwner(key); owner != r.Mover.Self && !r.Mover.Members.Registered(owner) {
			owners[owner] = true
		}
	})
	for name := range r.missing {
		if !owners[name] {
			delete(r.missing, name)
		}
	}
	for name := range owners {
		if r.missing[name] == nil {
			r.missing[name] = &missingOwner{since: now, nextAt: now.Add(orphanGrace), moving: &atomic.Bool{}}
		}
	}
}

// assignedOwner returns the owner in an assignment's key.
func assignedOwner(key string) string {
	owner, _, _ := strings.Cut(strings.TrimPrefix(key, AssignmentsPrefix), "/")
	return owner
}
