package dutyrun

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// offerTimeout limits how long to wait for the entry that accepted an
	// offer. After it, the other entries notice the release at their next poll,
	// as without offers.
	offerTimeout      = time.Second
	offerPollInterval = 5 * time.Millisecond
)

// ErrOfferRefused reports that an entry refuses an offered duty.
var ErrOfferRefused = errors.New("duties: offer refused")

// startOffers starts sending the offers that are due.
func (k *Keeper) startOffers(ctx context.Context) {
	if k.options.Offer == nil {
		return
	}
	k.mu.Lock()
	due := k.policy.Offers()
	k.pendingOffers += len(due)
	k.mu.Unlock()
	for _, o := range due {
		go func() {
			k.sendOffer(ctx, o)
			k.mu.Lock()
			k.pendingOffers--
			k.mu.Unlock()
		}()
	}
}

// sendOffer offers the duty to one member after the other until one accepts it.
// It records the holder that this member returns, so that this entry can name it
// to callers that still address this entry as the holder.
func (k *Keeper) sendOffer(ctx context.Context, o duties.Offer) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	for _, m := range o.To {
		holder, err := k.options.Offer(ctx, m.Address, wire.DutyOffer{Duty: o.Duty, Epoch: o.Epoch})
		if err == nil {
			k.HoldersReported([]wire.Holder{holder})
			return
		}
	}
}

// Offered handles another entry's offer of a duty and waits until the duty is
// held, here or elsewhere. It returns ErrOfferRefused if this entry refuses the
// duty or the duty isn't held in time.
func (k *Keeper) Offered(offer wire.DutyOffer) (wire.Holder, error) {
	accepted := false
	k.update(func(now time.Time) { accepted = k.policy.Offered(now, offer.Duty, offer.Epoch) })
	if !accepted {
		return wire.Holder{}, ErrOfferRefused
	}
	k.wakeUp()
	for deadline := time.Now().Add(offerTimeout); time.Now().Before(deadline); time.Sleep(offerPollInterval) {
		if address, epoch, _ := k.KnownHolder(offer.Duty); epoch > offer.Epoch && address != "" {
			return wire.Holder{Duty: offer.Duty, Address: address, Epoch: epoch}, nil
		}
	}
	return wire.Holder{}, errors.Wrap(ErrOfferRefused, "not taken in time")
}
