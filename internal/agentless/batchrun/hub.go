package batchrun

import (
	"context"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// hubSlack is added to the wait of a read via a hub to get its timeout: the hub may find the
// owner unresponsive and read the store instead.
const hubSlack = 900 * time.Millisecond

// ResultsArgs asks a hub to read a job's results for the caller.
type ResultsArgs struct {
	Job  string
	From int
	Wait time.Duration
}

// ResultsReply is the reply to Hub.Results.
type ResultsReply struct {
	NoJob   bool // the store has no such job
	Unknown bool // neither the owner nor the store answered
	Reading Reading
}

// Hub serves reads of results to the other processes in its failure domain.
type Hub struct{ frontend *Frontend }

// Results reads results for another process. It is called by net/rpc.
func (h *Hub) Results(args ResultsArgs, reply *ResultsReply) error {
	reading, err := h.frontend.Results(context.Background(), args.Job, args.From, args.Wait)
	reply.NoJob = errors.Is(err, ErrNoJob)
	reply.Unknown = err != nil && !reply.NoJob
	reply.Reading = reading
	return nil
}

// hubFor returns the worker in this process's failure domain through which a job's results are
// read. It is the same for all processes of the domain. Without a hub every entry would transfer
// each result across the domain's border, or read it from the store once the job's owner no
// longer retains it, as after all processes were killed.
func (f *Frontend) hubFor(job string) (name string, found bool) {
	if f.IsHub || !f.Local.Switches.On(mechanism.ReadNear) {
		return "", false
	}
	near := inDomain(f.Members.Owners(), f.Domain)
	responsive := f.responsive(near)
	if len(near) == 0 || !near[0].Worker || len(responsive) == 0 {
		return "", false
	}
	keys := make([]uint64, len(responsive))
	for i, m := range responsive {
		keys[i] = rendezvous.Key(m.Name)
	}
	return responsive[rendezvous.Ranked(rendezvous.Key(job), keys, 1)[0]].Name, true
}

func inDomain(members []cluster.Member, domain string) []cluster.Member {
	var near []cluster.Member
	for _, m := range members {
		if m.Domain == domain {
			near = append(near, m)
		}
	}
	return near
}

// readViaHub reads results via the domain's hub. answered is false if there is no hub or it
// could not answer.
func (f *Frontend) readViaHub(ctx context.Context, id string, from int, wait time.Duration) (r Reading, answered bool, err error) {
	name, found := f.hubFor(id)
	if !found {
		return Reading{}, false, nil
	}
	limited, cancel := context.WithTimeout(ctx, wait+hubSlack)
	defer cancel()
	var reply ResultsReply
	member, _ := f.Members.Get(name)
	if err := f.Peers.Call(limited, member.Address, callResults, ResultsArgs{Job: id, From: from, Wait: wait}, &reply); err != nil {
		if ctx.Err() == nil && isUnanswered(err) {
			f.markUnresponsive(name)
		}
		return Reading{}, false, nil
	}
	switch {
	case reply.NoJob:
		return Reading{}, true, ErrNoJob
	case reply.Unknown:
		return Reading{}, false, nil
	}
	return reply.Reading, true, nil
}

// isUnanswered reports whether a call failed because the other side did not answer. A process
// of an older release does answer, with the error that it has no such method.
func isUnanswered(err error) bool {
	var serverError rpc.ServerError
	return !errors.As(err, &serverError)
}
