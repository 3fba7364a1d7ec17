package fanout

const (
	// peersPerDomain is the number of registered entries of a failure domain that suffice.
	// Other processes need entries only to reach the store through one of them.
	peersPerDomain = 8
	// firstShare is the share of a domain's unregistered entries that register in the first
	// round; it doubles with each round. An entry learns of other registrations a round
	// later, so that about twice as many register as suffice, whatever the domain's size.
	firstShare = 1.0 / 128
)

// Registration decides whether an entry of a large fleet registers itself. If all did, each
// would cost the store two calls at its start and a call per renewal, and each other process a
// record in its list. Workers are always registered, since they own jobs.
type Registration struct {
	rounds int // rounds in which too few peers were registered
}

// Census is what an entry knows of the registered processes.
type Census struct {
	Listed bool // the entry's own key is registered, from this run or an earlier one
	Peers  int  // registered entries of its failure domain
}

// Register reports whether the entry registers itself now; random is a random number in
// [0, 1). It is called once a round; a round is longer than a change takes to reach the entry.
func (r *Registration) Register(c Census, random float64) bool {
	switch {
	case c.Listed:
		return true // others may count on this entry already
	case c.Peers >= peersPerDomain:
		r.rounds = 0
		return false
	}
	share := firstShare * float64(uint64(1)<<min(r.rounds, 16))
	r.rounds++
	return random < share
}
