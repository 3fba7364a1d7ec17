package dutyrun

import (
	"context"
	"time"

	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/wire"
)

// startProbes asks the holders that this entry watches whether they still hold
// their duties. It doesn't wait for the answers.
func (k *Keeper) startProbes(ctx context.Context) {
	if k.options.Probe == nil {
		return
	}
	k.mu.Lock()
	due := k.policy.Probes(time.Now())
	k.mu.Unlock()
	for _, holder := range due {
		go k.probe(ctx, holder)
	}
}

func (k *Keeper) probe(ctx context.Context, holder duties.KnownHolder) {
	ctx, cancel := context.WithTimeout(ctx, k.options.Config.ProbeInterval)
	defer cancel()
	holds, err := k.options.Probe(ctx, holder.Address, wire.HoldsRequest{Duty: holder.Duty, Epoch: holder.Epoch})
	k.update(func(now time.Time) { k.policy.ProbeDone(now, holder, err == nil && holds) })
	k.wakeUp()
}

// Holds reports whether this entry holds a duty under the epoch. An expired
// lease counts as held, as its work continues until a successor starts.
func (k *Keeper) Holds(duty string, epoch int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	holder, _ := k.policy.KnownHolder(time.Now(), duty)
	return holder.Epoch == epoch && k.policy.LeaseState(time.Now(), duty) != duties.NotHolder
}
