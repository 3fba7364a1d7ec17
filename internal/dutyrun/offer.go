package dutyrun

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// offerLimit bounds how long the entry that accepted an offer is waited for;
	// past it the others are no worse off than without offers.
	offerLimit = time.Second
	offerPoll  = 5 * time.Millisecond
)

// ErrOfferRefused tells that an entry will not take an offered duty.
var ErrOfferRefused = errors.New("duties: offer refused")

// makeOffers begins to make the offers that are due.
func (k *Keeper) makeOffers(ctx context.Context) {
	if k.options.Offer == nil {
		return
	}
	k.mu.Lock()
	due := k.keeper.Offers()
	k.offers += len(due)
	k.mu.Unlock()
	for _, o := range due {
		go func() {
			k.makeOffer(ctx, o)
			k.mu.Lock()
			k.offers--
			k.mu.Unlock()
		}()
	}
}

// makeOffer asks one member after the other until one takes the duty. The
// holder that it names is kept, so that this entry can tell whoever still asks it.
func (k *Keeper) makeOffer(ctx context.Context, o duties.Offer) {
	ctx, cancel := context.WithTimeout(ctx, offerLimit)
	defer cancel()
	for _, m := range o.To {
		holder, err := k.options.Offer(ctx, m.Address, wire.DutyOffer{Duty: o.Duty, Epoch: o.Epoch})
		if err == nil {
			k.Heard([]wire.Holder{holder})
			return
		}
	}
}

// Offered takes in another entry's offer of a duty and waits until it is held,
// here or elsewhere. ErrOfferRefused means that this entry will not take it.
func (k *Keeper) Offered(offer wire.DutyOffer) (wire.Holder, error) {
	accepted := false
	k.update(func(now time.Time) { accepted = k.keeper.Offered(now, offer.Duty, offer.Epoch) })
	if !accepted {
		return wire.Holder{}, ErrOfferRefused
	}
	k.again()
	for end := time.Now().Add(offerLimit); time.Now().Before(end); time.Sleep(offerPoll) {
		if address, epoch, _ := k.KnownHolder(offer.Duty); epoch > offer.Epoch && address != "" {
			return wire.Holder{Duty: offer.Duty, Address: address, Epoch: epoch}, nil
		}
	}
	return wire.Holder{}, errors.Wrap(ErrOfferRefused, "not taken in time")
}
