package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	// MaxPartners limits the peers that an entry calls in turn. With this many
	// random partners per entry, information spreads about as fast as with
	// random calls to all peers.
	MaxPartners = 16
	// roundsPerReplacement is the number of rounds after which one partner is
	// replaced.
	roundsPerReplacement = 10
)

// Partners is the subset of peers that an entry exchanges heartbeats with over
// many rounds (a partial view). A new connection costs several times the bytes
// of a heartbeat, since each end describes its message types anew. If entries called
// random peers of a large fleet, hardly any of these would be connected, and the
// traffic of an entry would grow with the fleet.
type Partners struct {
	own      string         // failure domain of this entry
	lastCall map[string]int // round of the last call to each partner; 0 if not called yet
	round    int
}

// NewPartners returns an empty set of partners for an entry in the failure
// domain own.
func NewPartners(own string) *Partners {
	return &Partners{own: own, lastCall: map[string]int{}}
}

// Choose returns at most n partners to call in the next round, from as many
// failure domains as n allows. Partners are drawn at random from all failure
// domains of peers. Partners that are no longer among the peers are replaced at
// once. Every few rounds one partner is replaced at random, so that no group of
// entries stays separated from the others.
//
// The least recently called partners come first. With a random choice, only ten
// of 16 partners are called within five rounds, too few for the quorum that an
// entry needs during an outage of the key-value service.
func (p *Partners) Choose(rnd *rand.Rand, peers []Peer, n int) []Peer {
	p.round++
	partners, others := p.split(peers)
	if p.round%roundsPerReplacement == 0 && len(partners) == MaxPartners && len(others) > 0 {
		i := rnd.IntN(len(partners))
		partners = append(partners[:i], partners[i+1:]...)
	}
	if len(partners) < MaxPartners && len(others) > 0 {
		partners = p.addPartners(rnd, partners, others)
	}
	p.setPartners(partners)
	chosen := preferNewDomains(map[string]bool{p.own: true}, p.leastRecentFirst(rnd, partners), n)
	for _, peer := range chosen {
		p.lastCall[peer.ID] = p.round
	}
	return chosen
}

// addPartners returns partners with random others added up to MaxPartners.
func (p *Partners) addPartners(rnd *rand.Rand, partners, others []Peer) []Peer {
	domains := map[string]bool{p.own: true}
	for _, peer := range partners {
		domains[peer.Domain] = true
	}
	return append(partners, preferNewDomains(domains, shuffled(rnd, others), MaxPartners-len(partners))...)
}

// setPartners replaces the set of partners. Those that stay keep the round of
// their last call.
func (p *Partners) setPartners(partners []Peer) {
	kept := map[string]int{}
	for _, peer := range partners {
		kept[peer.ID] = p.lastCall[peer.ID]
	}
	p.lastCall = kept
}

// leastRecentFirst returns the partners ordered by the round of their last call,
// in random order within a round.
func (p *Partners) leastRecentFirst(rnd *rand.Rand, partners []Peer) []Peer {
	ordered := shuffled(rnd, partners)
	slices.SortStableFunc(ordered, func(a, b Peer) int {
		return cmp.Compare(p.lastCall[a.ID], p.lastCall[b.ID])
	})
	return ordered
}

// split separates the peers that are partners from the others.
func (p *Partners) split(peers []Peer) (partners, others []Peer) {
	for _, peer := range peers {
		if _, ok := p.lastCall[peer.ID]; ok {
			partners = append(partners, peer)
		} else {
			others = append(others, peer)
		}
	}
	return partners, others
}
