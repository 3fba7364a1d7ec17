package poison

// Doubt is a crash at which a suspect ran, with the other suspects that may have caused it.
type Doubt struct {
	Endpoint string
	Batch    int
	Others   []ID
}

// Doubts returns the crashes of a suspect, for logs.
func (r *Registry) Doubts(id ID) []Doubt {
	s := r.suspects[id]
	if s == nil {
		return nil
	}
	doubts := make([]Doubt, 0, len(s.crashes))
	for _, c := range s.crashes {
		d := Doubt{Endpoint: c.Endpoint, Batch: c.Batch}
		for _, other := range sortedIDs(r.suspects) {
			if other != id && r.ranAt(r.suspects[other], c) {
				d.Others = append(d.Others, other)
			}
		}
		doubts = append(doubts, d)
	}
	return doubts
}
