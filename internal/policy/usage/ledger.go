package usage

import (
	"maps"
	"slices"
)

// Source is one run of a process that counts requests.
type Source struct {
	Process string
	Boot    int64 // start of the run in Unix nanoseconds
}

// Ledger holds the counts that processes have sent. It is not safe for concurrent use.
type Ledger struct {
	config  Config
	sources map[Source]*sourceCounts
}

// sourceCounts are the counts that one source has sent.
type sourceCounts struct {
	through Window // counts of this window and of those before it are final
	windows map[Window]Counts
}

// NewLedger returns a ledger without counts.
func NewLedger(config Config) *Ledger {
	return &Ledger{config: config, sources: map[Source]*sourceCounts{}}
}

// Apply merges an update. Each count is kept at the highest value received, so that
// repeated and reordered updates change nothing.
func (l *Ledger) Apply(u Update) {
	source := Source{Process: u.Process, Boot: u.Boot}
	known := l.sources[source]
	if known == nil {
		known = &sourceCounts{through: u.Through, windows: map[Window]Counts{}}
		l.sources[source] = known
	}
	known.through = max(known.through, u.Through)
	for _, tally := range u.Tallies {
		counts := known.windows[tally.Window]
		if counts == nil {
			counts = Counts{}
			known.windows[tally.Window] = counts
		}
		counts.mergeMax(tally.Counts)
	}
}

// Missing returns the expected processes that have not sent final counts of a window.
// Processes that started after the window's end are never missing.
func (l *Ledger) Missing(w Window, expected []Source) []string {
	end := l.config.WindowEnd(w).UnixNano()
	var missing []string
	for _, source := range expected {
		known := l.sources[source]
		if source.Boot < end && (known == nil || known.through < w) {
			missing = append(missing, source.Process)
		}
	}
	return missing
}

// OldestWindow returns the first window that has counts, and whether there is any.
func (l *Ledger) OldestWindow() (oldest Window, found bool) {
	for _, known := range l.sources {
		for w := range known.windows {
			if !found || w < oldest {
				oldest, found = w, true
			}
		}
	}
	return oldest, found
}

// Sum returns the counts of a window over all processes, including those that have
// ended.
func (l *Ledger) Sum(w Window) Counts {
	sum := Counts{}
	for _, known := range l.sources {
		sum.add(known.windows[w])
	}
	return sum
}

// Prune removes the windows before the given one, and the sources that have no other
// counts and are not expected.
func (l *Ledger) Prune(before Window, expected []Source) {
	for source, known := range l.sources {
		maps.DeleteFunc(known.windows, func(w Window, _ Counts) bool { return w < before })
		if len(known.windows) == 0 && known.through < before && !slices.Contains(expected, source) {
			delete(l.sources, source)
		}
	}
}
