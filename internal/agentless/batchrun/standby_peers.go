package batchrun

import "context"

// QueryJobs implements StandbyPeers.
func (d *Frontend) QueryJobs(ctx context.Context, owner string, args GuardedArgs) (GuardedReply, error) {
	var reply GuardedReply
	if err := d.call(ctx, owner, callGuarded, 0, args, &reply); err != nil {
		return GuardedReply{}, err // a late answer may still write to the reply
	}
	return reply, nil
}

// IndirectPing implements StandbyPeers.
func (d *Frontend) IndirectPing(ctx context.Context, name string) (answers, known bool) {
	for _, other := range without(d.otherWorkers(), name) {
		if answers, err := d.askReaches(ctx, other.Name, name); err == nil {
			return answers, true
		}
	}
	return false, false
}

// askReaches asks a process whether another one answers it.
func (d *Frontend) askReaches(ctx context.Context, witness, name string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*pingTimeout)
	defer cancel()
	var reply ReachesReply
	if err := d.call(ctx, witness, callReaches, 0, ReachesArgs{Name: name}, &reply); err != nil {
		return false, err // a late answer may still write to the reply
	}
	return reply.Answers, nil
}
