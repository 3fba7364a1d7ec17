package weights

// Record is the stored state of a service's weights: the newest announced version of each
// key. It is kept in the key-value service and changed only by compare-and-swap. Its
// versions never decrease.
type Record struct {
	Targets []Target `json:"targets"`
}

// Target is the newest announced version of a key.
type Target struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version int64  `json:"version"`
}

// Key returns the key of the target.
func (t Target) Key() Key { return Key{Model: t.Model, Adapter: t.Adapter} }

// Version returns the announced version of a key, or 0 if there is none.
func (r Record) Version(key Key) int64 {
	for _, t := range r.Targets {
		if t.Key() == key {
			return t.Version
		}
	}
	return 0
}

// Raise returns a record in which the key has at least the given version. It returns true
// if that differs from r.
func (r Record) Raise(key Key, version int64) (Record, bool) {
	raised := Record{Targets: append([]Target(nil), r.Targets...)}
	for i, t := range raised.Targets {
		if t.Key() != key {
			continue
		}
		if version <= t.Version {
			return r, false
		}
		raised.Targets[i].Version = version
		return raised, true
	}
	raised.Targets = append(raised.Targets, Target{Model: key.Model, Adapter: key.Adapter, Version: version})
	return raised, true
}
