package dutyrun

import (
	"context"
	"time"

	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/wire"
)

// makeProbes asks the holders that this entry watches whether they still hold.
func (k *Keeper) makeProbes(ctx context.Context) {
	if k.options.Probe == nil {
		return
	}
	k.mu.Lock()
	due := k.keeper.Probes(time.Now())
	k.mu.Unlock()
	for _, owner := range due {
		go k.probe(ctx, owner)
	}
}

func (k *Keeper) probe(ctx context.Context, owner duties.KnownHolder) {
	ctx, cancel := context.WithTimeout(ctx, k.options.Config.ProbeInterval)
	defer cancel()
	holds, err := k.options.Probe(ctx, owner.Address, wire.HoldsRequest{Duty: owner.Duty, Epoch: owner.Epoch})
	k.update(func(now time.Time) { k.keeper.ProbeDone(now, owner, err == nil && holds) })
	k.again()
}

// Holds answers another entry's question whether this one holds a duty under the
// epoch. A lease that lapsed counts: its work goes on until a successor begins.
func (k *Keeper) Holds(duty string, epoch int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	owner, _ := k.keeper.KnownHolder(time.Now(), duty)
	return owner.Epoch == epoch && k.keeper.LeaseState(time.Now(), duty) != duties.NotHolder
}
