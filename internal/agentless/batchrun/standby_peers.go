package batchrun

import "context"

// QueryJobs implements StandbyPeers.
func (f *Frontend) QueryJobs(ctx context.Context, owner string, args GuardedArgs) (GuardedReply, error) {
	var reply GuardedReply
	if err := f.call(ctx, owner, callGuarded, 0, args, &reply); err != nil {
		return GuardedReply{}, err // a late answer may still write to the reply
	}
	return reply, nil
}

// IndirectPing implements StandbyPeers.
func (f *Frontend) IndirectPing(ctx context.Context, name string) (answers, known bool) {
	for _, other := range without(f.otherWorkers(), name) {
		if answers, err := f.askReaches(ctx, other.Name, name); err == nil {
			return answers, true
		}
	}
	return false, false
}

// askReaches asks a process whether another one answers it.
func (f *Frontend) askReaches(ctx context.Context, asked, name string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*pingTimeout)
	defer cancel()
	var reply ReachesReply
	if err := f.call(ctx, asked, callReaches, 0, ReachesArgs{Name: name}, &reply); err != nil {
		return false, err // a late answer may still write to the reply
	}
	return reply.Answers, nil
}
