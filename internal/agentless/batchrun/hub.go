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

// hubSlack is how much longer than its own wait a read by way of a hub may take:
// the hub may find the owner silent and ask the store.
const hubSlack = 900 * time.Millisecond

// ResultsArgs ask a process to read a job's results for another one.
type ResultsArgs struct {
	Job  string
	From int
	Wait time.Duration
}

// ResultsReply is the answer.
type ResultsReply struct {
	NoJob   bool // the store says that there is no such job
	Unknown bool // neither owner nor store answered
	Reading Reading
}

// Hub answers reads of other processes in its failure domain.
type Hub struct{ frontend *Frontend }

// Results implements the call of that name.
func (h *Hub) Results(args ResultsArgs, reply *ResultsReply) error {
	reading, err := h.frontend.Results(context.Background(), args.Job, args.From, args.Wait)
	reply.NoJob = errors.Is(err, ErrNoJob)
	reply.Unknown = err != nil && !reply.NoJob
	reply.Reading = reading
	return nil
}

// hub names the worker in this process's failure domain by which a job's results
// are read: the same one for all processes of the domain. Otherwise every entry takes
// each result over the domain's border by itself, or from the store once the job's
// owner has forgotten it, as after a kill of all processes.
func (d *Frontend) hubFor(job string) (name string, found bool) {
	if d.IsHub || !d.Local.Switches.On(mechanism.ReadNear) {
		return "", false
	}
	near := inDomain(d.Members.Owners(), d.Domain)
	responsive := d.responsive(near)
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

// byHub reads by way of the domain's hub; answered is false if it could not tell.
func (d *Frontend) readViaHub(ctx context.Context, id string, from int, wait time.Duration) (r Reading, answered bool, err error) {
	name, found := d.hubFor(id)
	if !found {
		return Reading{}, false, nil
	}
	limited, cancel := context.WithTimeout(ctx, wait+hubSlack)
	defer cancel()
	var reply ResultsReply
	member, _ := d.Members.Get(name)
	if err := d.Peers.Call(limited, member.Address, callResults, ResultsArgs{Job: id, From: from, Wait: wait}, &reply); err != nil {
		if ctx.Err() == nil && isUnanswered(err) {
			d.markUnresponsive(name)
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

// isSilence tells whether a call failed as the other side did not answer. One of
// an older release answers that it has no such call.
func isUnanswered(err error) bool {
	var serverError rpc.ServerError
	return !errors.As(err, &serverError)
}
